package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// basicPolicy is the common part of the baselines: it sends each request at once to the
// member that pick chooses, resends it as long as the rules of the protocol allow that, and
// answers it at the end. It has no queue.
type basicPolicy struct {
	world   *World
	host    policy.Host
	random  *rand.Rand
	pick    func(p *basicPolicy, from []*memberView, work float64) *memberView
	members []*memberView // sorted by number
	jobs    map[string]*basicJob
	next    int           // counter of the baseline "round robin"
	started time.Duration // time of the first membership, for gate; 0: none yet
}

// memberView is a baseline's view of a member.
type memberView struct {
	policy.Member
	inFlight        int     // attempts in flight
	work            float64 // expected work of these attempts
	member          *member // the true state, for the baseline "true state"
	coldWork        float64 // work sent while it warms up, since coldWindowStart
	coldWindowStart time.Duration
}

// basicJob is a request without a final answer.
type basicJob struct {
	policy.Request
	class       *Class
	attempts    int
	member      *memberView // of the latest attempt
	mayHaveRun  bool
	firstMember *memberView   // the first member that may have run the job
	sentAt      time.Duration // the latest time at which it had certainly not run
}

// expectedWork returns the hint of a job, or the mean work of its class if it has none.
func (j *basicJob) expectedWork() float64 {
	if j.Hint != 0 {
		return float64(j.Hint)
	}
	return float64(j.class.MeanWork)
}

// PolicyMakers holds the policies of a study by name: "module" is the product's policy, the
// others are baselines to compare it with.
var PolicyMakers = map[string]PolicyMaker{
	"module":    NewDispatcherPolicy,
	"gate fifo": newGate(0), "gate wait 1": newGate(1), "gate wait 2": newGate(2), "gate wait 5": newGate(5), "gate shortest": newGate(math.Inf(1)),
	"random": baseline(func(p *basicPolicy, from []*memberView, _ float64) *memberView { return from[p.random.IntN(len(from))] }),
	"round robin": baseline(func(p *basicPolicy, from []*memberView, _ float64) *memberView {
		p.next++
		return from[p.next%len(from)]
	}),
	"least outstanding": baseline(func(p *basicPolicy, from []*memberView, _ float64) *memberView {
		return least(p, from, func(m *memberView) float64 { return float64(m.inFlight) })
	}),
	"best of two": baseline(func(p *basicPolicy, from []*memberView, _ float64) *memberView {
		a, b := from[p.random.IntN(len(from))], from[p.random.IntN(len(from))]
		if b.inFlight < a.inFlight {
			return b
		}
		return a
	}),
	"least work": baseline(func(p *basicPolicy, from []*memberView, _ float64) *memberView {
		return least(p, from, func(m *memberView) float64 { return m.work })
	}),
	"true state": baseline(func(p *basicPolicy, from []*memberView, work float64) *memberView {
		return least(p, from, func(m *memberView) float64 {
			if !m.member.up || m.member.state != policy.Ready || m.member.paused {
				return 1e18
			}
			wait := 0.0
			if held := len(m.member.running) + len(m.member.queue); held >= m.member.kind.Cores {
				wait = m.member.remainingTime()
			}
			return wait + work/(m.member.speed*m.member.speedFactor*m.member.warmupFactor())
		})
	}),
}

// least returns the member with the smallest measure. The search begins at a random member,
// so that members with equal measures share the load.
func least(p *basicPolicy, from []*memberView, measure func(*memberView) float64) (best *memberView) {
	begin, low := p.random.IntN(len(from)), 0.0
	for i := range from {
		m := from[(begin+i)%len(from)]
		if v := measure(m); best == nil || v < low {
			best, low = m, v
		}
	}
	return best
}

// baseline returns a maker of basicPolicy values with the given pick function.
func baseline(pick func(*basicPolicy, []*memberView, float64) *memberView) PolicyMaker {
	return func(w *World, h policy.Host, _ int, seed uint64) (Policy, error) {
		return &basicPolicy{world: w, host: h, random: rand.New(rand.NewPCG(seed, 37)), pick: pick, jobs: make(map[string]*basicJob)}, nil
	}
}

// PolicyNames returns the sorted names of PolicyMakers.
func PolicyNames() (names []string) {
	for name := range PolicyMakers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// PolicyByName returns the entry of PolicyMakers with the given name, or an error if there is none.
func PolicyByName(name string) (PolicyMaker, error) {
	if m := PolicyMakers[name]; m != nil {
		return m, nil
	}
	return nil, fmt.Errorf("no policy is called %q; there are %q", name, PolicyNames())
}

func (p *basicPolicy) classOf(name string) *Class {
	for i := range p.world.experiment.Classes {
		if c := &p.world.experiment.Classes[i]; c.Name == name {
			return c
		}
	}
	return nil
}

// HandleRequest implements Policy.
func (p *basicPolicy) HandleRequest(now time.Duration, r policy.Request) {
	j := &basicJob{Request: r, class: p.classOf(r.Class)}
	p.jobs[r.ID] = j
	p.send(now, j)
}

// candidates returns the members that a job may be sent to.
func (p *basicPolicy) candidates(now time.Duration, j *basicJob) (eligible []*memberView) {
	for _, m := range p.members {
		if m.State != policy.Ready || j.member == m && len(p.members) > 1 {
			continue
		}
		if j.firstMember != nil && j.class.Effect == policy.Deduplicated && j.class.DedupScope != policy.DedupAll && j.firstMember.Cell != m.Cell {
			continue
		}
		if p.exceedsColdBudget(now, m, j) {
			continue
		}
		eligible = append(eligible, m)
	}
	return eligible
}

// send sends a job, or ends it without a result if it may not be sent.
func (p *basicPolicy) send(now time.Duration, j *basicJob) {
	eligible := p.candidates(now, j)
	allowed := j.attempts < p.world.experiment.Settings.Limits.MaxAttempts && now < j.Deadline-sendMargin
	if j.mayHaveRun {
		allowed = allowed && (j.class.Effect == policy.Idempotent || j.class.Effect == policy.Deduplicated && now-j.sentAt < j.class.DedupWindow)
	}
	if !allowed || len(eligible) == 0 {
		p.finishWithoutResult(j)
		return
	}
	work := j.expectedWork()
	chosen := p.pick(p, eligible, work)
	j.member, j.attempts = chosen, j.attempts+1
	if !j.mayHaveRun {
		j.sentAt = now
	}
	chosen.inFlight++
	chosen.work += work
	if p.warmingUp(now, chosen) {
		chosen.coldWork += float64(work * max(1, j.Slots))
	}
	p.host.Send(j.ID, chosen.Number, 0)
}

func (p *basicPolicy) warmingUp(now time.Duration, m *memberView) bool {
	return m.StartedAt != 0 && now-m.StartedAt < p.world.experiment.Settings.Rules.WarmupTime
}

// coldBudgetShare is the share of the cold-overload limit that the baselines use. It is below
// 1 because arrivals from several dispatchers cluster by chance.
const coldBudgetShare = 0.4

// sendMargin is the span before its deadline in which a request is no longer sent.
const sendMargin = 5 * time.Millisecond

// exceedsColdBudget reports whether a job would exceed the work that this dispatcher may send
// to a member that warms up. The budget is coldBudgetShare of the limit for a member at
// ColdCapacity, divided evenly among the dispatchers.
func (p *basicPolicy) exceedsColdBudget(now time.Duration, m *memberView, j *basicJob) bool {
	rules := p.world.experiment.Settings.Rules
	if !p.warmingUp(now, m) || rules.ColdOverloadWindow == 0 {
		return false
	}
	if now-m.coldWindowStart >= rules.ColdOverloadWindow {
		m.coldWindowStart, m.coldWork = now, 0
	}
	budget := coldBudgetShare * rules.ColdOverloadMultiple * rules.ColdCapacity * float64(rules.ColdOverloadWindow) / float64(p.world.experiment.Dispatchers)
	return m.coldWork+float64(float64(max(j.Hint, j.class.MeanWork))*max(1, j.Slots)) > budget
}

// finishWithoutResult answers a job without a result: it refuses the job if it can't have run
// or a second run is harmless in all cells, and fails it otherwise.
func (p *basicPolicy) finishWithoutResult(j *basicJob) {
	delete(p.jobs, j.ID)
	c := j.class
	if !j.mayHaveRun || c.Effect == policy.Idempotent || c.Effect == policy.Deduplicated && c.DedupScope == policy.DedupAll {
		p.host.Refuse(j.ID, 0)
	} else {
		p.host.Fail(j.ID)
	}
}

// HandleAttemptResult implements Policy.
func (p *basicPolicy) HandleAttemptResult(now time.Duration, o policy.AttemptResult) {
	j := p.jobs[o.Request]
	if j == nil {
		return
	}
	work := j.expectedWork()
	j.member.inFlight--
	j.member.work -= work
	if !p.world.experiment.Settings.Rules.ProvesNotRun(o.Status) && !j.mayHaveRun {
		j.mayHaveRun, j.firstMember = true, j.member
	}
	if o.Final {
		delete(p.jobs, o.Request)
		return
	}
	p.send(now, j)
}

// HandleMembers implements Policy.
func (p *basicPolicy) HandleMembers(_ time.Duration, _ policy.ListKind, entries []policy.Member) {
	for _, e := range entries {
		i, found := slices.BinarySearchFunc(p.members, e.Number, func(m *memberView, n uint32) int { return int(int64(m.Number) - int64(n)) })
		if found {
			p.members[i].Member = e
		} else {
			p.members = slices.Insert(p.members, i, &memberView{Member: e, member: p.world.byNumber[e.Number]})
		}
	}
}

// HandleProbeResult implements Policy.
func (p *basicPolicy) HandleProbeResult(time.Duration, policy.ProbeResult) {}

// HandleTimer implements Policy.
func (p *basicPolicy) HandleTimer(time.Duration, string) {}

// HandleAttemptUpdate implements Policy.
func (p *basicPolicy) HandleAttemptUpdate(time.Duration, policy.AttemptUpdate) {}

// HandleClientGone implements Policy.
func (p *basicPolicy) HandleClientGone(_ time.Duration, id string) { delete(p.jobs, id) }
