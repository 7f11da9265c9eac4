package simworld_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/scheduler"
)

// runner runs tasks as the protocol says. Its machine is never lost: what becomes of runners
// that are is for the tests of package scheduler.
type runner struct {
	*process
	service  string
	capacity job.Resources
	fence    uint64
	until    int64 // the hold, on its clock, in milliseconds
	runs     map[job.TaskRef]*taskRun
	highest  map[job.TaskRef]int
	finished []scheduler.ReportedEnd
	number   uint64
}

type taskRun struct {
	attempt int
	endsAt  time.Duration
}

const (
	runnerTick  = 30 * time.Millisecond
	holdMaxMs   = 6000
	orderWithin = 900 * time.Millisecond
)

func (w *world) addRunner(name, service string) {
	r := &runner{process: w.addProcess(name), service: service, capacity: job.Resources{CPU: 64000, MemMB: 64000}, runs: map[job.TaskRef]*taskRun{}, highest: map[job.TaskRef]int{}}
	r.start = func() {}
	r.boot()
	w.runners = append(w.runners, r)
}

func (r *runner) clockMs() int64 { return r.clock().Milliseconds() }

func (w *world) tickRunners() {
	for _, r := range w.runners {
		for _, ref := range slices.SortedFunc(maps.Keys(r.runs), func(a, b job.TaskRef) int { return compareText(a.String(), b.String()) }) {
			run := r.runs[ref]
			switch {
			case r.clockMs() > r.until:
				r.finish(ref, job.EndLeaseExpired)
			case w.now >= run.endsAt && w.random.IntN(30) == 0:
				r.finish(ref, job.EndFailed)
			case w.now >= run.endsAt:
				r.finish(ref, job.EndDone)
			}
		}
	}
	w.later(runnerTick, w.tickRunners)
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (r *runner) finish(ref job.TaskRef, how job.EndReason) {
	run := r.runs[ref]
	r.w.note("%s: %v attempt %d ends, %d", r.name, ref, run.attempt, how)
	delete(r.runs, ref)
	r.highest[ref] = max(r.highest[ref], run.attempt)
	r.number++
	r.finished = append(r.finished, scheduler.ReportedEnd{Number: r.number, Task: ref, Attempt: run.attempt, Reason: how})
	if how == job.EndDone {
		r.w.jobs[ref.Job].done[ref] = true
	}
}

func (r *runner) fenced(token uint64) bool {
	if token < r.fence {
		return true
	}
	r.fence = token
	return false
}

// sendOrder carries an order to its runner while the lease lasts, and the answer back.
func (c *core) sendOrder(shard *leader.Shard, sender *scheduler.Scheduler, order scheduler.Order) {
	c.w.checkToken(c, order)
	c.w.record.order(c, &order)
	if !shard.MaySend(order) {
		shard.OrderReplied(sender, func(now time.Duration) { unanswered(sender, now, order) })
		return
	}
	r := c.w.runnerNamed(order.Address)
	deliver := func(reply func(any)) { r.carryOut(order, reply) }
	if c.w.chance(c.w.lostLate) { // no answer, and carried out seconds later
		c.w.later(c.w.between(2*time.Second, 12*time.Second), func() { r.carryOut(order, func(any) {}) })
		deliver = func(func(any)) {}
	}
	c.call(order.Address, time.Duration(order.WaitMs)*time.Millisecond+orderWithin, deliver, func(answer any, ok bool) {
		shard.OrderReplied(sender, func(now time.Duration) {
			if tell, said := answer.(func(*scheduler.Scheduler, time.Duration)); ok && said {
				tell(sender, now)
				return
			}
			unanswered(sender, now, order)
		})
	})
}

func unanswered(sender *scheduler.Scheduler, now time.Duration, order scheduler.Order) {
	switch order.Kind {
	case scheduler.OrderRenewLease:
		sender.LeaseReplied(now, order, scheduler.LeaseNoReply, scheduler.RunnerReport{})
	case scheduler.OrderStart:
		sender.StartReplied(now, order, scheduler.StartNoReply, 0)
	case scheduler.OrderStop:
		sender.StopReplied(now, order, scheduler.StopNotConfirmed, 0)
	}
}

func (w *world) runnerNamed(name string) *runner {
	for _, r := range w.runners {
		if r.name == name {
			return r
		}
	}
	return nil
}

// carryOut does what an order says.
func (r *runner) carryOut(order scheduler.Order, reply func(any)) {
	if order.Kind != scheduler.OrderRenewLease || len(r.finished) > 0 {
		r.w.note("%s gets order %d, token %d, of %v attempt %d, seen %d", r.name, order.Kind, order.Token, order.Task, order.Attempt, order.AckedThrough)
	}
	switch order.Kind {
	case scheduler.OrderRenewLease:
		r.hold(order, reply)
	case scheduler.OrderStart:
		answer, clock := r.startRun(order), r.clockMs()
		r.w.record.started(r, answer, clock)
		reply(func(o *scheduler.Scheduler, now time.Duration) { o.StartReplied(now, order, answer, clock) })
	case scheduler.OrderStop:
		answer, clock := r.stop(order), r.clockMs()
		r.w.record.stopped(r, answer == scheduler.StopConfirmed, clock)
		reply(func(o *scheduler.Scheduler, now time.Duration) { o.StopReplied(now, order, answer, clock) })
	}
}

func (r *runner) extend(deadline int64) {
	if deadline > 0 {
		r.until = max(r.until, min(deadline, r.clockMs()+holdMaxMs))
	}
}

func (r *runner) hold(order scheduler.Order, reply func(any)) {
	if r.fenced(order.Token) {
		reply(func(o *scheduler.Scheduler, now time.Duration) {
			o.LeaseReplied(now, order, scheduler.LeaseFenced, scheduler.RunnerReport{})
		})
		return
	}
	r.extend(order.DeadlineMs)
	for len(r.finished) > 0 && r.finished[0].Number <= order.AckedThrough {
		r.w.jobs[r.finished[0].Task.Job].note(r.finished[0])
		r.finished = r.finished[1:]
	}
	end := r.w.now + time.Duration(order.WaitMs)*time.Millisecond
	var look func()
	look = func() {
		if len(r.finished) == 0 && r.w.now < end {
			r.after(runnerTick, look)
			return
		}
		seen := scheduler.RunnerReport{ClockMs: r.clockMs(), Finished: slices.Clone(r.finished)}
		for _, ref := range slices.SortedFunc(maps.Keys(r.runs), func(a, b job.TaskRef) int { return compareText(a.String(), b.String()) }) {
			seen.Running = append(seen.Running, scheduler.ReportedRun{Task: ref, Attempt: r.runs[ref].attempt, Percent: 50})
		}
		r.w.record.looked(r, &seen)
		reply(func(o *scheduler.Scheduler, now time.Duration) {
			o.LeaseReplied(now, order, scheduler.LeaseRenewed, seen)
		})
	}
	look()
}

func (r *runner) startRun(order scheduler.Order) scheduler.StartReply {
	w := r.w
	if r.fenced(order.Token) {
		return scheduler.StartRefused
	}
	if run := r.runs[order.Task]; run != nil && run.attempt == order.Attempt {
		return scheduler.StartAccepted
	}
	if r.clockMs() > order.DeadlineMs || order.Attempt <= r.highest[order.Task] {
		return scheduler.StartRefused
	}
	j := w.jobs[order.Task.Job]
	if j == nil {
		w.fail("UNASKED: %v starts, which nobody handed in", order.Task)
	}
	for _, other := range w.runners {
		if run := other.runs[order.Task]; run != nil {
			w.fail("TWICE: %v attempt %d starts at %s, while attempt %d is at %s", order.Task, order.Attempt, r.name, run.attempt, other.name)
		}
	}
	j.checkStart(w, r, order)
	r.extend(order.DeadlineMs)
	r.runs[order.Task] = &taskRun{attempt: order.Attempt, endsAt: w.now + w.between(50*time.Millisecond, 600*time.Millisecond)}
	return scheduler.StartAccepted
}

func (r *runner) stop(order scheduler.Order) scheduler.StopReply {
	if r.fenced(order.Token) {
		return scheduler.StopNotConfirmed
	}
	r.highest[order.Task] = max(r.highest[order.Task], order.Attempt)
	if run := r.runs[order.Task]; run != nil && run.attempt <= order.Attempt {
		r.finish(order.Task, job.EndStopped)
	}
	return scheduler.StopConfirmed
}

// checkToken checks that an owner's token is its own: no other process, and no other life of
// it, has used it.
func (w *world) checkToken(c *core, order scheduler.Order) {
	for _, r := range w.runners {
		if r.name != order.Address {
			continue
		}
		key := fmt.Sprint(r.service, "/", order.Token)
		user := fmt.Sprint(c.name, "/", c.life)
		if other := w.tokens[key]; other != "" && other != user {
			w.fail("the token %s is used by %s and by %s", key, other, user)
		}
		w.tokens[key] = user
	}
}
