package lab

import (
	"math"
	"time"

	"basaltloft/internal/shared/saturating"
)

// inject starts a fault.
func (w *World) inject(f Fault) {
	switch f.Kind {
	case faultCrash:
		for _, m := range w.drawMembers(f.Part) {
			w.restartMember(m, 0, f.For)
		}
	case faultPause:
		for _, m := range w.drawMembers(f.Part) {
			w.pauseMember(m, f.For)
		}
	case faultSlow:
		for _, m := range w.drawMembers(f.Part) {
			w.slowMember(m, f.Size, f.For)
		}
	case faultPartition:
		for _, m := range w.drawMembers(f.Part) {
			m.partitionedUntil = w.now + f.For
		}
	case faultLoss:
		w.lossRate = f.Part
		w.after(f.For, func() { w.lossRate = 0 })
	case faultDeploy:
		chosen := w.drawMembers(f.Part)
		for n, m := range chosen {
			w.after(spread(f.For, n, len(chosen)), func() { w.restartMember(m, deployDrain, deployDowntime) })
		}
	case faultRestart:
		chosen := w.draw(len(w.dispatchers), f.Part)
		for n, i := range chosen {
			w.after(spread(f.For, n, len(chosen)), func() { w.restartDispatcher(w.dispatchers[i]) })
		}
	}
}

// How long a member drains in a deploy, and how long it is down afterwards.
const (
	deployDrain    = 4 * time.Second
	deployDowntime = time.Second
)

// spread returns the time of event n of count events that are spread evenly over a span.
func spread(span time.Duration, n, count int) time.Duration {
	return span * time.Duration(n) / time.Duration(count)
}

// draw returns a random share of the numbers below count, rounded up.
func (w *World) draw(count int, share float64) []int {
	order := w.random.Perm(count)
	return order[:saturating.Int(math.Ceil(share*float64(count)))]
}

func (w *World) drawMembers(share float64) []*member {
	numbers := w.draw(len(w.members), share)
	chosen := make([]*member, len(numbers))
	for n, i := range numbers {
		chosen[n] = w.members[i]
	}
	return chosen
}

func (w *World) pauseMember(m *member, span time.Duration) {
	m.advance()
	m.paused = true
	w.after(span, func() {
		m.advance()
		m.paused = false
		m.step()
	})
}

func (w *World) slowMember(m *member, factor float64, span time.Duration) {
	m.advance()
	m.speedFactor = factor
	m.scheduleStep()
	w.after(span, func() {
		m.advance()
		m.speedFactor = 1
		m.scheduleStep()
	})
}

func (w *World) restartDispatcher(d *dispatcher) {
	if err := d.restart(); err != nil {
		w.checker.violation("a dispatcher does not start again: %v", err)
	}
}

// restartMember drains a member for the given time unless that is 0, ends its process, and
// restarts it cold after the downtime.
func (w *World) restartMember(m *member, drain, downtime time.Duration) {
	if !m.up {
		return
	}
	if drain > 0 {
		m.drain()
		w.publish(m)
	}
	w.after(drain, func() {
		if m.up {
			m.crash()
			w.publish(m)
			w.after(downtime, func() { m.restart(); w.publish(m) })
		}
	})
}
