package simworld_test

import (
	"net/http"
	"time"

	"github.com/anishathalye/porcupine"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/router"
	"basaltloft/internal/cluster/scheduler"
)

// noReturn is the return stamp of an operation without an answer, which may take effect at any time.
const noReturn = int64(1) << 62

// jobHistory records the requests of clients for one job ID with their answers, and what runners did.
type jobHistory struct {
	id                string
	queue             string
	operations        []porcupine.Operation
	accepted          bool
	cancelled         time.Duration // when a cancellation was acknowledged; 0: none was
	completedTasks    map[job.TaskRef]bool
	acknowledgedTasks map[job.TaskRef]bool
	failures          map[job.TaskRef]int
}

// recordAcknowledgedEnd records an end that the scheduler acknowledged to a runner.
func (j *jobHistory) recordAcknowledgedEnd(end scheduler.ReportedEnd) {
	switch end.Reason {
	case job.EndDone:
		j.acknowledgedTasks[end.Task] = true
	case job.EndFailed:
		j.failures[end.Task]++
	}
}

// checkStart checks the rules that the start of a task can violate.
func (j *jobHistory) checkStart(w *world, r *runner, order scheduler.Order) {
	if j.acknowledgedTasks[order.Task] {
		w.fail("TWICE: %v starts at %s after its end was acknowledged", order.Task, r.name)
	}
	if j.failures[order.Task] >= retries {
		w.fail("BUDGET: %v starts after %d failures", order.Task, j.failures[order.Task])
	}
	if j.cancelled > 0 && w.now > j.cancelled+w.deployment.cancel {
		w.fail("UNASKED: %v starts %v after its cancellation was acknowledged", order.Task, w.now-j.cancelled)
	}
}

// jobMethod is the method of a client's request for a job.
type jobMethod uint8

const (
	methodPost jobMethod = iota
	methodGet
	methodDelete
)

// jobInput is the input of an operation on a job, for porcupine.
type jobInput struct {
	method jobMethod
	body   string
}

// jobOutput is the answer to an operation on a job.
type jobOutput struct {
	status protocol.Status // 0: unknown
	state  string
}

// jobState is the state of a job ID in jobModel.
type jobState struct {
	phase jobPhase
	body  string
}

// jobPhase is the phase of a job's life.
type jobPhase uint8

const (
	phaseUnknown         jobPhase = iota
	phaseCancelledBefore          // cancelled before it was submitted
	phaseAccepted
	phaseCancelled
	phaseEnded // completed or failed
)

// jobModel defines which histories of one ID are linearizable. A job may end by itself at any time.
var jobModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{jobState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(jobState), input.(jobInput), output.(jobOutput)
		switch in.method {
		case methodPost:
			return s.post(in, out)
		case methodGet:
			return s.get(out)
		}
		return s.delete(out)
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// post returns the possible states after a submission with that answer; none: the answer is wrong.
func (s jobState) post(in jobInput, out jobOutput) []any {
	accepted := jobState{phase: phaseAccepted, body: in.body}
	switch {
	case out.status == 0:
		if s.phase == phaseUnknown {
			return []any{s, accepted}
		}
		return []any{s}
	case out.status == http.StatusOK && s.phase == phaseUnknown:
		return []any{accepted}
	case out.status == http.StatusOK && s.phase >= phaseAccepted && s.body == in.body:
		return []any{s}
	case out.status == http.StatusOK:
		return nil
	case out.status == http.StatusConflict && (s.phase < phaseAccepted || s.body == in.body):
		return nil // there is no conflict: the ID is free or has the same job
	}
	return []any{s} // rejected: without effect
}

// get returns the possible states after a request for the state with that answer; none: the answer is
// wrong.
func (s jobState) get(out jobOutput) []any {
	switch {
	case out.status == http.StatusGone && s.phase < phaseAccepted:
		return []any{s}
	case out.status == http.StatusOK && s.phase < phaseAccepted, out.status == http.StatusGone:
		return nil
	case out.status != http.StatusOK:
		return []any{s}
	}
	ended := jobState{phase: phaseEnded, body: s.body}
	switch out.state {
	case "canceled":
		if s.phase == phaseCancelled {
			return []any{s}
		}
	case "completed", "failed":
		if s.phase == phaseAccepted || s.phase == phaseEnded {
			return []any{ended}
		}
	default:
		if s.phase == phaseAccepted {
			return []any{s}
		}
	}
	return nil
}

// delete returns the possible states after a cancellation with that answer; none: the answer is wrong.
func (s jobState) delete(out jobOutput) []any {
	after := []any{s}
	switch s.phase {
	case phaseUnknown:
		after = []any{jobState{phase: phaseCancelledBefore}}
	case phaseAccepted:
		after = []any{jobState{phase: phaseCancelled, body: s.body}, jobState{phase: phaseEnded, body: s.body}}
	}
	switch {
	case out.status == 0:
		return append(after, s)
	case out.status == http.StatusOK && s.phase < phaseAccepted, out.status == http.StatusGone && s.phase >= phaseAccepted:
		return nil
	case out.status == http.StatusOK, out.status == http.StatusGone:
		return after
	}
	return []any{s}
}

// retries is how often a task of the queues in configText may fail.
const retries = 5

// queues are the queues in configText.
var queues = []string{"h/q0/", "h/q1/"}

// jobBodyFormat makes a job of three tasks in two stages.
const jobBodyFormat = `{"spec":"%s","stages":[{"count":2,"cpu":100,"mem_mb":1,"estimate_ms":200},{"count":1,"cpu":100,"depends_on":[0]}]}`

// newSubmitCall returns a function that makes a dispatcher's call for a submission.
func newSubmitCall(id, body string) func(*router.View, *opconfig.Route) *router.Call {
	return func(v *router.View, route *opconfig.Route) *router.Call {
		return router.NewSubmitCall(v, route, id, []byte(body))
	}
}

// newJobCall returns a function that makes a dispatcher's call for another request for a job.
func newJobCall(verb protocol.JobOperation, id string) func(*router.View, *opconfig.Route) *router.Call {
	return func(v *router.View, route *opconfig.Route) *router.Call {
		return router.NewJobCall(v, route, verb, id)
	}
}
