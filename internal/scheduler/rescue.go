package scheduler

import (
	"slices"
	"time"

	"basaltloft/internal/job"
)

const (
	lateBeyond  = 2.5                     // a run is looked at once it takes so many times what was expected
	lateFloor   = 1200 * time.Millisecond // and this much more
	movingGain  = 1.5                     // it moves if what is left of it is so many times a new run
	evacuateLed = 900 * time.Millisecond  // a draining runner is left so long before it goes
)

// rescue stops runs that stand still, crawl, or would die with their runner; they start
// again elsewhere, from what they saved.
func (o *Owner) rescue(s *session) {
	if !s.fenced || o.now-s.heardAt > contactWithin {
		return
	}
	var moving []*run
	for _, r := range s.runs {
		if r.phase == confirmed && !r.ending && !r.stopWanted && o.shouldMove(s, r) {
			moving = append(moving, r)
		}
	}
	slices.SortFunc(moving, func(a, b *run) int { return compareKeys(a.runKey, b.runKey) })
	for _, r := range moving {
		o.log.Info("a run moves", "task", r.task.String(), "runner", s.id, "percent", r.percent, "after", o.now-r.sentAt)
		o.wantStop(s, r)
	}
}

func (o *Owner) shouldMove(s *session, r *run) bool {
	j := o.store.Jobs[r.task.Job]
	if j == nil || r.task.Step >= len(j.Spec.Steps) {
		return false
	}
	step := &j.Spec.Steps[r.task.Step]
	if step.LongRunning {
		return o.mustEvacuate(s)
	}
	return o.crawls(s, r, step) || o.leftBehind(s, r, step)
}

// crawls tells whether a run takes so long that a new one would end sooner.
func (o *Owner) crawls(s *session, r *run, step *job.Step) bool {
	elapsed := o.now - r.sentAt
	expected := time.Duration(r.expected * float64(time.Second))
	if elapsed < time.Duration(lateBeyond*float64(expected))+lateFloor {
		return false
	}
	left := o.left(r, elapsed)
	if left < time.Duration(movingGain*float64(expected))+o.bounds.Restore {
		return false
	}
	s.pace.Add(8, paceWindow)
	return true
}

// left guesses how much longer a run takes, by the progress that its runner lists.
func (o *Owner) left(r *run, elapsed time.Duration) time.Duration {
	if r.percent <= 0 {
		return elapsed * 10
	}
	byShare := time.Duration(float64(elapsed) / float64(r.percent) * float64(100-r.percent))
	if still := o.now - r.percentAt; still > lateFloor+elapsed/10 {
		return byShare + still*10
	}
	return byShare
}

// leftBehind tells whether a run will not end before its runner leaves.
func (o *Owner) leftBehind(s *session, r *run, step *job.Step) bool {
	if s.leavesAt == 0 {
		return false
	}
	elapsed := o.now - r.sentAt
	expected := time.Duration(r.expected * float64(time.Second))
	left := max(expected-elapsed, 0)
	if r.percent > 10 {
		left = o.left(r, elapsed)
	}
	if o.now+left+evacuateLed/2 < s.leavesAt {
		return false
	}
	return !step.Checkpoints || o.mustEvacuate(s)
}

func (o *Owner) mustEvacuate(s *session) bool {
	return s.leavesAt > 0 && o.now+evacuateLed > s.leavesAt
}
