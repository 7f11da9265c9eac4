package faktory

import (
	"sync"
	"time"

	"basaltloft/internal/account"
	"basaltloft/internal/core"

	"github.com/valyala/fastjson"
)

const mostResults = 8 << 20 // bytes of results that are remembered

// outcomes remembers the pushed jobs: those in hand, and of the others the
// latest, so that a jid pushed again joins its first push, and its one final
// outcome can be asked for. It is lost with the process.
type outcomes struct {
	desk  *account.Desk
	mu    sync.Mutex
	most  int
	bytes int
	jobs  map[string]*outcome
	done  []*outcome // the oldest first
}

// outcome is what became of one pushed job. It implements core.Client.
type outcome struct {
	of     *outcomes
	id     string
	final  bool
	answer core.Answer
	at     time.Time
}

func newOutcomes(most int, desk *account.Desk) *outcomes {
	return &outcomes{desk: desk, most: most, jobs: make(map[string]*outcome)}
}

// begin enters a job. joined says that it is known already and must not be
// submitted again: it is in hand, or was served or failed. One that was
// refused did not run, and its client was told to come back.
func (o *outcomes) begin(id string) (mine *outcome, joined bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known := o.jobs[id]; known != nil && !(known.final && retryable(known.answer.Verdict)) {
		return known, true
	}
	mine = &outcome{of: o, id: id, at: time.Now()}
	o.jobs[id] = mine
	return mine, false
}

func retryable(v core.Verdict) bool { return v == core.Refused || v == core.Denied }

// Answer implements core.Client.
func (c *outcome) Answer(a core.Answer) {
	c.of.desk.Answered(a.Verdict.Outcome())
	c.settle(a)
}

// settle keeps what became of a job, whether or not the core was asked.
func (c *outcome) settle(a core.Answer) {
	o := c.of
	o.mu.Lock()
	defer o.mu.Unlock()
	c.final, c.answer, c.at = true, a, time.Now()
	o.done = append(o.done, c)
	o.bytes += len(a.Body)
	for len(o.done) > 0 && (len(o.done) > o.most || o.bytes > mostResults) {
		oldest := o.done[0]
		o.done[0] = nil
		o.done = o.done[1:]
		o.bytes -= len(oldest.answer.Body)
		if o.jobs[oldest.id] == oldest { // a later push of the same jid has its own
			delete(o.jobs, oldest.id)
		}
	}
}

// state is what is known of the job so far.
func (c *outcome) state() (a core.Answer, final bool) {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	return c.answer, c.final
}

// find returns the last outcome of a jid, or nil.
func (o *outcomes) find(id string) *outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.jobs[id]
}

// track is the answer to TRACK GET.
func (c *outcome) track(working bool) []byte {
	a, final := c.state()
	state := "enqueued"
	if working {
		state = "working"
	}
	var arena fastjson.Arena
	v := arena.NewObject()
	v.Set("jid", arena.NewString(c.id))
	if final {
		switch a.Verdict {
		case core.Served:
			state = "success"
		case core.Failed:
			state = "failed"
		default:
			state = "dead"
			if !a.RetryAt.IsZero() {
				v.Set("retry_at", arena.NewString(a.RetryAt.UTC().Format(time.RFC3339Nano)))
			}
		}
		v.Set("outcome", arena.NewString(a.Verdict.String()))
		if len(a.Body) > 0 {
			v.Set("result", arena.NewString(string(a.Body)))
		}
	}
	v.Set("state", arena.NewString(state))
	c.of.mu.Lock()
	v.Set("updated_at", arena.NewString(c.at.UTC().Format(time.RFC3339Nano)))
	c.of.mu.Unlock()
	return v.MarshalTo(nil)
}
