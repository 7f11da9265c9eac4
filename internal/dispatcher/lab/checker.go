package lab

import (
	"fmt"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// checker checks a run against the rules of the protocol. Its tables are its own, made of
// the messages of the run; it shares nothing with the policies.
type checker struct {
	world         *World
	violations    []string
	omitted       int // violations beyond those that are kept
	requests      map[*request]*checkedRequest
	drainingSince map[*dispatcher]map[uint32]time.Duration // since when a dispatcher knows that a member drains or is gone
	coldArrivals  map[uint32][]arrival                     // attempts that reached a member while it warmed up, within the rule's window
}

// checkedRequest is what the checker knows of one request.
type checkedRequest struct {
	accepted bool
	answers  int
	attempts []*attempt
	statuses map[*attempt]policy.Status
	inFlight int // attempts
}

// arrival is an attempt that reached a cold member.
type arrival struct {
	at   time.Duration
	work float64 // at speed 1, by all its slots
}

func newChecker(w *World) *checker {
	return &checker{world: w, requests: make(map[*request]*checkedRequest), drainingSince: make(map[*dispatcher]map[uint32]time.Duration), coldArrivals: make(map[uint32][]arrival)}
}

// maxViolations bounds the violations that are kept; more are only counted.
const maxViolations = 20

func (c *checker) violation(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("%.3f s: ", (c.world.now-startTime).Seconds())+fmt.Sprintf(format, args...))
	} else {
		c.omitted++
	}
}

func (c *checker) requestState(r *request) *checkedRequest {
	state := c.requests[r]
	if state == nil {
		state = &checkedRequest{statuses: make(map[*attempt]policy.Status)}
		c.requests[r] = state
	}
	return state
}

func (c *checker) accepted(r *request) { c.requestState(r).accepted = true }

// attemptSent checks an attempt that a policy sends.
func (c *checker) attemptSent(d *dispatcher, a *attempt) {
	state, s := c.requestState(a.request), &c.world.experiment.Settings
	if state.answers > 0 {
		c.violation("%s is sent after its final answer", a.request.id)
	}
	if state.inFlight > 0 && !s.Limits.ConcurrentAttempts {
		c.violation("%s has two attempts at once", a.request.id)
	}
	if len(state.attempts) >= s.Limits.MaxAttempts {
		c.violation("%s is sent for the %dth time", a.request.id, len(state.attempts)+1)
	}
	for _, before := range state.attempts {
		status, ended := state.statuses[before]
		if ended && s.Rules.ProvesNotRun(status) {
			continue
		}
		switch a.request.class.Effect {
		case policy.AtMostOnce:
			c.violation("%s, which must not run twice, is sent again", a.request.id)
		case policy.Deduplicated:
			same := a.request.class.DedupScope == policy.DedupAll || a.request.class.DedupScope == policy.DedupZone || before.member.cell == a.member.cell
			if !same || c.world.now-before.sentAt > a.request.class.DedupWindow {
				c.violation("%s is sent again outside of its group or window", a.request.id)
			}
		}
	}
	if at, closed := c.drainingSince[d][a.member.number]; closed && c.world.now > at+drainWindow {
		c.violation("%s is sent to member %d, %.1f s after it was told to be draining or gone", a.request.id, a.member.number, (c.world.now - at).Seconds())
	}
	state.attempts = append(state.attempts, a)
	state.inFlight++
}

// drainWindow is how long a member may still be sent to after its dispatcher knows that
// it drains or is gone.
const drainWindow = 2 * time.Second

// membershipChanged records what a dispatcher learns of a member.
func (c *checker) membershipChanged(d *dispatcher, m policy.Member) {
	of := c.drainingSince[d]
	if of == nil {
		of = make(map[uint32]time.Duration)
		c.drainingSince[d] = of
	}
	if m.State == policy.Ready {
		delete(of, m.Number)
	} else if _, known := of[m.Number]; !known {
		of[m.Number] = c.world.now
	}
}

// attemptReceived checks the work that reaches a cold member against the rule: that of any
// window stays under a multiple of what the member can do now.
func (c *checker) attemptReceived(m *member, a *attempt) {
	rules := c.world.experiment.Settings.Rules
	if m.started == 0 || m.warmth() >= 1 || rules.ColdOverloadWindow == 0 {
		return
	}
	all := slices.DeleteFunc(c.coldArrivals[m.number], func(x arrival) bool { return x.at <= c.world.now-rules.ColdOverloadWindow })
	all = append(all, arrival{c.world.now, a.request.work * a.request.slots})
	c.coldArrivals[m.number] = all
	sum := 0.0
	for _, x := range all {
		sum += x.work
	}
	capacity := m.speed * m.warmth() * float64(m.kind.Cores) * float64(rules.ColdOverloadWindow)
	// A little slack for chance, and for the one job that is larger than all.
	if sum > rules.ColdOverloadMultiple*capacity*1.1 && len(all) > 1 {
		c.violation("cold member %d got %.1f times what it can do", m.number, sum/capacity)
	}
}

func (c *checker) attemptEnded(a *attempt, s policy.Status) {
	state := c.requestState(a.request)
	state.statuses[a] = s
	state.inFlight--
}

// dispatcherCrashed records that a dispatcher ended with a request open: none of its
// attempts counts any more, and the broken connection was its client's answer.
func (c *checker) dispatcherCrashed(r *request) {
	state := c.requestState(r)
	state.inFlight = 0
}

func (c *checker) answered(r *request, refused bool) {
	state := c.requestState(r)
	state.answers++
	if late := c.world.now - r.deadline - c.world.experiment.Settings.Rules.AnswerGrace; late > 0 {
		c.violation("%s has its answer %v after its deadline", r.id, late)
	}
	if !refused || r.class.Effect == policy.Idempotent || r.class.Effect == policy.Deduplicated && r.class.DedupScope == policy.DedupAll {
		return
	}
	for _, a := range state.attempts {
		if s, ended := state.statuses[a]; !ended || !c.world.experiment.Settings.Rules.ProvesNotRun(s) {
			c.violation("%s is refused, though it may have run", r.id)
			return
		}
	}
}

func (c *checker) answeredTwice(r *request) { c.violation("%s has a second final answer", r.id) }

// finish checks what must hold at the end of a run.
func (c *checker) finish() {
	for r, state := range c.requests {
		if state.accepted && state.answers == 0 {
			c.violation("%s has no final answer", r.id)
		}
	}
	slices.Sort(c.violations)
	if c.omitted > 0 {
		c.violations = append(c.violations, fmt.Sprintf("and %d more", c.omitted))
	}
}
