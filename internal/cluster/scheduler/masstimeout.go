package scheduler

import "time"

const (
	// massTimeoutRunners is the number of runners that have to become unresponsive within
	// massTimeoutWindow to count as a mass timeout. This is unlikely to be a coincidence: a part of
	// the network may be lost.
	massTimeoutRunners = 3
	massTimeoutWindow  = 300 * time.Millisecond
	// massTimeoutPause is the minimum time between two polls of all runners, each of which costs
	// one request per runner.
	massTimeoutPause = time.Second
	// recentContact is the time after a runner's last reply during which a mass timeout doesn't
	// cause another poll of it.
	recentContact = 150 * time.Millisecond
)

// massTimeoutDetector detects that several runners have become unresponsive at about the same time.
// All other runners are then polled immediately, so that no new tasks are sent to runners that are
// also lost but whose next poll would only show it later. The zero value is ready for use.
type massTimeoutDetector struct {
	timeouts    []time.Duration // recent times at which runners became unresponsive, oldest first
	pausedUntil time.Duration
}

// record records that another runner has become unresponsive.
func (d *massTimeoutDetector) record(now time.Duration) { d.timeouts = append(d.timeouts, now) }

// detect reports whether at least massTimeoutRunners runners became unresponsive within
// massTimeoutWindow, and how many did. After a detection it reports no further one for
// massTimeoutPause.
func (d *massTimeoutDetector) detect(now time.Duration) (count int, detected bool) {
	recent := d.timeouts[:0]
	for _, at := range d.timeouts {
		if now-at < massTimeoutWindow {
			recent = append(recent, at)
		}
	}
	d.timeouts = recent
	if len(recent) < massTimeoutRunners || now < d.pausedUntil {
		return len(recent), false
	}
	d.pausedUntil = now + massTimeoutPause
	return len(recent), true
}

// pollAllOnMassTimeout polls all runners immediately if a mass timeout is detected.
func (s *Scheduler) pollAllOnMassTimeout() {
	count, detected := s.massTimeout.detect(s.now)
	if !detected {
		return
	}
	s.log.Info("mass time-out detected: polling all runners", "unresponsive", count)
	for _, runner := range s.runners.inOrder {
		lease, contact := &runner.lease, &runner.contact
		if lease.pending && contact.tokenAccepted && !runner.ended && contact.missedPolls == 0 && s.now-contact.lastContact > recentContact {
			lease.pending, lease.dueAt, lease.replyAtOnce = false, s.now, true
			s.pollIfDue(runner)
		}
	}
}
