// Package budgetlab models, in virtual time, a fleet that shares one Rate: how well the
// total is used when demand is skewed and moves, what the renewals cost, and how fast a
// change is divided anew. It serves the choice of a division policy and the figures in the
// documents; production code doesn't use it.
package budgetlab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"basaltloft/internal/dispatcher/fleet/budget"
	"basaltloft/internal/dispatcher/fleet/codec"
)

// Fleet is the fleet that is modelled. All times are real ones; clocks are exact.
type Fleet struct {
	Holders      int
	Policy       budget.DivisionPolicy
	Rate         float64       // of the total, a second and holder
	Burst        time.Duration // of the total, as a time at its rate
	Offered      float64       // all traffic, as a fraction of the total
	HeavyShare   float64       // fraction of the traffic that one holder has
	MoveInterval time.Duration // how often another holder becomes that one; 0: never
	Lease        time.Duration
	NetworkDelay time.Duration // of a call, one way
	Seed         uint64
}

// Result is the result of a run.
type Result struct {
	Utilization   float64 // admitted, as a fraction of the total
	LightAdmitted float64 // of what came to the other holders than the heavy one, the fraction admitted
	Renewals      float64 // a second and holder
	Bytes         float64 // of encoded renewals and grants, a second and holder
}

// step is how far the model goes at a time. Jobs come at any instant within it.
const step = 10 * time.Millisecond

type model struct {
	Fleet
	*rand.Rand
	now     time.Duration
	table   *budget.AllocationTable
	holders []*holder
	later   map[time.Duration][]func()
	heavy   int

	counting                       bool
	admitted, came, othersIn, asks int
	bytes                          int
}

type holder struct {
	name      string
	allowance *budget.Allowance
	tap       *budget.TokenBucket
	at        time.Duration // within a step, when it looks whether to renew
	down      bool
	begun     time.Duration // when it was started
	first     time.Duration // its first job admitted; 0: none yet
}

func newModel(f Fleet) (*model, error) {
	m := &model{Fleet: f, Rand: rand.New(rand.NewPCG(f.Seed, uint64(f.Holders))), table: budget.NewAllocationTableWith(f.Policy), later: map[time.Duration][]func(){}}
	rate := budget.Budget{Name: "x", Kind: budget.Rate, Total: m.whole(), Burst: m.whole() * f.Burst.Seconds()}
	if err := m.table.Configure(0, budget.Config{Lease: f.Lease, Budgets: []budget.Budget{rate}}); err != nil {
		return nil, fmt.Errorf("modelling a fleet: %w", err)
	}
	for range f.Holders {
		m.join()
	}
	return m, nil
}

func (m *model) whole() float64 { return m.Rate * float64(m.Holders) }

func (m *model) join() *holder {
	h := &holder{name: fmt.Sprintf("n%05d", len(m.holders)), allowance: budget.NewAllowance(), begun: m.now}
	h.at = time.Duration(len(m.holders)%100) * step / 100
	h.allowance.ExpectBudgets("x")
	h.allowance.SetIncarnation(h.name, 1)
	h.tap = h.allowance.Bucket("x")
	m.holders = append(m.holders, h)
	return h
}

// rate is how many come to a holder a second.
func (m *model) rate(i int) float64 {
	all := m.whole() * m.Offered
	if i == m.heavy {
		return all * m.HeavyShare
	}
	return all * (1 - m.HeavyShare) / float64(m.Holders-1)
}

// run runs the model for a time, or until done returns true, and returns how long that was.
func (m *model) run(length time.Duration, done func() bool) (time.Duration, error) {
	begin := m.now
	for ; m.now < begin+length && (done == nil || !done()); m.now += step {
		for _, do := range m.later[m.now] {
			do()
		}
		delete(m.later, m.now)
		m.table.Advance(m.now)
		if m.MoveInterval > 0 {
			m.heavy = int(m.now/m.MoveInterval) * 7 % m.Holders
		}
		for i, h := range m.holders {
			if h.down {
				continue
			}
			m.jobs(i, h)
			if h.allowance.NextRenewal(m.now) <= m.now+h.at {
				if err := m.renew(h); err != nil {
					return 0, err
				}
			}
		}
	}
	return m.now - begin, nil
}

func (m *model) jobs(i int, h *holder) {
	rate := m.rate(i)
	for at := m.ExpFloat64() / rate; at < step.Seconds(); at += m.ExpFloat64() / rate {
		now := m.now + time.Duration(at*float64(time.Second))
		in := h.tap.Take(now)
		if in && h.first == 0 {
			h.first = now
		}
		if !m.counting {
			continue
		}
		if in {
			m.admitted++
		}
		if i != m.heavy {
			m.came++
			if in {
				m.othersIn++
			}
		}
	}
}

func (m *model) renew(h *holder) error {
	sent, r := m.now, h.allowance.Renewal(m.now)
	if err := m.count(r); err != nil {
		return err
	}
	there, back := sent+m.NetworkDelay.Round(step), sent+2*m.NetworkDelay.Round(step)
	m.later[there] = append(m.later[there], func() {
		g, err := m.table.Renew(there, r)
		if err != nil {
			return // it left meanwhile
		}
		_ = m.count(g)
		m.later[back] = append(m.later[back], func() {
			if !h.down {
				h.allowance.Apply(sent, back, g)
			}
		})
	})
	return nil
}

func (m *model) count(call any) error {
	if !m.counting {
		return nil
	}
	text, err := codec.Encode(call)
	m.bytes += len(text)
	if _, ok := call.(budget.Renewal); ok {
		m.asks++
	}
	return err
}

// Run models a fleet for a time, after a warm-up.
func Run(f Fleet, warm, length time.Duration) (Result, error) {
	m, err := newModel(f)
	if err != nil {
		return Result{}, err
	}
	if _, err := m.run(warm, nil); err != nil {
		return Result{}, err
	}
	m.counting = true
	if _, err := m.run(length, nil); err != nil {
		return Result{}, err
	}
	each := length.Seconds() * float64(f.Holders)
	return Result{
		Utilization:   float64(m.admitted) / (m.whole() * length.Seconds()),
		LightAdmitted: float64(m.othersIn) / float64(max(m.came, 1)), Renewals: float64(m.asks) / each, Bytes: float64(m.bytes) / each,
	}, nil
}

// Times are how long it takes until a change is divided anew.
type Times struct {
	Join  time.Duration // from a process's start to its first job
	Leave time.Duration // from the heavy holder's planned shutdown until the others hold 0.95 of the total
	Kill  time.Duration // the same from its failure
}

// Change models a fleet that wants more than the total (Offered above 1), and one change of
// each kind after a warm-up.
func Change(f Fleet, warm time.Duration) (Times, error) {
	var out Times
	for _, kind := range []string{"join", "leave", "kill"} {
		m, err := newModel(f)
		if err != nil {
			return out, err
		}
		if _, err = m.run(warm, nil); err != nil {
			return out, err
		}
		heavy := m.holders[m.heavy]
		divided := func() bool {
			held := 0.0
			for _, h := range m.table.HolderStatuses("x") {
				if h.Process != heavy.name {
					held += h.Offered
				}
			}
			return held >= 0.95*m.whole()
		}
		switch kind {
		case "join":
			h := m.join()
			_, err = m.run(time.Minute, func() bool { return h.first > 0 })
			out.Join = h.first - h.begun
		case "leave":
			heavy.down = true
			left := heavy.allowance.Close(m.now)
			if err = m.table.Leave(m.now+m.NetworkDelay, heavy.name, 1, left); err == nil {
				out.Leave, err = m.run(time.Minute, divided)
			}
		case "kill":
			heavy.down = true
			out.Kill, err = m.run(time.Minute, divided)
		}
		if err != nil {
			return out, err
		}
	}
	return out, nil
}
