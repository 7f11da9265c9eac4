package scheduler

import "time"

const (
	// initialStarts is how many starts may be in flight at first: what a small node orders within
	// lateStartReply.
	initialStarts = 128
	// leastStarts is how many may be in flight however late the replies are.
	leastStarts = 32
	// lateStartReply: a reply to an order to start that takes longer is late. An order that takes
	// twice as long is not carried out (startDeadlineMs).
	lateStartReply = startDeadlineMs / 2 * time.Millisecond

	// startsGrowth is by how much the window grows with each reply that is in time while the window
	// is in use: by a quarter in the time of an order and its reply.
	startsGrowth = 0.25
	// startsShrinkFraction is what a late reply leaves of the window, once in startsShrinkPause.
	startsShrinkFraction = 0.6
	startsShrinkPause    = startDeadlineMs * time.Millisecond
)

// startWindow bounds the starts in flight: those that were proposed or ordered and have neither a
// reply nor an end. More of them than this node and its runners deal with until the orders'
// deadline cost two commands and an order each and start nothing; where all that waits is ordered
// at once, as after a loss of the whole control plane, hardly any order arrives in time, the tasks
// are ordered again, and the node never catches up. So the window follows the replies: it shrinks
// with late ones and grows while they are in time. Orders without a reply don't count for that: their
// runners may be gone. The zero value is that of a new leader.
type startWindow struct {
	limit    float64 // 0: initialStarts
	inFlight int
	blocked  bool          // it has kept work from starting since the last release
	shrunkAt time.Duration // 0: never
}

// size returns how many starts may be in flight.
func (w *startWindow) size() float64 {
	if w.limit == 0 {
		return initialStarts
	}
	return w.limit
}

// full tells whether nothing more may start now. It notes that work was kept from starting, so
// that the next release is followed by a cycle.
func (w *startWindow) full() bool {
	if float64(w.inFlight) < w.size() {
		return false
	}
	w.blocked = true
	return true
}

// start notes that a run's start was proposed.
func (w *startWindow) start(r *run) {
	r.starting = true
	w.inFlight++
}

// release notes that a run's start has a reply or an end. It tells whether work waits for that.
func (w *startWindow) release(r *run) (waited bool) {
	if !r.starting {
		return false
	}
	r.starting = false
	w.inFlight--
	waited, w.blocked = w.blocked, false
	return waited
}

// replied takes in how long the reply to an order to start took. Call it before release.
func (w *startWindow) replied(now, took time.Duration) {
	switch {
	case took <= lateStartReply:
		if float64(w.inFlight) >= w.size()/2 {
			w.limit = w.size() + startsGrowth
		}
	case w.shrunkAt == 0 || now-w.shrunkAt >= startsShrinkPause:
		w.limit = max(leastStarts, w.size()*startsShrinkFraction)
		w.shrunkAt = now
	}
}

// releaseStart notes that a run's start has a reply or an end, and lets a cycle follow where work
// waits for that.
func (s *Scheduler) releaseStart(r *run) {
	if s.startWindow.release(r) {
		s.cycle.needed = true
	}
}
