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

// Plans runs plans for jobs that name one.
type Plans interface {
	// InUse is nil for a plan that can be begun here, and else says why not.
	InUse(plan string) error
	// Begin begins a run, or finds it, wherever in the fleet it is. A zero time is the
	// plan's own deadline, and none is beyond that. Done is called once, by another
	// goroutine, unless this process ends first: Served with the answer's JSON, Refused
	// where nothing has run, else Failed. It does not wait; after an error nothing has
	// run, and done is not called.
	Begin(run, plan, tenant string, input []byte, until time.Time, done func(engine.Answer)) error
}

// planned is a job that is run as a plan. Its runs have its jid, and each after one
// in which nothing had run a number behind that: an id is one run in the whole fleet.
type planned struct {
	name string
	ends int // runs that have ended
}

// newPlanned goes on from the runs of a push before, if there was one.
func newPlanned(name string, known *task) *planned {
	switch {
	case name == "":
		return nil
	case known != nil && known.plan != nil && known.plan.name == name:
		return known.plan
	}
	return &planned{name: name}
}

// run is the id of the next run of a job, or of that under way.
func (p *planned) run(jid string) string {
	if p.ends == 0 {
		return jid
	}
	return fmt.Sprintf("%s#%d", jid, p.ends)
}

// planOf reads the plan that a job names.
func planOf(v *fastjson.Value, jid string) (string, error) {
	at := v.Get("custom", "plan")
	if at == nil || at.Type() == fastjson.TypeNull {
		return "", nil
	}
	name := string(at.GetStringBytes())
	switch {
	case name == "" || len(name) > maxName:
		return "", errors.New("custom.plan is the name of a plan")
	case strings.Contains(jid, "#"):
		return "", errors.New("the jid of a job with a plan has no #") // it numbers runs
	}
	return name, nil
}

// read is readJob for jobs that come in: a plan that they name must be in use.
func (b *backlog) read(v *fastjson.Value, now time.Time) (job, error) {
	j, err := readJob(v, b.set, now)
	switch {
	case err != nil || j.plan == "":
		return j, err
	case b.plans == nil:
		return j, fmt.Errorf("plan %q can't be run: this process is in no fleet", j.plan)
	}
	return j, b.plans.InUse(j.plan)
}

// planInput is what a plan is started with: the job's args, and what else its custom
// object has.
func planInput(v *fastjson.Value) []byte {
	var a fastjson.Arena
	input, custom := a.NewObject(), v.Get("custom")
	custom.Del("plan")
	input.Set("args", v.Get("args"))
	input.Set("custom", custom)
	return jsontext.Append(nil, input)
}

// feedPlans begins the plans that come first in a queue: nobody fetches them.
func (b *backlog) feedPlans(queue string) {
	for now := time.Now(); ; {
		w, expired := b.book.DequeueIf(now, queue, func(j *sets.Job) bool { return j.Attachment.(*task).plan != nil })
		b.expire(expired)
		if w == nil {
			return
		}
		b.begin(w.Attachment.(*task), now)
	}
}

// begin begins the run of a job that was taken from its queue.
func (b *backlog) begin(t *task, now time.Time) {
	var j job
	v, err := fastjson.ParseBytes(t.job.Body)
	if err == nil {
		j, err = readJob(v, b.set, now)
	}
	if err != nil {
		b.conclude(t, engine.Answer{Verdict: engine.Denied, Body: []byte(err.Error() + "\n")})
		return
	}
	t.state, t.failed, t.at = isOut, nil, now
	b.book.Started(t.job)
	run, queue := t.plan.run(t.id), t.job.Queue
	err = b.plans.Begin(run, t.plan.name, j.arrival.Tenant, planInput(v), j.arrival.ClientDeadline, func(a engine.Answer) {
		b.mu.Lock()
		defer b.mu.Unlock()
		t.plan.ends++
		b.planEnded(t, run, a)
		b.feed(queue)
	})
	if err != nil { // the id is still to be used
		b.planEnded(t, run, engine.Answer{Verdict: engine.Refused, Body: []byte(err.Error() + "\n")})
	}
}

// planEnded takes in the final answer of a run. Only one in which nothing has run is
// followed by another.
func (b *backlog) planEnded(t *task, run string, a engine.Answer) {
	now := time.Now()
	t.at = now
	fate := sets.Discarded
	switch a.Verdict {
	case engine.Served:
		b.processed++
	case engine.Refused:
		fate = b.book.Rejected(now, t.job, a.RetryAt)
	default:
		b.processed++
		b.failures++
		why := "failed before anything ran"
		if t.job.MayHaveRun = a.Verdict == engine.Failed; t.job.MayHaveRun {
			why = "may have run, and is not begun again"
		}
		t.failed = &failure{kind: "Plan", message: cut(fmt.Sprintf("run %s of plan %s %s: %s", run, t.plan.name, why, strings.TrimSpace(string(a.Body))))}
		fate = b.book.Failed(now, t.job, false, t.failed.kind, t.failed.message, nil)
	}
	if fate == sets.WillRetry {
		t.state = waits
		b.wake()
		return
	}
	b.conclude(t, a)
}
