package discovery

import (
	"time"
)

// CallSchedule says when discovery is called, how long a call may take, and when one that failed is
// repeated. It only decides; the Follower calls.
//
// By the platform's rules, what discovery has counts as told a fixed time after it could be reached,
// whatever became of the calls before: so what matters is MaxCallInterval, the time from one call's start
// to the next one's, however the first ends. From the moment at which discovery can be reached, an answer
// arrives within MaxCallInterval and the time that an answer takes.
type CallSchedule struct {
	WatchWait    time.Duration // how long discovery holds a watch when nothing changes
	WatchGrace   time.Duration // how much longer the answer to a watch may take
	ReplyTimeout time.Duration // how long the answer to any other call may take
	// PollFirst starts a watch with a call that waits for nothing: it may have to queue at the service,
	// and how long that takes says nothing of when a watch would end.
	PollFirst bool

	MinBackoff      time.Duration // the longest pause after a first failure; it doubles with each further one
	MaxBackoff      time.Duration // up to this one
	MaxCallInterval time.Duration // from the start of a failed call to that of the next, at most
}

const (
	// serviceCallTime is what a shared service is taken to need for a call. It sets the first pause
	// only: a service that takes longer fails calls, and the pause grows.
	serviceCallTime = 25 * time.Millisecond
	// minPause is the least time between a failed call and the next.
	minPause = 25 * time.Millisecond
	// pollWait is how long discovery holds a call that is to wait for nothing.
	pollWait = time.Millisecond
)

// SharedServiceSchedule is the schedule for a service that so many callers share and that the settings
// want polled at an interval (0: they don't say). A failed call must not be repeated by all at once,
// since a service that has more calls than it can answer in time fails them all: the next call comes at
// random within a span that grows up to MaxBackoff. What the service has counts as told 6 s after it
// could be reached; ReplyTimeout is what is left of them.
func SharedServiceSchedule(callers int, every time.Duration) CallSchedule {
	c := CallSchedule{
		WatchWait: 2 * time.Second, WatchGrace: 750 * time.Millisecond,
		ReplyTimeout: 2250 * time.Millisecond, PollFirst: true,
		MaxBackoff: 4250 * time.Millisecond, MaxCallInterval: 4250 * time.Millisecond,
	}
	if every > 0 { // failed calls may take four times as long in all
		c.MaxBackoff = max(minPause, min(c.MaxBackoff, 2*every))
	}
	c.MinBackoff = min(c.MaxBackoff, max(minPause, time.Duration(callers)*serviceCallTime))
	return c
}

// LocalAgentSchedule is the schedule for an agent on this machine, which answers at once and at no cost
// and does not answer while discovery is down. Its watch is short, so that a call without an answer is
// given up and repeated well within the 2 s in which a drain must bind, and a failed call is repeated
// after a short pause.
func LocalAgentSchedule() CallSchedule {
	return CallSchedule{
		WatchWait: time.Second, WatchGrace: 250 * time.Millisecond, ReplyTimeout: 250 * time.Millisecond,
		MinBackoff: 2 * minPause, MaxBackoff: 200 * time.Millisecond, MaxCallInterval: 1450 * time.Millisecond,
	}
}

// Timeouts returns how long a call has discovery wait for changes, and when it is given up, given
// whether a version is known and whether the call continues a watch. Without a version the whole list is
// asked for, which is no watch.
func (c CallSchedule) Timeouts(began time.Time, known, continues bool) (wait time.Duration, until time.Time) {
	switch {
	case !known:
		return 0, began.Add(c.ReplyTimeout)
	case c.PollFirst && !continues:
		return pollWait, began.Add(c.ReplyTimeout)
	}
	return c.WatchWait, began.Add(c.WatchWait + c.WatchGrace)
}

// NextCall returns when the call after a failed one starts, given how many have failed in a row (one or
// more) and a random number (0 to 1): after minPause, within a span that doubles with each failure, and
// at most MaxCallInterval after the failed one began.
func (c CallSchedule) NextCall(began, failed time.Time, failures int, draw float64) time.Time {
	span := c.MaxBackoff
	if n := failures - 1; n < 16 { // more would exceed any MaxBackoff, and the type
		span = min(span, c.MinBackoff<<max(0, n))
	}
	from, by := failed.Add(minPause), failed.Add(span)
	if at := began.Add(c.MaxCallInterval); at.Before(by) {
		by = at
	}
	return from.Add(time.Duration(draw * float64(max(0, by.Sub(from)))))
}
