package scheduler

import "time"

const (
	// massTimeoutRunners runners that become unresponsive within massTimeoutWindow are more than
	// chance: a part of the network may be gone.
	massTimeoutRunners = 3
	massTimeoutWindow  = 300 * time.Millisecond
	// massTimeoutPause is the least time between two polls of all runners: each costs a request a
	// runner.
	massTimeoutPause = time.Second
	// recentContact: a runner that replied so lately is not polled again.
	recentContact = 150 * time.Millisecond
)

// massTimeoutDetector tells when several runners have become unresponsive together. All others
// are then polled at once, so that what is ready is not sent to runners whose next poll would
// have shown only later that they are gone too. The zero value is ready for use.
type massTimeoutDetector struct {
	timeouts    []time.Duration // when runners became unresponsive lately, oldest first
	pausedUntil time.Duration
}

// record notes that one more runner has become unresponsive.
func (d *massTimeoutDetector) record(now time.Duration) { d.timeouts = append(d.timeouts, now) }

// detect tells whether several runners have become unresponsive lately, and how many. It reports
// that once in a pause.
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

// pollAllOnMassTimeout polls all runners at once where several have become unresponsive lately.
func (s *Scheduler) pollAllOnMassTimeout() {
	count, detected := s.massTimeout.detect(s.now)
	if !detected {
		return
	}
	s.log.Info("mass time-out detected: polling all runners", "unresponsive", count)
	for _, runner := range s.runners.inOrder {
		lease, contact := &runner.lease, &runner.contact
		if lease.pending && contact.fenced && !runner.ended && contact.missedPolls == 0 && s.now-contact.lastContact > recentContact {
			lease.pending, lease.dueAt, lease.replyAtOnce = false, s.now, true
			s.pollIfDue(runner)
		}
	}
}
