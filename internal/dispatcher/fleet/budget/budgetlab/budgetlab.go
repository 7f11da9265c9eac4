// Package budgetlab simulates, in virtual time, a fleet that shares one Rate: how much of
// the total is used when demand is skewed and moves, what the renewals cost, and how soon
// the total is divided again after a change. It serves the choice of a division policy and
// the figures in the documents; production code doesn't use it.
package budgetlab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"basaltloft/internal/dispatcher/fleet/budget"
	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/shared/saturating"
)

// Fleet is the simulated fleet. All clocks are exact.
type Fleet struct {
	Holders      int
	Policy       budget.DivisionPolicy
	Rate         float64       // the total, per second and holder
	Burst        time.Duration // the total's burst, as the time in which the total refills it
	Offered      float64       // all traffic, as a fraction of the total
	HeavyShare   float64       // fraction of the traffic that arrives at the heavy holder
	MoveInterval time.Duration // how often another holder becomes the heavy one; 0: never
	Lease        time.Duration
	NetworkDelay time.Duration // of a message, one way
	Seed         uint64
}

// Result is the result of a run.
type Result struct {
	Utilization   float64 // admitted, as a fraction of the total
	LightAdmitted float64 // admitted fraction of the traffic at all holders but the heavy one
	Renewals      float64 // per second and holder
	Bytes         float64 // of encoded renewals and grants, per second and holder
}

// step is the time step of the simulation. Jobs arrive at any instant within it.
const step = 10 * time.Millisecond

type model struct {
	Fleet
	*rand.Rand
	now       time.Duration
	table     *budget.AllocationTable
	holders   []*holder
	scheduled map[time.Duration][]func()
	heavy     int

	counting                                         bool
	admitted, lightArrivals, lightAdmitted, renewals int
	bytes                                            int
}

type holder struct {
	name          string
	allowance     *budget.Allowance
	bucket        *budget.TokenBucket
	offset        time.Duration // within a step, of its check whether to renew
	down          bool
	startedAt     time.Duration
	firstAdmitted time.Duration // when its first job was admitted; 0: none yet
}

func newModel(f Fleet) (*model, error) {
	m := &model{Fleet: f, Rand: rand.New(rand.NewPCG(f.Seed, uint64(f.Holders))), table: budget.NewAllocationTableWith(f.Policy), scheduled: map[time.Duration][]func(){}}
	rate := budget.Budget{Name: "x", Kind: budget.Rate, Total: m.total(), Burst: m.total() * f.Burst.Seconds()}
	if err := m.table.Configure(0, budget.Config{Lease: f.Lease, Budgets: []budget.Budget{rate}}); err != nil {
		return nil, fmt.Errorf("simulating a fleet: %w", err)
	}
	for range f.Holders {
		m.join()
	}
	return m, nil
}

func (m *model) total() float64 { return m.Rate * float64(m.Holders) }

func (m *model) join() *holder {
	h := &holder{name: fmt.Sprintf("n%05d", len(m.holders)), allowance: budget.NewAllowance(), startedAt: m.now}
	h.offset = time.Duration(len(m.holders)%100) * step / 100
	h.allowance.ExpectBudgets("x")
	h.allowance.SetIncarnation(h.name, 1)
	h.bucket = h.allowance.Bucket("x")
	m.holders = append(m.holders, h)
	return h
}

// rate returns how many jobs arrive at a holder per second.
func (m *model) rate(i int) float64 {
	traffic := m.total() * m.Offered
	if i == m.heavy {
		return traffic * m.HeavyShare
	}
	return traffic * (1 - m.HeavyShare) / float64(m.Holders-1)
}

// run runs the simulation for a time, or until done returns true, and returns the simulated
// time that it took.
func (m *model) run(length time.Duration, done func() bool) (time.Duration, error) {
	start := m.now
	for ; m.now < start+length && (done == nil || !done()); m.now += step {
		for _, deliver := range m.scheduled[m.now] {
			deliver()
		}
		delete(m.scheduled, m.now)
		m.table.Advance(m.now)
		if m.MoveInterval > 0 {
			m.heavy = int(m.now/m.MoveInterval) * 7 % m.Holders
		}
		for i, h := range m.holders {
			if h.down {
				continue
			}
			m.jobs(i, h)
			if h.allowance.NextRenewal(m.now) <= m.now+h.offset {
				if err := m.renew(h); err != nil {
					return 0, err
				}
			}
		}
	}
	return m.now - start, nil
}

func (m *model) jobs(i int, h *holder) {
	rate := m.rate(i)
	for at := m.ExpFloat64() / rate; at < step.Seconds(); at += m.ExpFloat64() / rate {
		now := m.now + saturating.Duration(at*float64(time.Second))
		taken := h.bucket.Take(now)
		if taken && h.firstAdmitted == 0 {
			h.firstAdmitted = now
		}
		if !m.counting {
			continue
		}
		if taken {
			m.admitted++
		}
		if i != m.heavy {
			m.lightArrivals++
			if taken {
				m.lightAdmitted++
			}
		}
	}
}

func (m *model) renew(h *holder) error {
	sent, r := m.now, h.allowance.Renewal(m.now)
	if err := m.count(r); err != nil {
		return err
	}
	received, answered := sent+m.NetworkDelay.Round(step), sent+2*m.NetworkDelay.Round(step)
	m.scheduled[received] = append(m.scheduled[received], func() {
		g, err := m.table.Renew(received, r)
		if err != nil {
			return // the holder has left meanwhile
		}
		_ = m.count(g)
		m.scheduled[answered] = append(m.scheduled[answered], func() {
			if !h.down {
				h.allowance.Apply(sent, answered, g)
			}
		})
	})
	return nil
}

func (m *model) count(message any) error {
	if !m.counting {
		return nil
	}
	text, err := codec.Encode(message)
	m.bytes += len(text)
	if _, ok := message.(budget.Renewal); ok {
		m.renewals++
	}
	return err
}

// Run simulates a fleet for a time, after a warm-up.
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
	holderSeconds := length.Seconds() * float64(f.Holders)
	return Result{
		Utilization:   float64(m.admitted) / (m.total() * length.Seconds()),
		LightAdmitted: float64(m.lightAdmitted) / float64(max(m.lightArrivals, 1)), Renewals: float64(m.renewals) / holderSeconds, Bytes: float64(m.bytes) / holderSeconds,
	}, nil
}

// Times are the durations until the total is divided again after a change.
type Times struct {
	Join  time.Duration // from a process's start until its first job is admitted
	Leave time.Duration // from the heavy holder's planned shutdown until the others hold 0.95 of the total
	Kill  time.Duration // the same from its failure
}

// Change simulates a fleet with more demand than the total (Offered above 1), and one
// change of each kind after a warm-up.
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
		dividedAgain := func() bool {
			held := 0.0
			for _, h := range m.table.HolderStatuses("x") {
				if h.Process != heavy.name {
					held += h.Offered
				}
			}
			return held >= 0.95*m.total()
		}
		switch kind {
		case "join":
			h := m.join()
			_, err = m.run(time.Minute, func() bool { return h.firstAdmitted > 0 })
			out.Join = h.firstAdmitted - h.startedAt
		case "leave":
			heavy.down = true
			left := heavy.allowance.Close(m.now)
			if err = m.table.Leave(m.now+m.NetworkDelay, heavy.name, 1, left); err == nil {
				out.Leave, err = m.run(time.Minute, dividedAgain)
			}
		case "kill":
			heavy.down = true
			out.Kill, err = m.run(time.Minute, dividedAgain)
		}
		if err != nil {
			return out, err
		}
	}
	return out, nil
}
