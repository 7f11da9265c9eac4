package faktory

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/faktory/sets"
	"basaltloft/internal/dispatcher/jsontext"

	"github.com/valyala/fastjson"
)

// PlanStarter starts the runs of plans, for jobs that name one.
type PlanStarter interface {
	// CheckInUse returns nil for a plan that can be started here, else an error that says
	// why not.
	CheckInUse(plan string) error
	// Start starts a run, or joins it if it has been started anywhere in the fleet, and does not
	// wait. With a zero deadline the plan's own applies; a later one does not extend it. Another
	// goroutine calls done once, unless this process stops first: with Served and the answer's
	// JSON, Refused if nothing has run, else Failed. After an error nothing has run, and done is
	// not called.
	Start(run, plan, tenant string, input []byte, deadline time.Time, done func(engine.Answer)) error
}

// planRuns numbers the runs of a job that is run as a plan. A run's id identifies it in the whole
// fleet: the first run's is the jid. A run may follow one in which nothing has run; its id is the
// jid with a number appended.
type planRuns struct {
	plan  string
	ended int // how many runs have ended
}

// newPlanRuns continues the numbering of the jid's earlier task, if it had the same plan. It
// returns nil for a job without a plan.
func newPlanRuns(name string, known *task) *planRuns {
	switch {
	case name == "":
		return nil
	case known != nil && known.plan != nil && known.plan.plan == name:
		return known.plan
	}
	return &planRuns{plan: name}
}

// runID returns the id of the job's current run, or of its next one if none is under way.
func (p *planRuns) runID(jid string) string {
	if p.ended == 0 {
		return jid
	}
	return fmt.Sprintf("%s#%d", jid, p.ended)
}

// planField reads the name of a job's plan; empty if it has none.
func planField(v *fastjson.Value, jid string) (string, error) {
	field := v.Get("custom", "plan")
	if isAbsent(field) {
		return "", nil
	}
	name := string(field.GetStringBytes())
	switch {
	case name == "" || len(name) > maxNameLength:
		return "", errors.New("custom.plan is the name of a plan")
	case strings.Contains(jid, "#"):
		return "", errors.New("the jid of a job with a plan has no #") // it separates the jid from a run's number
	}
	return name, nil
}

// parseIncoming parses a job that is pushed: its plan must be in use, and its workers must be
// able to read it. The body is validated because the parser accepts numbers that are no JSON, such
// as nan and 1-2.
func (b *backlog) parseIncoming(v *fastjson.Value, now time.Time) (job, error) {
	j, err := parseJob(v, b.config, now)
	switch {
	case err != nil:
		return j, err
	case fastjson.ValidateBytes(j.submission.Body) != nil:
		return j, errors.New("the job has a number that is no JSON")
	case j.plan == "":
		return j, nil
	case b.plans == nil:
		return j, fmt.Errorf("plan %q can't be run: this process is in no fleet", j.plan)
	}
	return j, b.plans.CheckInUse(j.plan)
}

// planInput returns the input of a plan's run: the job's args, and its custom object without the
// plan's name.
func planInput(v *fastjson.Value) []byte {
	var a fastjson.Arena
	input, custom := a.NewObject(), v.Get("custom")
	custom.Del("plan")
	input.Set("args", v.Get("args"))
	input.Set("custom", custom)
	return jsontext.Append(nil, input)
}

// startPlans starts the jobs with a plan that are first in a queue: no FETCH is needed. The
// lock is held.
func (b *backlog) startPlans(queue string) {
	for now := time.Now(); ; {
		next, expired := b.store.DequeueIf(now, queue, func(j *sets.Job) bool { return j.Attachment.(*task).plan != nil })
		b.concludeExpired(expired)
		if next == nil {
			return
		}
		b.startPlan(next.Attachment.(*task), now)
	}
}

// startPlan starts the run of a job that was taken from its queue. The lock is held.
func (b *backlog) startPlan(t *task, now time.Time) {
	v, j, err := b.parseStored(t, now)
	if err != nil {
		b.conclude(t, engine.Answer{Verdict: engine.Denied, Body: []byte(err.Error() + "\n")})
		return
	}
	t.state, t.failure, t.updatedAt = taskSubmitted, nil, now
	b.store.Started(t.job)
	runID, queue := t.plan.runID(t.id), t.job.Queue
	err = b.plans.Start(runID, t.plan.plan, j.submission.Tenant, planInput(v), j.submission.ClientDeadline, func(a engine.Answer) {
		b.mu.Lock()
		defer b.mu.Unlock()
		t.plan.ended++
		b.planEnded(t, runID, a)
		b.submitWanted(queue)
	})
	if err != nil { // the run's id has not been used
		b.planEnded(t, runID, engine.Answer{Verdict: engine.Refused, Body: []byte(err.Error() + "\n")})
	}
}

// planEnded handles the final answer of a run. Another run may follow only if nothing of
// this one has run. The lock is held.
func (b *backlog) planEnded(t *task, runID string, a engine.Answer) {
	now := time.Now()
	t.updatedAt = now
	disposition := sets.Discarded
	switch a.Verdict {
	case engine.Served:
		b.processed++
	case engine.Refused:
		disposition = b.store.Rejected(now, t.job, a.RetryAt)
	default:
		b.processed++
		b.failures++
		detail := "failed before anything ran"
		t.job.MayHaveRun = a.Verdict == engine.Failed
		if t.job.MayHaveRun {
			detail = "may have run, and is not begun again"
		}
		message := fmt.Sprintf("run %s of plan %s %s: %s", runID, t.plan.plan, detail, strings.TrimSpace(string(a.Body)))
		t.failure = &failure{errorType: "Plan", message: truncate(message)}
		disposition = b.store.Failed(now, t.job, false, t.failure.errorType, t.failure.message, nil)
	}
	if disposition == sets.WillRetry {
		t.state = taskWaiting
		b.resetPromotionTimer()
		return
	}
	b.conclude(t, a)
}
