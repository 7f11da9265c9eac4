package scheduler

import (
	"time"

	"basaltloft/internal/cluster/job"
)

// A runner that owes an answer is given nothing new. Where several fall silent together, a part
// of the network may be gone: all others are looked at at once, so that what is ready is not
// sent to runners whose next look would have told only later. A task that may run several times
// side by side gets a second run while its first one's runner, or order, is silent.

const (
	// alarmRunners fall silent within alarmSpan where all others are looked at.
	alarmRunners = 3
	alarmSpan    = 300 * time.Millisecond
	// alarmPause is the least time between two such looks: they are priced.
	alarmPause = time.Second
	// alarmFresh is how lately a runner must have been heard not to be looked at.
	alarmFresh = 150 * time.Millisecond
)

// silent tells whether the runner owes an answer that should have come.
func (s *session) silent() bool { return s.failures > 0 || s.owes }

// unanswered tells whether an order to start should have been answered by now.
func (r *run) unanswered(now time.Duration) bool {
	return r.phase == ordered && now-r.sentAt > orderPatience
}

// noteSilence notes whether a runner owes an answer, and what follows for its runs.
func (o *Scheduler) noteSilence(s *session) {
	s.owes = false
	for _, r := range s.runs {
		late := r.unanswered(o.now)
		s.owes = s.owes || late && s.heardAt < r.sentAt
		if (late || s.failures > 0) && !r.doubted {
			r.doubted = true
			o.copyIfAllowed(s, r)
		}
	}
	if !s.silent() {
		s.silentNoted = false
		return
	}
	if !s.silentNoted {
		s.silentNoted = true
		o.silences = append(o.silences, o.now)
	}
}

// alarm looks at all runners where several have fallen silent lately.
func (o *Scheduler) alarm() {
	recent := o.silences[:0]
	for _, at := range o.silences {
		if o.now-at < alarmSpan {
			recent = append(recent, at)
		}
	}
	o.silences = recent
	if len(recent) < alarmRunners || o.now < o.alarmAt {
		return
	}
	o.alarmAt = o.now + alarmPause
	o.log.Info("several runners are silent: all are looked at", "silent", len(recent))
	for _, s := range o.ordered {
		if s.holdOut && s.fenced && !s.over && s.failures == 0 && o.now-s.heardAt > alarmFresh {
			s.holdOut, s.holdAt, s.lookNow = false, o.now, true
			o.holdIfDue(s)
		}
	}
}

// copyIfAllowed makes a task ready again beside a run of which it is not known whether it goes
// on, where the task's step allows runs side by side. The first one to end counts.
func (o *Scheduler) copyIfAllowed(s *session, r *run) {
	j := o.store.Jobs[r.task.Job]
	b := o.bundles[keyOf(r.task)]
	if j == nil || b == nil || !mayCopy(b.step) {
		return
	}
	b.avoid[s.id] = true
	o.fill(b, j)
}

// trust notes that a doubted run goes on. A second one that has not left yet does not leave.
func (o *Scheduler) trust(r *run) {
	if !r.doubted {
		return
	}
	r.doubted = false
	j := o.store.Jobs[r.task.Job]
	if b := o.bundles[keyOf(r.task)]; j != nil && b != nil && mayCopy(b.step) {
		o.fill(b, j)
	}
}

// mayCopy tells whether a second run may start beside a doubted one.
func mayCopy(step *job.Step) bool { return step.Speculative && !step.Gang && !step.LongRunning }

// wantsCopy tells whether a task's only run is doubted, so that a second one may start.
func (o *Scheduler) wantsCopy(b *bundle, index int, task *job.Task) bool {
	if len(task.Runs) != 1 || !mayCopy(b.step) {
		return false
	}
	live := task.Runs[0]
	s := o.sessions[live.Runner]
	if s == nil {
		return false
	}
	ref := job.TaskRef{Job: b.key.job, Occurrence: b.key.time, Step: b.key.step, Index: index}
	r := s.runs[runKey{task: ref, attempt: live.Attempt}]
	return r != nil && r.doubted && !r.ending
}
