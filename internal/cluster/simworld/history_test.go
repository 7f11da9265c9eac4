package simworld_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/anishathalye/porcupine"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/router"
	"basaltloft/internal/cluster/scheduler"
)

// never is the return of an operation without a clear answer: it may take effect at any time.
const never = int64(1) << 62

// configHistory is what operators did and saw.
type configHistory struct {
	operations []porcupine.Operation
	acked      []ackedVersion
	newest     int64    // highest version that was acknowledged
	orders     []*order // that were taken, for resends
}

type ackedVersion struct {
	version int64
	at      time.Duration
}

// order is an operator's change.
type order struct {
	base, version int64
	content       []byte
}

// configInput and configOutput are an operation on the configuration, as porcupine sees it.
type configInput struct {
	read          bool
	base, version int64
	content       string
}

type configOutput struct {
	status  protocol.Status // 0: not known
	content string
}

// configState is the register as the rules describe it: the newest version and its content,
// and what was ever taken, as a text of "version=content;" each.
type configState struct {
	version int64
	content string
	taken   string
}

func (s configState) has(in configInput) bool {
	return containsText(s.taken, fmt.Sprintf(";%d=%s;", in.version, in.content))
}

func containsText(text, part string) bool {
	for at := 0; at+len(part) <= len(text); at++ {
		if text[at:at+len(part)] == part {
			return true
		}
	}
	return false
}

func (s configState) with(in configInput) configState {
	return configState{version: in.version, content: in.content, taken: s.taken + fmt.Sprintf(";%d=%s;", in.version, in.content)}
}

// configModel says which histories of the configuration are right.
var configModel = porcupine.Model{
	Init: func() any { return configState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(configState), input.(configInput), output.(configOutput)
		if in.read {
			return out.content == s.content, s
		}
		free := in.base == s.version && in.version > s.version
		switch {
		case out.status == 0: // it may have had its effect, or none
			if free && !s.has(in) {
				return true, s.with(in)
			}
			return true, s
		case out.status == http.StatusOK && s.has(in):
			return true, s
		case out.status == http.StatusOK:
			return free, s.with(in)
		}
		return !s.has(in) && !free, s // refused
	},
}

func (h *configHistory) add(client int, from, to int64, in configInput, out configOutput) {
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: from, Return: to, Output: out})
}

// checkActedOn checks CONFIG at a dispatcher: no older version than was acknowledged long
// enough before the request was sent, and none older than this life has acted on.
func (h *configHistory) checkActedOn(e *edge, version int64, sent time.Duration) {
	for _, acked := range h.acked {
		if sent > acked.at+e.w.bounds.applyWithin && version < acked.version {
			e.w.fail("CONFIG: %s acts on version %d on a request sent %v after %d was acknowledged", e.name, version, sent-acked.at, acked.version)
		}
	}
	if version < e.highest {
		e.w.fail("CONFIG: %s goes back from version %d to %d", e.name, e.highest, version)
	}
	e.highest = version
}

// jobHistory is what clients did with an ID and saw of it.
type jobHistory struct {
	id         string
	queue      string
	operations []porcupine.Operation
	accepted   bool
	cancelled  time.Duration // when a cancelling was acknowledged; 0: none was
	done       map[job.TaskRef]bool
	noted      map[job.TaskRef]bool
	failed     map[job.TaskRef]int
}

// note keeps that a runner was told that an end was seen.
func (j *jobHistory) note(end scheduler.ReportedEnd) {
	switch end.Reason {
	case job.EndDone:
		j.noted[end.Task] = true
	case job.EndFailed:
		j.failed[end.Task]++
	}
}

func (j *jobHistory) checkStart(w *world, r *runner, order scheduler.Order) {
	if j.noted[order.Task] {
		w.fail("TWICE: %v starts at %s after its end was taken note of", order.Task, r.name)
	}
	if j.failed[order.Task] >= retries {
		w.fail("BUDGET: %v starts after %d failures", order.Task, j.failed[order.Task])
	}
	if j.cancelled > 0 && w.now > j.cancelled+w.bounds.cancel {
		w.fail("UNASKED: %v starts %v after its cancelling was acknowledged", order.Task, w.now-j.cancelled)
	}
}

type jobVerb uint8

const (
	verbPost jobVerb = iota
	verbGet
	verbDelete
)

type jobInput struct {
	verb jobVerb
	body string
}

type jobOutput struct {
	status protocol.Status // 0: not known
	state  string
}

// jobState is an ID as the rules describe it.
type jobState struct {
	stage jobStage
	body  string
}

type jobStage uint8

const (
	absent jobStage = iota
	withdrawn
	held
	cancelled
	ended // completed or failed
)

// jobModel says which histories of one ID are right. A job may end by itself at any time.
var jobModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{jobState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(jobState), input.(jobInput), output.(jobOutput)
		switch in.verb {
		case verbPost:
			return s.post(in, out)
		case verbGet:
			return s.get(out)
		}
		return s.delete(out)
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

func (s jobState) post(in jobInput, out jobOutput) []any {
	taken := jobState{stage: held, body: in.body}
	switch {
	case out.status == 0:
		if s.stage == absent {
			return []any{s, taken}
		}
		return []any{s}
	case out.status == http.StatusOK && s.stage == absent:
		return []any{taken}
	case out.status == http.StatusOK && s.stage >= held && s.body == in.body:
		return []any{s}
	case out.status == http.StatusOK:
		return nil
	case out.status == http.StatusConflict && (s.stage < held || s.body == in.body):
		return nil // it is the same job
	}
	return []any{s} // refused: without effect
}

func (s jobState) get(out jobOutput) []any {
	switch {
	case out.status == http.StatusGone && s.stage < held:
		return []any{s}
	case out.status == http.StatusOK && s.stage < held, out.status == http.StatusGone:
		return nil
	case out.status != http.StatusOK:
		return []any{s}
	}
	over := jobState{stage: ended, body: s.body}
	switch out.state {
	case "canceled":
		if s.stage == cancelled {
			return []any{s}
		}
	case "completed", "failed":
		if s.stage == held || s.stage == ended {
			return []any{over}
		}
	default:
		if s.stage == held {
			return []any{s}
		}
	}
	return nil
}

func (s jobState) delete(out jobOutput) []any {
	after := []any{s}
	switch s.stage {
	case absent:
		after = []any{jobState{stage: withdrawn}}
	case held:
		after = []any{jobState{stage: cancelled, body: s.body}, jobState{stage: ended, body: s.body}}
	}
	switch {
	case out.status == 0:
		return append(after, s)
	case out.status == http.StatusOK && s.stage < held, out.status == http.StatusGone && s.stage >= held:
		return nil
	case out.status == http.StatusOK, out.status == http.StatusGone:
		return after
	}
	return []any{s}
}

const retries = 5

// configText returns a configuration: two queues, each at one of two services.
func configText(version int64, first, second int, timeout int) []byte {
	type route struct {
		Name       string  `json:"name"`
		Host       string  `json:"host"`
		PathPrefix string  `json:"path_prefix"`
		TimeoutMs  int     `json:"timeout_ms"`
		TargetMs   float64 `json:"target_ms"`
		Backend    string  `json:"backend"`
		Retries    int     `json:"retries"`
	}
	type service struct {
		Name string `json:"name"`
	}
	content, err := json.Marshal(struct {
		Version  int64     `json:"version"`
		Routes   []route   `json:"routes"`
		Services []service `json:"services"`
	}{version, []route{
		{"r0", "h", "/q0/", timeout, 250, services[first], retries},
		{"r1", "h", "/q1/", timeout, 250, services[second], retries},
	}, []service{{services[0]}, {services[1]}}})
	if err != nil {
		panic(err)
	}
	return content
}

var queues = []string{"h/q0/", "h/q1/"}

const bodyFormat = `{"spec":"%s","stages":[{"count":2,"cpu":100,"mem_mb":1,"estimate_ms":200},{"count":1,"cpu":100,"depends_on":[0]}]}`

// buildSubmit and buildAsk are what an edge makes of a client's request.
func buildSubmit(id, body string) func(*router.View, *opconfig.Route) *router.Call {
	return func(v *router.View, route *opconfig.Route) *router.Call {
		return router.NewSubmitCall(v, route, id, []byte(body))
	}
}

func buildAsk(verb protocol.JobOperation, id string) func(*router.View, *opconfig.Route) *router.Call {
	return func(v *router.View, route *opconfig.Route) *router.Call {
		return router.NewJobCall(v, route, verb, id)
	}
}
