package scheduler

import (
	"slices"
	"time"

	"basaltloft/internal/cluster/job"
)

const (
	markApart   = 150 * time.Millisecond // progress is measured over spans at least so long,
	markPart    = 0.2                    // and over so much of the expected run time: listed shares are whole percents
	slowBeyond  = 2.2                    // a run so many times longer than expected is slow
	standing    = 50.0                   // and one so many times longer stands still
	slowJobs    = 3                      // so many jobs at one runner are not all estimated wrongly
	slowFloor   = 300 * time.Millisecond // beside this much
	stillFor    = 400 * time.Millisecond // a run without progress for so long and
	stillPart   = 0.08                   // so much of its expected run time stands still: whole percents are listed
	movingGain  = 1.3                    // a run moves if what is left of it is so many times a new run
	movingCost  = 200 * time.Millisecond // and this much more
	mostMoves   = 4                      // attempts after which a task is left where it is
	gangPatient = 2.5                    // a gang moves only after so many of its expected run times
	evacuateLed = 900 * time.Millisecond // a draining runner is left so long before it goes
	slowestSeen = 8.0                    // a runner's pace counts no worse
)

// progress takes in how far a run is, as its runner lists it.
func (r *run) progress(now time.Duration, percent int) {
	r.listedAt = now
	if r.markAt == 0 && r.resumed {
		r.markAt, r.markPercent = now, percent
	}
	if r.markAt == 0 {
		r.markAt = r.sentAt
	}
	if now-r.markAt >= max(markApart, r.part(markPart)) {
		r.rate = float64(percent-r.markPercent) / (now - r.markAt).Seconds()
		r.rated = true
		r.markAt, r.markPercent = now, percent
	}
	if percent != r.percent || r.percentAt == 0 {
		r.percent, r.percentAt = percent, now
	}
}

// part returns a part of the expected run time.
func (r *run) part(share float64) time.Duration {
	return time.Duration(share * r.expected * float64(time.Second))
}

// left returns how much longer a run takes at the rate of its last span; false: that is not
// known yet. One that was listed again and again at the same percentage takes for ever; that
// nothing was heard of it says nothing.
func (r *run) left() (time.Duration, bool) {
	const forEver = time.Hour
	switch {
	case !r.rated:
		return 0, false
	case r.listedAt-r.percentAt >= stillFor+r.part(stillPart)+r.restore:
		return forEver, true
	case r.rate <= 0:
		return 0, false
	}
	return time.Duration(float64(100-r.percent) / r.rate * float64(time.Second)), true
}

// slowness is how much longer than expected a run takes in all; 0: that is not known yet.
func (r *run) slowness(now time.Duration) float64 {
	left, ok := r.left()
	if !ok || r.expected <= 0 {
		return 0
	}
	return max(0, (now-r.sentAt+left-slowFloor).Seconds()) / r.expected
}

// rescue stops runs that stand still, crawl, or would die with their runner; they start
// again elsewhere, from what they saved.
func (o *Scheduler) rescue(s *session) {
	if !s.fenced || o.now-s.heardAt > contactWithin || len(s.runs) == 0 {
		return
	}
	slow := o.noteSlowness(s)
	var moving []*run
	for _, r := range s.runs {
		if r.phase == confirmed && !r.ending && !r.stopWanted && o.shouldMove(s, r, slow) {
			moving = append(moving, r)
		}
	}
	slices.SortFunc(moving, func(a, b *run) int { return compareKeys(a.runKey, b.runKey) })
	for _, r := range moving {
		o.log.Info("a run moves", "task", r.task.String(), "runner", s.id, "percent", r.percent, "after", o.now-r.sentAt, "expected", r.expected, "rate", r.rate, "resumed", r.resumed)
		o.wantStop(s, r)
	}
}

// noteSlowness tells whether a runner is slow at this moment. That a run takes longer than
// expected says little: its job's estimate may be wrong. It counts where the same step's
// runs elsewhere do better, where it stands still, or where all jobs that run here, several,
// are slow.
func (o *Scheduler) noteSlowness(s *session) bool {
	slow, usual := map[string]bool{}, 0
	sure := false
	for _, r := range s.runs {
		ratio := r.slowness(o.now)
		if ratio == 0 {
			continue
		}
		elsewhere, known := o.slownessElsewhere(s, r)
		if ratio < slowBeyond*max(1, elsewhere) {
			usual++
			continue
		}
		slow[r.task.Job] = true
		sure = sure || known || ratio > standing
	}
	if !sure && (usual > 0 || len(slow) < slowJobs) {
		return false
	}
	s.crawls = true
	if o.now >= s.slowNotedAt+markApart {
		s.slowNotedAt = o.now
		s.pace.Add(slowestSeen, paceWindow)
	}
	return true
}

// slownessElsewhere returns the mean slowness of the same step's runs at other runners;
// false: none is known.
func (o *Scheduler) slownessElsewhere(s *session, r *run) (mean float64, known bool) {
	j := o.store.Jobs[r.task.Job]
	_, step := j.Task(r.task)
	if step == nil {
		return 0, false
	}
	n := 0
	for index := range step.Tasks {
		for _, live := range step.Tasks[index].Runs {
			ref := r.task
			ref.Index = index
			other := o.sessions[live.Runner]
			if other == nil || other == s || other.runs[runKey{task: ref, attempt: live.Attempt}] == nil {
				continue
			}
			if ratio := other.runs[runKey{task: ref, attempt: live.Attempt}].slowness(o.now); ratio > 0 {
				mean += ratio
				n++
			}
		}
	}
	return mean / max(1, float64(n)), n > 0
}

func (o *Scheduler) shouldMove(s *session, r *run, slow bool) bool {
	j := o.store.Jobs[r.task.Job]
	if j == nil || r.task.Step >= len(j.Spec.Steps) {
		return false
	}
	step := &j.Spec.Steps[r.task.Step]
	if step.LongRunning {
		return o.mustEvacuate(s)
	}
	return slow && o.crawls(s, r, step) || o.leftBehind(s, r, step)
}

// crawls tells whether a run takes so long that a new one would end sooner.
func (o *Scheduler) crawls(s *session, r *run, step *job.Step) bool {
	ratio := r.slowness(o.now)
	if r.attempt >= mostMoves || ratio < slowBeyond {
		return false
	}
	expected := time.Duration(r.expected * float64(time.Second))
	if elsewhere, known := o.slownessElsewhere(s, r); known {
		expected = time.Duration(max(1, elsewhere) * float64(expected))
	}
	if step.Gang && o.now-r.sentAt < time.Duration(gangPatient*float64(expected))+time.Second {
		return false
	}
	left, ok := r.left()
	return ok && left > time.Duration(movingGain*float64(expected))+o.bounds.RestoreTime+movingCost
}

// leftBehind tells whether a run will not end before its runner leaves.
func (o *Scheduler) leftBehind(s *session, r *run, step *job.Step) bool {
	if s.leavesAt == 0 {
		return false
	}
	left, ok := r.left()
	if !ok {
		left = max(time.Duration(r.expected*float64(time.Second))-(o.now-r.sentAt), 0)
	}
	if o.now+left+evacuateLed/2 < s.leavesAt {
		return false
	}
	return !step.Checkpoints || o.mustEvacuate(s)
}

func (o *Scheduler) mustEvacuate(s *session) bool {
	return s.leavesAt > 0 && o.now+evacuateLed > s.leavesAt
}
