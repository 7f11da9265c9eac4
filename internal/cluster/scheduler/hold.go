package scheduler

import (
	"time"

	"basaltloft/internal/cluster/job"
)

const (
	holdWaitMost = 700                    // ms that a runner may wait for an end
	holdWaitMin  = 150                    // ms, where many holds stay without an answer
	holdLate     = 200 * time.Millisecond // a hold that is so late counts as lost, and another is sent
	lossWindow   = 150                    // holds in the average of those that are lost
	holdRetry    = 150 * time.Millisecond // pause after a hold without an answer
	holdRetryMax = 900 * time.Millisecond
	commitWait   = time.Second // a hold is renewed at the latest so long after the last answer
	mostListed   = 500         // ends that one answer lists at the most
)

// holdIfDue sends a hold where none is out. A runner that is not heard of is looked at without
// its holds being renewed: else what it runs could never be known to be over.
func (o *Scheduler) holdIfDue(s *session) {
	if s.holdOut || s.over || o.now < s.holdAt || !s.listed && len(s.runs) == 0 && s.fenced {
		return
	}
	o.sequence++
	order := Order{Kind: OrderRenewLease, Runner: s.id, Address: s.address, AckedThrough: s.lastSeen, Sequence: o.sequence}
	if s.fenced && o.now-s.heardAt < contactWithin {
		order.DeadlineMs = s.clockNow(o.now) + o.holdSpan().Milliseconds()
		if !s.lookNow {
			order.WaitMs = o.holdWait(s)
		}
		s.lookNow = false
		s.extend(order.DeadlineMs)
	}
	s.holdOut, s.holdSequence = true, order.Sequence
	s.holdLateAt = o.now + time.Duration(order.WaitMs)*time.Millisecond + holdLate
	o.order(order)
}

// holdSpan is how long a runner's holds last from each look on: longer than a change of the
// owner, or a restart of the whole core, takes, and no longer, since what ran at a runner
// that fell silent is known to be over only then.
func (o *Scheduler) holdSpan() time.Duration {
	return min(o.bounds.MaxLease-holdMargin*time.Millisecond, holdSpan)
}

// holdWait returns how long a runner may wait for an end before it answers, in milliseconds:
// less where answers get lost, and only until an order whose answer is missing is past.
func (o *Scheduler) holdWait(s *session) int64 {
	wait := max(holdWaitMin, int64(holdWaitMost/(1+100*o.losses.Value)))
	for _, r := range s.runs {
		if r.phase == ordered && o.now-r.sentAt > orderPatience {
			wait = min(wait, max(0, r.orderDeadline+5-s.clockNow(o.now)))
		}
	}
	return wait
}

// orderPatience is how long an order's answer is waited for before the runner is asked.
const orderPatience = 120 * time.Millisecond

// loseHold sends another hold where the last one's answer is late.
func (o *Scheduler) loseHold(s *session) {
	if !s.holdOut || o.now < s.holdLateAt {
		return
	}
	s.holdOut = false
	s.failures++
	if s.failures == 1 {
		o.losses.Add(1, lossWindow)
	}
	s.holdAt = o.now + min(holdRetryMax, time.Duration(s.failures-1)*holdRetry)
}

// lookSoon asks a runner at once where an order without an answer is past its deadline.
func (o *Scheduler) lookSoon(s *session) {
	if !s.holdOut || !s.fenced || s.failures > 0 {
		return
	}
	for _, r := range s.runs {
		if r.phase == ordered && !r.looked && s.clockNow(o.now) > r.orderDeadline {
			r.looked = true
			s.holdOut, s.holdAt = false, o.now
		}
	}
}

// ReportedRun is a run that a runner says it has.
type ReportedRun struct {
	Task       job.TaskRef
	Attempt    int
	Checkpoint string
	Percent    int
}

// ReportedEnd is an end that a runner lists.
type ReportedEnd struct {
	Number     uint64
	Task       job.TaskRef
	Attempt    int
	Reason     job.EndReason
	Checkpoint string
}

// RunnerReport is a runner's answer to a hold.
type RunnerReport struct {
	ClockMs     int64
	Running     []ReportedRun
	Finished    []ReportedEnd
	RemainingMs int64 // of a runner that drains; 0: not told
}

// LeaseReply is how a runner answered a hold.
type LeaseReply uint8

// Replies to holds.
const (
	LeaseRenewed          LeaseReply = iota + 1
	LeaseOtherIncarnation            // 421
	LeaseFenced                      // 409: a newer owner is there
	LeaseNoReply                     // no answer
)

// LeaseReplied takes in the answer to a hold.
func (o *Scheduler) LeaseReplied(now time.Duration, order Order, reply LeaseReply, report RunnerReport) {
	o.now = now
	s := o.sessions[order.Runner]
	if s == nil {
		return
	}
	current := s.holdSequence == order.Sequence && s.holdOut
	if current {
		s.holdOut = false
	}
	switch reply {
	case LeaseOtherIncarnation:
		o.lifeOver(s)
		return
	case LeaseFenced:
		s.holdAt = now + holdRetryMax
		return
	case LeaseNoReply:
		if current {
			s.failures++
			s.holdAt = now + min(holdRetryMax, time.Duration(s.failures)*holdRetry)
		}
		return
	}
	if s.failures == 0 {
		o.losses.Add(0, lossWindow)
	}
	if report.ClockMs < s.clock && s.fenced {
		return // it was overtaken by a later look
	}
	o.takeLook(s, report)
}

func (o *Scheduler) takeLook(s *session, look RunnerReport) {
	first := !s.fenced
	s.fenced = true
	s.heard(o.now, look.ClockMs)
	if look.RemainingMs > 0 {
		s.draining = true
		s.leavesAt = o.now + time.Duration(look.RemainingMs)*time.Millisecond
	}
	named := map[runKey]bool{}
	o.takeEnds(s, look, named)
	for _, listed := range look.Running {
		o.takeRunning(s, listed, named)
	}
	if len(look.Finished) < mostListed {
		o.findAbsent(s, look.ClockMs, named)
	}
	if first {
		o.dirty = true
	}
	o.holdIfDue(s)
}

// takeEnds proposes the ends that are new. Until they are committed the runner is not told
// that they were seen, and the next hold waits for that.
func (o *Scheduler) takeEnds(s *session, look RunnerReport, named map[runKey]bool) {
	s.holdAt = o.now
	for _, end := range look.Finished {
		key := runKey{task: end.Task, attempt: end.Attempt}
		named[key] = true
		if end.Number <= s.taken {
			continue
		}
		s.taken = end.Number
		if r := s.runs[key]; r != nil {
			r.ending = true
		}
		o.propose(job.Command{Kind: job.EndRun, Task: end.Task, Attempt: end.Attempt, Runner: s.id, EndReason: end.Reason, Checkpoint: end.Checkpoint})
	}
	if s.taken > s.lastSeen {
		o.notes[o.batch] = append(o.notes[o.batch], endNote{session: s, upTo: s.taken})
		s.holdAt = o.now + commitWait
	}
}

func (o *Scheduler) takeRunning(s *session, listed ReportedRun, named map[runKey]bool) {
	key := runKey{task: listed.Task, attempt: listed.Attempt}
	named[key] = true
	r := s.runs[key]
	if r == nil {
		o.order(Order{Kind: OrderStop, Runner: s.id, Address: s.address, Task: listed.Task, Attempt: listed.Attempt})
		return
	}
	if r.phase != confirmed {
		r.phase, r.startedClock = confirmed, s.clock
	}
	o.trust(r)
	r.progress(o.now, listed.Percent)
	if listed.Checkpoint != "" && listed.Checkpoint != r.saved && !r.ending {
		r.saved = listed.Checkpoint
		o.propose(job.Command{Kind: job.SaveCheckpoint, Task: r.task, Attempt: r.attempt, Checkpoint: listed.Checkpoint})
	}
}

// findAbsent ends the runs that a look proves to be over: they are in neither list, and
// could not begin after it.
func (o *Scheduler) findAbsent(s *session, clock int64, named map[runKey]bool) {
	for _, r := range s.sortedRuns() {
		if named[r.runKey] || r.ending {
			continue
		}
		if r.provenAbsent(clock) {
			o.endRun(s, r, job.EndLost, "")
		}
	}
}

// provenAbsent tells whether a run that is in neither list of a look at that time of the
// runner's clock is over for good.
func (r *run) provenAbsent(clock int64) bool {
	switch r.phase {
	case inherited:
		return true // the look carried this owner's token: the earlier owner's orders are shut out
	case confirmed:
		return clock > r.startedClock
	case ordered:
		return clock > r.orderDeadline || r.stopClock > 0 && clock > r.stopClock
	}
	return false
}

// tickEvery is the least pause between two looks over all runners.
const tickEvery = 40 * time.Millisecond

// Tick lets time pass. wallMs is the time of day, from 1970.
func (o *Scheduler) Tick(now time.Duration, wallMs int64) {
	o.now, o.wallMs = now, wallMs
	if now < o.tickedAt+tickEvery {
		return
	}
	o.tickedAt = now
	for _, s := range o.ordered {
		o.tickSession(s)
	}
	o.alarm()
	o.dropSessions()
	o.tickRepeats()
	o.forgetOld()
	if now > o.passAt+passEvery {
		o.dirty = true
	}
}

func (o *Scheduler) tickSession(s *session) {
	if s.over {
		return
	}
	if o.now > s.overAt && o.now-s.heardAt > contactWithin && len(s.runs) > 0 {
		o.endAll(s)
	}
	o.loseHold(s)
	if o.now >= s.checkAt {
		o.checkRuns(s)
	}
	o.holdIfDue(s)
}

// checkEvery is how often runs are looked at where none waits for an answer or a stop.
const checkEvery = 160 * time.Millisecond

// checkRuns follows up what is owed by or for the runs of one runner.
func (o *Scheduler) checkRuns(s *session) {
	s.checkAt = o.now + checkEvery
	o.lookSoon(s)
	for _, r := range s.runs {
		if r.stopWanted {
			o.sendStop(s, r)
		}
		if r.stopWanted || r.phase == ordered {
			s.checkAt = o.now
		}
	}
	o.noteSilence(s)
	o.rescue(s)
}

// dropSessions forgets runners that are gone and have nothing left.
func (o *Scheduler) dropSessions() {
	kept := o.ordered[:0]
	for _, s := range o.ordered {
		gone := s.over || !s.listed && o.now-s.heardAt > 2*contactWithin
		if gone && len(s.runs) == 0 && !s.holdOut {
			delete(o.sessions, s.id)
			continue
		}
		kept = append(kept, s)
	}
	clear(o.ordered[len(kept):])
	o.ordered = kept
}

// tickRepeats proposes the times that fall due.
func (o *Scheduler) tickRepeats() {
	for _, id := range sortedKeys(o.repeats) {
		j := o.repeats[id]
		for time := len(j.Occurrences); time < j.Spec.Occurrences() && j.Spec.DueMs(time) <= o.wallMs; time++ {
			o.propose(job.Command{Kind: job.OpenOccurrence, Task: job.TaskRef{Job: id, Occurrence: time}})
		}
		if len(j.Occurrences) >= j.Spec.Occurrences() {
			delete(o.repeats, id)
		}
	}
}

// forgetOld proposes to forget jobs that have been over for long enough.
func (o *Scheduler) forgetOld() {
	const margin = 30_000
	for len(o.endings) > 0 && o.endings[0].atMs+o.bounds.StatusRetention.Milliseconds()+margin < o.wallMs {
		o.propose(job.Command{Kind: job.ForgetJob, Task: job.TaskRef{Job: o.endings[0].id}})
		delete(o.ended, o.endings[0].id)
		o.endings = o.endings[1:]
	}
}
