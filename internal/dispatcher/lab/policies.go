package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// plain is what the yardsticks have in common: each request goes out at once to
// the member that pick names, again while it may, and is answered at the end. It
// keeps the rules that need no cleverness, and holds nothing back.
type plain struct {
	w       *World
	host    policy.Host
	random  *rand.Rand
	pick    func(p *plain, from []*mate, work float64) *mate
	mates   []*mate // in the order of their numbers
	jobs    map[string]*plainJob
	turn    int
	started time.Duration
}

// mate is what a yardstick knows of a member.
type mate struct {
	policy.Member
	out  int
	work float64 // by the hints of what is out
	true *member
	sent float64 // while it is cold, in the rule's window
	at   time.Duration
}

type plainJob struct {
	policy.Request
	class    *Class
	tries    int
	to       *mate
	may      bool
	firstMay *mate
	sentAt   time.Duration
}

// Baselines are policies to hold the module against, by name.
var Baselines = map[string]PolicyMaker{
	"module":    NewDispatcherPolicy,
	"gate fifo": gateOf(0), "gate wait 1": gateOf(1), "gate wait 2": gateOf(2), "gate wait 5": gateOf(5), "gate shortest": gateOf(math.Inf(1)),
	"random": yardstick(func(p *plain, from []*mate, _ float64) *mate { return from[p.random.IntN(len(from))] }),
	"round robin": yardstick(func(p *plain, from []*mate, _ float64) *mate {
		p.turn++
		return from[p.turn%len(from)]
	}),
	"least outstanding": yardstick(func(p *plain, from []*mate, _ float64) *mate {
		return least(p, from, func(m *mate) float64 { return float64(m.out) })
	}),
	"best of two": yardstick(func(p *plain, from []*mate, _ float64) *mate {
		a, b := from[p.random.IntN(len(from))], from[p.random.IntN(len(from))]
		if b.out < a.out {
			return b
		}
		return a
	}),
	"least work": yardstick(func(p *plain, from []*mate, _ float64) *mate {
		return least(p, from, func(m *mate) float64 { return m.work })
	}),
	"true state": yardstick(func(p *plain, from []*mate, work float64) *mate {
		return least(p, from, func(m *mate) float64 {
			if !m.true.up || m.true.state != policy.Ready || m.true.paused {
				return 1e18
			}
			wait := 0.0
			if held := len(m.true.running) + len(m.true.queue); held >= m.true.kind.Cores {
				wait = m.true.load()
			}
			return wait + work/(m.true.speed*m.true.slow*m.true.warm())
		})
	}),
}

// least is the one with the smallest measure; the search begins anywhere, so that
// those alike share the load.
func least(p *plain, from []*mate, measure func(*mate) float64) (best *mate) {
	begin, low := p.random.IntN(len(from)), 0.0
	for i := range from {
		m := from[(begin+i)%len(from)]
		if v := measure(m); best == nil || v < low {
			best, low = m, v
		}
	}
	return best
}

func yardstick(pick func(*plain, []*mate, float64) *mate) PolicyMaker {
	return func(w *World, h policy.Host, _ int, seed uint64) (Policy, error) {
		return &plain{w: w, host: h, random: rand.New(rand.NewPCG(seed, 37)), pick: pick, jobs: make(map[string]*plainJob)}, nil
	}
}

// PolicyNames are the names of Yardsticks in order.
func PolicyNames() (names []string) {
	for name := range Baselines {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// PolicyByName returns a policy by name.
func PolicyByName(name string) (PolicyMaker, error) {
	if m := Baselines[name]; m != nil {
		return m, nil
	}
	return nil, fmt.Errorf("no policy is called %q; there are %q", name, PolicyNames())
}

func (p *plain) classOf(name string) *Class {
	for i := range p.w.x.Classes {
		if c := &p.w.x.Classes[i]; c.Name == name {
			return c
		}
	}
	return nil
}

// HandleRequest implements Policy.
func (p *plain) HandleRequest(now time.Duration, r policy.Request) {
	j := &plainJob{Request: r, class: p.classOf(r.Class)}
	p.jobs[r.ID] = j
	p.send(now, j)
}

// send sends a job, or answers it where it can't be sent.
func (p *plain) send(now time.Duration, j *plainJob) {
	var from []*mate
	for _, m := range p.mates {
		if m.State != policy.Ready || j.to == m && len(p.mates) > 1 {
			continue
		}
		if j.firstMay != nil && j.class.Effect == policy.Deduplicated && j.class.Group != policy.DedupAll && j.firstMay.Cell != m.Cell {
			continue
		}
		if p.coldFull(now, m, j) {
			continue
		}
		from = append(from, m)
	}
	allowed := j.tries < p.w.x.Settings.Limits.MaxAttempts && now < j.Deadline-5*time.Millisecond
	if j.may {
		allowed = allowed && (j.class.Effect == policy.Idempotent || j.class.Effect == policy.Deduplicated && now-j.sentAt < j.class.Window)
	}
	if !allowed || len(from) == 0 {
		p.end(j)
		return
	}
	work := float64(j.Hint)
	if work == 0 {
		work = float64(j.class.Work)
	}
	to := p.pick(p, from, work)
	j.to, j.tries = to, j.tries+1
	if !j.may {
		j.sentAt = now
	}
	to.out++
	to.work += work
	if p.isCold(now, to) {
		to.sent += work * max(1, j.Slots)
	}
	p.host.Send(j.ID, to.Worker, 0)
}

func (p *plain) isCold(now time.Duration, m *mate) bool {
	return m.StartedAt != 0 && now-m.StartedAt < p.w.x.Settings.Rules.WarmupTime
}

// coldFull holds work back from a cold member: an even part of the least that the
// rule lets all dispatchers send.
func (p *plain) coldFull(now time.Duration, m *mate, j *plainJob) bool {
	rules := p.w.x.Settings.Rules
	if !p.isCold(now, m) || rules.ColdOverloadWindow == 0 {
		return false
	}
	if now-m.at >= rules.ColdOverloadWindow {
		m.at, m.sent = now, 0
	}
	most := 0.4 * rules.ColdOverloadMultiple * rules.ColdCapacity * float64(rules.ColdOverloadWindow) / float64(p.w.x.Dispatchers)
	return m.sent+float64(max(j.Hint, j.class.Work))*max(1, j.Slots) > most
}

func (p *plain) end(j *plainJob) {
	delete(p.jobs, j.ID)
	c := j.class
	if !j.may || c.Effect == policy.Idempotent || c.Effect == policy.Deduplicated && c.Group == policy.DedupAll {
		p.host.Refuse(j.ID, 0)
	} else {
		p.host.Fail(j.ID)
	}
}

// HandleAttemptResult implements Policy.
func (p *plain) HandleAttemptResult(now time.Duration, o policy.AttemptResult) {
	j := p.jobs[o.Request]
	if j == nil {
		return
	}
	work := float64(j.Hint)
	if work == 0 {
		work = float64(j.class.Work)
	}
	j.to.out--
	j.to.work -= work
	if !p.w.x.Settings.Rules.ProvesNotRun(o.Status) && !j.may {
		j.may, j.firstMay = true, j.to
	}
	if o.Final {
		delete(p.jobs, o.Request)
		return
	}
	p.send(now, j)
}

// HandleMembers implements Policy.
func (p *plain) HandleMembers(_ time.Duration, _ policy.ListKind, entries []policy.Member) {
	for _, e := range entries {
		i, known := slices.BinarySearchFunc(p.mates, e.Worker, func(m *mate, n uint32) int { return int(int64(m.Worker) - int64(n)) })
		if known {
			p.mates[i].Member = e
		} else {
			p.mates = slices.Insert(p.mates, i, &mate{Member: e, true: p.w.byID[e.Worker]})
		}
	}
}

// HandleProbeResult implements Policy.
func (p *plain) HandleProbeResult(time.Duration, policy.ProbeResult) {}

// HandleTimer implements Policy.
func (p *plain) HandleTimer(time.Duration, string) {}

// HandleAttemptUpdate implements Policy.
func (p *plain) HandleAttemptUpdate(time.Duration, policy.AttemptUpdate) {}

// HandleClientGone implements Policy.
func (p *plain) HandleClientGone(_ time.Duration, id string) { delete(p.jobs, id) }
