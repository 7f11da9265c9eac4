package lab

import (
	"fmt"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/shared/saturating"
)

// request is one attempt of a client at a logical request; each retry of the client is another one.
type request struct {
	id             string
	class          *Class
	work           float64 // nanoseconds at speed 1
	slots          float64
	firstSubmitted time.Duration // of the logical request
	deadline       time.Duration
	latencyTarget  time.Duration // the latest time at which an answer is in time
	retries        int           // of the client before this request
	dispatcher     *dispatcher
	attempts       []*attempt // in the order in which they were sent
	answered       bool
	onDone         func() // called once the logical request has ended
}

// scheduleArrival schedules the next logical request of a class, or all requests of a trace.
func (w *World) scheduleArrival(class int, begin, end time.Duration) {
	c := &w.experiment.Classes[class]
	if c.Rate <= 0 {
		return
	}
	c.Arrivals.next(w.random, c.Rate, w.now-begin, end-begin, func(after, work time.Duration) {
		w.after(after, func() { w.handleArrival(class, work, begin, end) })
	})
}

// scheduleClient simulates a client of a closed loop: it waits for a random think time, makes
// a logical request, and starts again once that request has ended.
func (w *World) scheduleClient(begin, end time.Duration) {
	w.after(saturating.Duration(w.random.ExpFloat64()*float64(w.experiment.ThinkTime)), func() {
		if w.now >= end {
			return
		}
		totalRate := 0.0
		for i := range w.experiment.Classes {
			totalRate += w.experiment.Classes[i].Rate
		}
		class, pick := 0, w.random.Float64()*totalRate
		for class < len(w.experiment.Classes)-1 && pick >= w.experiment.Classes[class].Rate {
			pick -= w.experiment.Classes[class].Rate
			class++
		}
		w.newRequest(class, 0, begin, func() { w.scheduleClient(begin, end) })
	})
}

// handleArrival makes a logical request and schedules the next one.
func (w *World) handleArrival(class int, work, begin, end time.Duration) {
	if w.now >= end {
		return
	}
	if w.experiment.Classes[class].Arrivals.Kind != "trace" {
		w.scheduleArrival(class, begin, end)
	}
	w.newRequest(class, work, begin, func() {})
}

// newRequest submits a new logical request. Work of 0 is replaced by work drawn from the
// distribution of the class.
func (w *World) newRequest(class int, work, begin time.Duration, done func()) {
	c := &w.experiment.Classes[class]
	if work == 0 {
		work = saturating.Duration(w.drawWork[class]())
	}
	r := &request{class: c, work: max(1000, float64(work)), slots: 1, firstSubmitted: w.now, onDone: done}
	pick := w.random.Float64()
	for i, share := range c.Slots {
		if pick -= share; pick < 0 {
			r.slots = float64(int(1) << i)
			break
		}
	}
	w.Result.Requests++
	w.Result.RequestedWork += float64(r.work * r.slots)
	w.secondAt(begin).Asked++
	w.submit(r)
}

// submit sends a request to a random dispatcher.
func (w *World) submit(r *request) {
	w.submissions++
	w.Result.ClientAttempts++
	r.id = fmt.Sprint("r", w.submissions)
	r.deadline = w.now + r.class.ClientTimeout
	r.latencyTarget = min(r.firstSubmitted+r.class.LatencyTarget+saturating.Duration(r.class.TargetPerWork*r.work), r.deadline)
	r.dispatcher = w.dispatchers[w.random.IntN(len(w.dispatchers))]
	w.after(w.networkDelay(), func() {
		d := r.dispatcher
		d.open[r.id] = r
		w.checker.accepted(r)
		hint := time.Duration(0)
		if e := r.class.HintError; e >= 0 {
			hint = saturating.Duration(r.work * max(0.1, 1+float64(e*(float64(2*w.random.Float64())-1))))
		}
		w.schedule(r.deadline-time.Millisecond, func() { w.expire(r) })
		d.handle(func() {
			d.policy.HandleRequest(w.now, policy.Request{ID: r.id, Class: r.class.Name, Hint: hint, Deadline: r.deadline, Slots: r.slots, Retry: r.retries > 0})
		})
	})
}

// expire ends the attempts of a request as timed out at its deadline, as the protocol requires.
func (w *World) expire(r *request) {
	for _, a := range r.attempts {
		if a.inFlight {
			w.endAttempt(a, policy.TimedOut)
		}
	}
}

// answer records the final answer of a request; the client may retry after it.
func (w *World) answer(r *request, s policy.Status, refused bool) {
	if r.answered {
		w.checker.answeredTwice(r)
		return
	}
	r.answered = true
	w.checker.answered(r, refused)
	w.after(w.networkDelay(), func() {
		res := &w.Result
		switch {
		case s == policy.OK && w.now <= r.latencyTarget:
			res.InTime++
			res.TimelyWork += float64(r.work * r.slots)
			w.secondAt(startTime).InTime++
			w.recordServed(r)
		case s == policy.OK:
			res.Late++
			w.recordServed(r)
		case r.retries < w.experiment.Retries && (refused || r.class.Effect == policy.Idempotent):
			retry := &request{class: r.class, work: r.work, slots: r.slots, firstSubmitted: r.firstSubmitted, retries: r.retries + 1, onDone: r.onDone}
			w.after(w.experiment.Backoff, func() { w.submit(retry) })
			return
		case refused:
			res.Refused++
		default:
			res.Failed++
		}
		r.onDone()
	})
}
