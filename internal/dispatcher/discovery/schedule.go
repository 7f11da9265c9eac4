package discovery

import (
	"time"

	"basaltloft/internal/shared/saturating"
)

// CallSchedule defines how long calls to discovery may take and when a failed call is repeated. It only
// computes times; the Follower makes the calls.
//
// By the platform's rules, what discovery has counts as known to the dispatcher a fixed time after discovery
// became reachable, regardless of how earlier calls ended. Therefore MaxCallInterval is what matters: it
// bounds the time from the start of a failed call to the start of the next. Once discovery is reachable, an
// answer arrives within MaxCallInterval plus the time that an answer takes.
type CallSchedule struct {
	WatchWait    time.Duration // how long discovery holds a watch call when nothing changes
	WatchGrace   time.Duration // how long after WatchWait a watch call times out
	ReplyTimeout time.Duration // the timeout of any other call
	// PollFirst starts a watch with a call that discovery answers at once. The call may have to queue at
	// the service, for a time that is unrelated to when a watch call would end.
	PollFirst bool

	MinBackoff      time.Duration // the longest pause after a first failure; it doubles with each further failure
	MaxBackoff      time.Duration // the upper bound of the doubled pause
	MaxCallInterval time.Duration // the maximum time from the start of a failed call to the start of the next
}

const (
	// serviceCallTime is the assumed time that a shared service needs for a call. It only sets the first
	// pause: if the service takes longer, calls fail and the pause grows.
	serviceCallTime = 25 * time.Millisecond
	// minPause is the minimum time between the end of a failed call and the next call.
	minPause = 25 * time.Millisecond
	// pollWait is how long discovery holds a call that should be answered at once.
	pollWait = time.Millisecond
)

// SharedServiceSchedule returns the schedule for a service that is shared by the given number of callers.
// every is the poll interval of the settings (0: not set). The callers must not all repeat a failed call at
// the same time, since a service with more calls than it can answer in time fails them all: the next call
// comes at a random time within a span that grows up to MaxBackoff. What the service has counts as known to
// the dispatcher 6 s after the service became reachable; MaxCallInterval leaves 1.75 s of them for the answer.
func SharedServiceSchedule(callers int, every time.Duration) CallSchedule {
	c := CallSchedule{
		WatchWait: 2 * time.Second, WatchGrace: 750 * time.Millisecond,
		ReplyTimeout: 2250 * time.Millisecond, PollFirst: true,
		MaxBackoff: 4250 * time.Millisecond, MaxCallInterval: 4250 * time.Millisecond,
	}
	if every > 0 { // failed calls may take up to four times this interval in total
		c.MaxBackoff = max(minPause, min(c.MaxBackoff, 2*every))
	}
	c.MinBackoff = min(c.MaxBackoff, max(minPause, time.Duration(callers)*serviceCallTime))
	return c
}

// LocalAgentSchedule returns the schedule for an agent on this machine. The agent answers at once and at no
// cost, and does not answer while discovery is down. Its watch is short, so that a call without an answer
// times out and is repeated well within the 2 s after which a drain must be in effect. A failed call is
// repeated after a short pause.
func LocalAgentSchedule() CallSchedule {
	return CallSchedule{
		WatchWait: time.Second, WatchGrace: 250 * time.Millisecond, ReplyTimeout: 250 * time.Millisecond,
		MinBackoff: 2 * minPause, MaxBackoff: 200 * time.Millisecond, MaxCallInterval: 1450 * time.Millisecond,
	}
}

// Timeouts returns how long discovery should hold a call to wait for changes, and the call's deadline. known
// means that a version of the list is known, continues that the call follows an answered call of the same
// watch. Without a known version the call requests the whole list and doesn't wait for changes.
func (c CallSchedule) Timeouts(began time.Time, known, continues bool) (wait time.Duration, until time.Time) {
	switch {
	case !known:
		return 0, began.Add(c.ReplyTimeout)
	case c.PollFirst && !continues:
		return pollWait, began.Add(c.ReplyTimeout)
	}
	return c.WatchWait, began.Add(c.WatchWait + c.WatchGrace)
}

// NextCall returns the start of the call after a failed one, which began and failed at the given times.
// failures is the number of consecutive failures (at least 1), draw a random number from 0 to 1. The start
// is at least minPause after the failure, within a span that doubles with each failure, and at most
// MaxCallInterval after the failed call began.
func (c CallSchedule) NextCall(began, failed time.Time, failures int, draw float64) time.Time {
	span := c.MaxBackoff
	if n := failures - 1; n < 16 { // a larger shift would exceed any MaxBackoff and overflow
		span = min(span, c.MinBackoff<<max(0, n))
	}
	from, by := failed.Add(minPause), failed.Add(span)
	if at := began.Add(c.MaxCallInterval); at.Before(by) {
		by = at
	}
	return from.Add(saturating.Duration(draw * float64(max(0, by.Sub(from)))))
}
