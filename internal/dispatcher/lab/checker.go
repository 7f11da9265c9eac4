package lab

import (
	"fmt"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// checker checks a run against the rules of the protocol. It keeps its own records, from the
// messages of the run, and shares no state with the policies.
type checker struct {
	world      *World
	violations []string
	omitted    int // violations beyond maxViolations
	requests   map[*request]*checkedRequest
	// drainingSince holds when a dispatcher was notified that a member drains or is removed.
	drainingSince map[*dispatcher]map[uint32]time.Duration
	// coldArrivals holds the attempts that reached a member while it warmed up, within
	// ColdOverloadWindow.
	coldArrivals map[uint32][]arrival
}

// checkedRequest is the checker's record of one request.
type checkedRequest struct {
	accepted bool
	answers  int
	attempts []*attempt
	statuses map[*attempt]policy.Status
	inFlight int // attempts in flight
}

// arrival is an attempt that reached a cold member.
type arrival struct {
	at   time.Duration
	work float64 // nanoseconds at speed 1, times the slots
}

func newChecker(w *World) *checker {
	return &checker{world: w, requests: make(map[*request]*checkedRequest), drainingSince: make(map[*dispatcher]map[uint32]time.Duration), coldArrivals: make(map[uint32][]arrival)}
}

// maxViolations is the largest number of violations that are kept; further ones are only counted.
const maxViolations = 20

// violation records a violation of a rule.
func (c *checker) violation(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("%.3f s: ", (c.world.now-startTime).Seconds())+fmt.Sprintf(format, args...))
	} else {
		c.omitted++
	}
}

// requestState returns the record of a request, and creates it if there is none.
func (c *checker) requestState(r *request) *checkedRequest {
	state := c.requests[r]
	if state == nil {
		state = &checkedRequest{statuses: make(map[*attempt]policy.Status)}
		c.requests[r] = state
	}
	return state
}

func (c *checker) accepted(r *request) { c.requestState(r).accepted = true }

// attemptSent records an attempt that a policy sends, and checks that it may be sent.
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
			sameScope := a.request.class.DedupScope == policy.DedupAll || a.request.class.DedupScope == policy.DedupZone || before.member.cell == a.member.cell
			if !sameScope || c.world.now-before.sentAt > a.request.class.DedupWindow {
				c.violation("%s is sent again outside of its group or window", a.request.id)
			}
		}
	}
	if at, draining := c.drainingSince[d][a.member.number]; draining && c.world.now > at+drainWindow {
		c.violation("%s is sent to member %d, %.1f s after it was told to be draining or gone", a.request.id, a.member.number, (c.world.now - at).Seconds())
	}
	state.attempts = append(state.attempts, a)
	state.inFlight++
}

// drainWindow is how long a dispatcher may still send attempts to a member after it was
// notified that the member drains or is removed.
const drainWindow = 2 * time.Second

// membershipChanged records a change of a member that reaches a dispatcher.
func (c *checker) membershipChanged(d *dispatcher, m policy.Member) {
	since := c.drainingSince[d]
	if since == nil {
		since = make(map[uint32]time.Duration)
		c.drainingSince[d] = since
	}
	if m.State == policy.Ready {
		delete(since, m.Number)
	} else if _, known := since[m.Number]; !known {
		since[m.Number] = c.world.now
	}
}

// attemptReceived checks the work that reaches a cold member: the work that arrives within
// ColdOverloadWindow must stay below ColdOverloadMultiple times what the member can do in
// that time at its current speed.
func (c *checker) attemptReceived(m *member, a *attempt) {
	rules := c.world.experiment.Settings.Rules
	if m.started == 0 || m.warmupFactor() >= 1 || rules.ColdOverloadWindow == 0 {
		return
	}
	recent := slices.DeleteFunc(c.coldArrivals[m.number], func(x arrival) bool { return x.at <= c.world.now-rules.ColdOverloadWindow })
	recent = append(recent, arrival{c.world.now, a.request.work * a.request.slots})
	c.coldArrivals[m.number] = recent
	sum := 0.0
	for _, x := range recent {
		sum += x.work
	}
	capacity := m.speed * m.warmupFactor() * float64(m.kind.Cores) * float64(rules.ColdOverloadWindow)
	// 10% tolerance for chance; a single job may exceed the limit alone.
	if sum > rules.ColdOverloadMultiple*capacity*1.1 && len(recent) > 1 {
		c.violation("cold member %d got %.1f times what it can do", m.number, sum/capacity)
	}
}

func (c *checker) attemptEnded(a *attempt, s policy.Status) {
	state := c.requestState(a.request)
	state.statuses[a] = s
	state.inFlight--
}

// dispatcherCrashed records that a dispatcher ended with a request open: the attempts of the
// request no longer count as in flight, and the reset of its connection is the client's
// answer.
func (c *checker) dispatcherCrashed(r *request) {
	state := c.requestState(r)
	state.inFlight = 0
}

// answered checks that a final answer is in time, and that a refused request can't have run
// unless a second run is harmless.
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

// finish reports accepted requests without a final answer, and sorts the violations. It is
// called at the end of a run.
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
