package simworld_test

import (
	"time"
)

// deliver delivers a message to another process. The message is lost on a partitioned link, by
// chance, or if the receiver is down, and may be late. do is called in the receiver's incarnation at
// the time of arrival.
func (w *world) deliver(from, to string, do func()) {
	if w.partitioned[[2]string{from, to}] || w.chance(w.lossShare) {
		return
	}
	latency := w.randomBetween(time.Millisecond, 4*time.Millisecond)
	if w.chance(w.lateShare) {
		latency += w.randomBetween(0, 4*time.Second)
	}
	w.schedule(latency, func() {
		p := w.processes[to]
		if w.partitioned[[2]string{from, to}] || p == nil || !p.up {
			return
		}
		w.execute(&event{process: p, incarnation: p.incarnation, do: do})
	})
}

// call sends a request to another process and delivers the answer. done is called once, in this
// incarnation of the caller, with false if there was no answer in time.
func (p *process) call(to string, within time.Duration, ask func(reply func(any)), done func(answer any, ok bool)) {
	finished := false
	finish := func(answer any, ok bool) {
		if !finished {
			finished = true
			done(answer, ok)
		}
	}
	w, incarnation := p.w, p.incarnation
	w.deliver(p.name, to, func() {
		ask(func(answer any) {
			w.deliver(to, p.name, func() {
				if p.incarnation == incarnation {
					finish(answer, true)
				}
			})
		})
	})
	p.after(within, func() { finish(nil, false) })
}
