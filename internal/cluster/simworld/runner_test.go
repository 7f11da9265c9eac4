package simworld_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/scheduler"
)

// runner runs tasks as the runner protocol requires. Its name is its address. Only a test that schedules
// restarts ends its incarnation.
type runner struct {
	*process
	id           string // of its incarnation
	listed       bool   // on the platform's list
	service      string
	capacity     job.Resources
	fenceToken   uint64
	leaseUntilMs int64 // end of the lease on its clock
	runs         map[job.TaskRef]*taskRun
	endedThrough map[job.TaskRef]int // highest attempt that has ended or was stopped
	finished     []scheduler.ReportedEnd
	endedRuns    uint64
}

// taskRun is a run of a task that has not ended.
type taskRun struct {
	attempt   int
	startedAt time.Duration
	endsAt    time.Duration
}

// percent returns the progress that the runner reports. Short runs are reported as half done until they end.
func (r *taskRun) percent(now time.Duration) int {
	const reportedAsHalf, half = 600 * time.Millisecond, 50
	if r.endsAt-r.startedAt <= reportedAsHalf {
		return half
	}
	return min(99, int(100*(now-r.startedAt)/(r.endsAt-r.startedAt)))
}

// Times of runners.
const (
	runnerInterval = 30 * time.Millisecond
	maxLeaseMs     = 6000
	orderTimeout   = 900 * time.Millisecond
)

// addRunner adds a runner and starts it.
func (w *world) addRunner(name, service string) {
	r := &runner{process: w.addProcess(name), id: name, listed: true, service: service, capacity: job.Resources{CPU: 64000, MemMB: 64000}, runs: map[job.TaskRef]*taskRun{}, endedThrough: map[job.TaskRef]int{}}
	r.start = func() {}
	r.boot()
	w.runners = append(w.runners, r)
}

// entry returns the runner as the platform lists it.
func (r *runner) entry() protocol.Runner {
	return protocol.Runner{ID: r.id, Service: r.service, Address: r.name, Capacity: r.capacity}
}

// clockMs returns the runner's clock in milliseconds.
func (r *runner) clockMs() int64 { return r.clock().Milliseconds() }

// tickRunners ends, at each interval, the runs whose lease has expired or whose duration is over.
func (w *world) tickRunners() {
	for _, r := range w.runners {
		for _, ref := range r.tasks() {
			run := r.runs[ref]
			switch {
			case r.clockMs() > r.leaseUntilMs:
				r.endRun(ref, job.EndLeaseExpired)
			case w.now >= run.endsAt && w.random.IntN(30) == 0:
				r.endRun(ref, job.EndFailed)
			case w.now >= run.endsAt:
				r.endRun(ref, job.EndDone)
			}
		}
	}
	w.schedule(runnerInterval, w.tickRunners)
}

// tasks lists the tasks of the runner's runs, sorted by name.
func (r *runner) tasks() []job.TaskRef {
	return slices.SortedFunc(maps.Keys(r.runs), func(a, b job.TaskRef) int { return strings.Compare(a.String(), b.String()) })
}

// endRun ends a run. The runner reports the end until it is acknowledged.
func (r *runner) endRun(ref job.TaskRef, reason job.EndReason) {
	run := r.runs[ref]
	r.w.tracef("%s: %v attempt %d ends, %d", r.name, ref, run.attempt, reason)
	delete(r.runs, ref)
	r.endedThrough[ref] = max(r.endedThrough[ref], run.attempt)
	r.endedRuns++
	r.finished = append(r.finished, scheduler.ReportedEnd{Number: r.endedRuns, Task: ref, Attempt: run.attempt, Reason: reason})
	if reason == job.EndDone {
		r.w.jobs[ref.Job].completedTasks[ref] = true
	}
}

// rejectsToken reports whether an order's fencing token is from an earlier leader; if not, it becomes
// the runner's token.
func (r *runner) rejectsToken(token uint64) bool {
	if token < r.fenceToken {
		return true
	}
	r.fenceToken = token
	return false
}

// sendOrder sends an order to its runner, if the shard's lease is valid, and delivers the answer.
func (c *controlNode) sendOrder(shard *leader.Shard, sender *scheduler.Scheduler, order scheduler.Order) {
	c.w.checkToken(c, order)
	c.w.recorder.order(c, &order)
	if !shard.MaySend(order) {
		shard.OrderReplied(sender, func(now time.Duration) { reportNoReply(sender, now, order) })
		return
	}
	r := c.w.runnerNamed(order.Address)
	deliver := func(reply func(any)) { r.execute(order, reply) }
	if c.w.chance(c.w.lostOrderShare) { // it gets no answer, and is executed seconds later
		c.w.schedule(c.w.randomBetween(2*time.Second, 12*time.Second), func() {
			if r.up {
				r.execute(order, func(any) {})
			}
		})
		deliver = func(func(any)) {}
	}
	c.call(order.Address, time.Duration(order.WaitMs)*time.Millisecond+orderTimeout, deliver, func(answer any, ok bool) {
		shard.OrderReplied(sender, func(now time.Duration) {
			if apply, isReply := answer.(func(*scheduler.Scheduler, time.Duration)); ok && isReply {
				apply(sender, now)
				return
			}
			reportNoReply(sender, now, order)
		})
	})
}

// reportNoReply reports to a scheduler that an order got no answer.
func reportNoReply(sender *scheduler.Scheduler, now time.Duration, order scheduler.Order) {
	switch order.Kind {
	case scheduler.OrderRenewLease:
		sender.LeaseReplied(now, order, scheduler.LeaseNoReply, scheduler.RunnerReport{})
	case scheduler.OrderStart:
		sender.StartReplied(now, order, scheduler.StartNoReply, 0)
	case scheduler.OrderStop:
		sender.StopReplied(now, order, scheduler.StopNotConfirmed, 0)
	}
}

// reportOtherIncarnation reports to a scheduler that another incarnation has replied to an order.
func reportOtherIncarnation(sender *scheduler.Scheduler, now time.Duration, order scheduler.Order) {
	switch order.Kind {
	case scheduler.OrderRenewLease:
		sender.LeaseReplied(now, order, scheduler.LeaseOtherIncarnation, scheduler.RunnerReport{})
	case scheduler.OrderStart:
		sender.StartReplied(now, order, scheduler.StartOtherIncarnation, 0)
	case scheduler.OrderStop:
		sender.StopReplied(now, order, scheduler.StopOtherIncarnation, 0)
	}
}

// runnerNamed returns the runner with a name, or nil if there is none.
func (w *world) runnerNamed(name string) *runner {
	for _, r := range w.runners {
		if r.name == name {
			return r
		}
	}
	return nil
}

// execute executes an order. reply gets a function that passes the answer to the scheduler.
func (r *runner) execute(order scheduler.Order, reply func(any)) {
	if order.Kind != scheduler.OrderRenewLease || len(r.finished) > 0 {
		r.w.tracef("%s gets order %d, token %d, of %v attempt %d, seen %d", r.name, order.Kind, order.Token, order.Task, order.Attempt, order.AckedThrough)
	}
	if order.Runner != r.id {
		reply(func(s *scheduler.Scheduler, now time.Duration) { reportOtherIncarnation(s, now, order) })
		return
	}
	switch order.Kind {
	case scheduler.OrderRenewLease:
		r.renewLease(order, reply)
	case scheduler.OrderStart:
		answer, clock := r.startRun(order), r.clockMs()
		r.w.recorder.started(r, answer, clock)
		reply(func(s *scheduler.Scheduler, now time.Duration) { s.StartReplied(now, order, answer, clock) })
	case scheduler.OrderStop:
		answer, clock := r.stopRun(order), r.clockMs()
		r.w.recorder.stopped(r, answer == scheduler.StopConfirmed, clock)
		reply(func(s *scheduler.Scheduler, now time.Duration) { s.StopReplied(now, order, answer, clock) })
	}
}

// extendLease extends the lease of all runs, unless the order's deadline is 0, which means none.
func (r *runner) extendLease(deadline int64) {
	if deadline > 0 {
		r.leaseUntilMs = max(r.leaseUntilMs, min(deadline, r.clockMs()+maxLeaseMs))
	}
}

// renewLease extends the lease and sends a report at the next end of a run, or after the order's wait.
func (r *runner) renewLease(order scheduler.Order, reply func(any)) {
	if r.rejectsToken(order.Token) {
		reply(func(s *scheduler.Scheduler, now time.Duration) {
			s.LeaseReplied(now, order, scheduler.LeaseFenced, scheduler.RunnerReport{})
		})
		return
	}
	r.extendLease(order.DeadlineMs)
	for len(r.finished) > 0 && r.finished[0].Number <= order.AckedThrough {
		r.w.jobs[r.finished[0].Task.Job].recordAcknowledgedEnd(r.finished[0])
		r.finished = r.finished[1:]
	}
	end := r.w.now + time.Duration(order.WaitMs)*time.Millisecond
	var poll func()
	poll = func() {
		if len(r.finished) == 0 && r.w.now < end {
			r.after(runnerInterval, poll)
			return
		}
		report := scheduler.RunnerReport{ClockMs: r.clockMs(), Finished: slices.Clone(r.finished)}
		for _, ref := range r.tasks() {
			report.Running = append(report.Running, scheduler.ReportedRun{Task: ref, Attempt: r.runs[ref].attempt, Percent: r.runs[ref].percent(r.w.now)})
		}
		r.w.recorder.reported(r, &report)
		reply(func(s *scheduler.Scheduler, now time.Duration) {
			s.LeaseReplied(now, order, scheduler.LeaseRenewed, report)
		})
	}
	poll()
}

// startRun begins a run, unless the protocol refuses it, and checks the rules on starts.
func (r *runner) startRun(order scheduler.Order) scheduler.StartReply {
	w := r.w
	if r.rejectsToken(order.Token) {
		return scheduler.StartRefused
	}
	if run := r.runs[order.Task]; run != nil && run.attempt == order.Attempt {
		return scheduler.StartAccepted
	}
	if r.clockMs() > order.DeadlineMs || order.Attempt <= r.endedThrough[order.Task] {
		return scheduler.StartRefused
	}
	j := w.jobs[order.Task.Job]
	if j == nil {
		w.fail("UNASKED: %v starts, whose job no client submitted", order.Task)
	}
	for _, other := range w.runners {
		if run := other.runs[order.Task]; run != nil {
			w.fail("TWICE: %v attempt %d starts at %s, while attempt %d is at %s", order.Task, order.Attempt, r.name, run.attempt, other.name)
		}
	}
	j.checkStart(w, r, order)
	r.extendLease(order.DeadlineMs)
	r.runs[order.Task] = &taskRun{attempt: order.Attempt, startedAt: w.now, endsAt: w.now + w.randomBetween(w.minRunTime, w.maxRunTime)}
	return scheduler.StartAccepted
}

// stopRun stops a run. The attempt, and earlier ones, can't start afterwards even if they have not begun.
func (r *runner) stopRun(order scheduler.Order) scheduler.StopReply {
	if r.rejectsToken(order.Token) {
		return scheduler.StopNotConfirmed
	}
	r.endedThrough[order.Task] = max(r.endedThrough[order.Task], order.Attempt)
	if run := r.runs[order.Task]; run != nil && run.attempt <= order.Attempt {
		r.endRun(order.Task, job.EndStopped)
	}
	return scheduler.StopConfirmed
}

// checkToken checks that no other process, and no other incarnation of this one, has used an order's
// fencing token.
func (w *world) checkToken(c *controlNode, order scheduler.Order) {
	for _, r := range w.runners {
		if r.name != order.Address {
			continue
		}
		key := fmt.Sprint(r.service, "/", order.Token)
		user := fmt.Sprint(c.name, "/", c.incarnation)
		if other := w.tokenUsers[key]; other != "" && other != user {
			w.fail("the token %s is used by %s and by %s", key, other, user)
		}
		w.tokenUsers[key] = user
	}
}
