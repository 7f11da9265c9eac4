package scheduler

import "time"

const (
	// initialStartWindow is the initial size of the window: the number of starts that a small node
	// can order within lateStartReply.
	initialStartWindow = 128
	// minStartWindow is the minimum size of the window, however late the replies are.
	minStartWindow = 32
	// lateStartReply is the time after which the reply to an order to start counts as late. An
	// order that takes twice as long to arrive is not carried out (startDeadlineMs).
	lateStartReply = startDeadlineMs / 2 * time.Millisecond

	// startWindowGrowth is how much the window grows with each reply in time while the window is in
	// use. This makes it grow by a quarter in each round trip of an order and its reply.
	startWindowGrowth = 0.25
	// startWindowShrinkFactor is the factor by which a late reply shrinks the window, at most once
	// in startWindowShrinkInterval.
	startWindowShrinkFactor   = 0.6
	startWindowShrinkInterval = startDeadlineMs * time.Millisecond
)

// startWindow limits the number of starts in flight: those that are proposed or ordered and have
// neither a reply nor an end. Starts beyond what this node and its runners can process within the
// orders' deadline cost two commands and one order each and start nothing. If all waiting tasks
// were ordered at once, for example after a loss of the whole control plane, hardly any order would
// arrive in time, the tasks would be ordered again, and the node would never catch up.
//
// The window therefore follows the replies: it shrinks when they are late and grows while they are
// in time. Orders without a reply have no effect on the size, because their runners may be lost.
// The zero value is the window of a new leader.
type startWindow struct {
	limit    float64 // 0 means initialStartWindow
	inFlight int
	blocked  bool          // it has prevented a start since the last release
	shrunkAt time.Duration // time of the last shrink; 0 means never
}

// size returns the maximum number of starts in flight.
func (w *startWindow) size() float64 {
	if w.limit == 0 {
		return initialStartWindow
	}
	return w.limit
}

// full reports whether no more tasks may start now. If so, it records that work is waiting, so that
// a cycle follows the next release.
func (w *startWindow) full() bool {
	if float64(w.inFlight) < w.size() {
		return false
	}
	w.blocked = true
	return true
}

// start records that a run's start was proposed.
func (w *startWindow) start(r *run) {
	r.starting = true
	w.inFlight++
}

// release records that a run's start has a reply or an end. It reports whether work was waiting for
// that.
func (w *startWindow) release(r *run) (waited bool) {
	if !r.starting {
		return false
	}
	r.starting = false
	w.inFlight--
	waited, w.blocked = w.blocked, false
	return waited
}

// replied adjusts the window to the time that the reply to an order to start took. It must be
// called before release.
func (w *startWindow) replied(now, took time.Duration) {
	switch {
	case took <= lateStartReply:
		if float64(w.inFlight) >= w.size()/2 {
			w.limit = w.size() + startWindowGrowth
		}
	case w.shrunkAt == 0 || now-w.shrunkAt >= startWindowShrinkInterval:
		w.limit = max(minStartWindow, w.size()*startWindowShrinkFactor)
		w.shrunkAt = now
	}
}

// releaseStart records that a run's start has a reply or an end, and requests a cycle if work was
// waiting for that.
func (s *Scheduler) releaseStart(r *run) {
	if s.startWindow.release(r) {
		s.cycle.needed = true
	}
}
