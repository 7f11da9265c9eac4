package faktory

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/engine"

	"github.com/stretchr/testify/require"
)

// fakePlanStarter replaces the fleet's coordinator.
type fakePlanStarter struct {
	started   []string // run, plan, tenant, input
	deadlines []time.Time
	done      []func(engine.Answer)
	err       error
}

func (p *fakePlanStarter) CheckInUse(plan string) error {
	if plan != "coach" {
		return fmt.Errorf("no plan %q", plan)
	}
	return nil
}

func (p *fakePlanStarter) Start(run, plan, tenant string, input []byte, until time.Time, done func(engine.Answer)) error {
	p.started, p.deadlines, p.done = append(p.started, fmt.Sprintf("%s %s %s %s", run, plan, tenant, input)), append(p.deadlines, until), append(p.done, done)
	return p.err
}

// planJob returns a job with the plan; custom and more are further fields of its custom object and
// of the job.
func planJob(jid, custom, more string) string {
	return fmt.Sprintf(`{"jid":%q,"jobtype":"Mail","queue":"q","args":[7,"a"]%s,"custom":{"plan":"coach"%s}}`, jid, more, custom)
}

// TestPlanJobs: the run of a job that names a plan starts when the job is first in its queue, each
// run has an id of its own, and a run that may have had effects is never followed by another.
//
//nolint:funlen // a table of scripts
func TestPlanJobs(t *testing.T) {
	input := `{"args":[7,"a"],"custom":{}}`
	served, refused := engine.Answer{Verdict: engine.Served, Body: []byte(`{"outcome":"served"}`)}, engine.Answer{Verdict: engine.Refused, Body: []byte("x")}
	failed := engine.Answer{Verdict: engine.Failed, Body: []byte(`{"left":["ticket"]}`)}
	for name, step := range map[string]func(do func(command, rest, want string) string, p *fakePlanStarter, b *backlog){
		"its answer is its result": func(do func(c, r, w string) string, p *fakePlanStarter, b *backlog) {
			do("PUSH", planJob("job-0001", `,"tenant":"hrad","seat":{"n":1}`, ""), `^\+OK`)
			do("PUSH", planJob("job-0001", "", ""), `^\+OK`)
			require.Equal(t, []string{`job-0001 coach hrad {"args":[7,"a"],"custom":{"tenant":"hrad","seat":{"n":1}}}`}, p.started)
			require.Zero(t, p.deadlines[0])
			do("TRACK", "GET job-0001", `"state":"working"`)
			p.done[0](served)
			do("TRACK", "GET job-0001", `"outcome":"served","result":"{\\"outcome\\":\\"served\\"}","state":"success"`)
			do("PUSH", planJob("job-0001", "", ""), `^\+OK`)
			require.Len(t, p.started, 1)
			require.EqualValues(t, 1, b.processed)
		},
		"after a run that never ran there is another, and a job that may have run is dead": func(do func(c, r, w string) string, p *fakePlanStarter, b *backlog) {
			do("PUSH", planJob("job-0001", "", ""), `^\+OK`)
			for n := range 2 {
				p.done[n](refused)
				b.promoteDue() // a second of the backoff is a nanosecond here
			}
			require.Equal(t, []string{"job-0001 coach  " + input, "job-0001#1 coach  " + input, "job-0001#2 coach  " + input}, p.started)
			p.done[2](failed)
			b.promoteDue()
			do("TRACK", "GET job-0001", `"message":"run job-0001#2 of plan coach may have run, and is not begun again: {\\"left\\".*"state":"failed"`)
			do("PUSH", planJob("job-0001", "", ""), `^\+OK`)
			do("MUTATE", `{"cmd":"requeue","target":"dead","filter":{"jids":["job-0001"]}}`, "may have run already")
			require.Len(t, p.started, 3)
			do("MUTATE", `{"cmd":"requeue","target":"dead","filter":{"jids":["job-0001"]},"known_not_run":"desk"}`, `^\+OK`)
			require.Equal(t, "job-0001#3 coach  "+input, p.started[3])
		},
		"a run that could not be started is started again under its id": func(do func(c, r, w string) string, p *fakePlanStarter, b *backlog) {
			p.err = errors.New("away")
			do("PUSH", planJob("job-0001", "", ""), `^\+OK`)
			p.err = nil
			b.promoteDue()
			require.Equal(t, []string{"job-0001 coach  " + input, "job-0001 coach  " + input}, p.started, "the id has not been used, so it is used again")
		},
		"a run starts when its job is first in its queue": func(do func(c, r, w string) string, p *fakePlanStarter, b *backlog) {
			do("QUEUE", "PAUSE q", "OK")
			soon := time.Now().Add(time.Hour).UTC().Format(time.RFC3339Nano)
			do("PUSH", planJob("job-0001", fmt.Sprintf(`,"expires_at":%q`, soon), ""), `^\+OK`)
			do("PUSH", planJob("job-0002", "", fmt.Sprintf(`,"at":%q`, soon)), `^\+OK`)
			do("PUSH", `{"jid":"job-0003","jobtype":"Mail","queue":"q","args":[]}`, `^\+OK`)
			do("PUSH", planJob("job-0004", "", ""), `^\+OK`)
			require.Empty(t, p.started)
			do("QUEUE", "RESUME q", "OK")
			require.Len(t, p.started, 1)
			require.Equal(t, soon, p.deadlines[0].UTC().Format(time.RFC3339Nano))
			f := b.workers.fetch(b.workers.connect(hello{workerID: "w1"}), []string{"q"})
			require.Equal(t, "job-0004 coach  "+input, p.started[1], "it starts once the job before it has been submitted")
			b.engine.(*fakeEngine).runUntilIdle()
			require.Contains(t, string((<-f.delivered).payload), "job-0003")
			require.Zero(t, b.unfetched["q"])
		},
		"unique jobs, and jobs and call-backs of batches": func(do func(c, r, w string) string, p *fakePlanStarter, _ *backlog) {
			unique := `,"unique_for":60,"unique_until":"start"`
			do("PUSH", planJob("job-0001", unique, ""), `^\+OK`)
			do("PUSH", planJob("job-0002", unique, ""), `^\+OK`) // the first has started
			bid := strings.TrimSpace(do("BATCH", `NEW {"success":`+planJob("job-0009", "", "")+`}`, `^\+b-`)[1:])
			do("PUSH", planJob("job-0003", fmt.Sprintf(`,"bid":%q`, bid), ""), `^\+OK`)
			do("BATCH", "COMMIT "+bid, "OK")
			p.done[2](served)
			require.Contains(t, p.started[3], "job-0009 coach", "the batch's call-back is a plan as well")
		},
		"pushes that are not accepted": func(do func(c, r, w string) string, _ *fakePlanStarter, b *backlog) {
			do("PUSH", `{"jid":"job-0001","jobtype":"Mail","args":[],"custom":{"plan":"bus"}}`, `^-ERR no plan "bus"`)
			do("PUSH", `{"jid":"job-0001","jobtype":"Mail","args":[],"custom":{"plan":7}}`, `^-ERR custom.plan is the name`)
			do("PUSH", planJob("job-0001#1", "", ""), `^-ERR the jid of a job with a plan has no #`)
			do("BATCH", `NEW {"success":{"jobtype":"Mail","args":[],"custom":{"plan":"bus"}}}`, `^-ERR success: no plan`)
			b.plans = nil
			do("PUSH", planJob("job-0001", "", ""), `^-ERR plan "coach" can't be run: this process is in no fleet`)
			require.Empty(t, b.tasks)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, h := newFront()
			p := &fakePlanStarter{}
			s.SetPlans(p)
			client := &session{Server: s}
			step(func(command, rest, want string) string {
				t.Helper()
				text := commandHandlers[command](client, rest)
				h.runUntilIdle()
				require.Regexp(t, want, text, "%s %s", command, rest)
				return text
			}, p, s.backlog)
			require.Zero(t, s.Counters.Snapshot().Answers, "a plan is no transaction of this front")
		})
	}
}
