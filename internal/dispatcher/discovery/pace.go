package discovery

import (
	"time"
)

// CallSchedule is when discovery is called, how long a call may take, and when one that failed
// is made anew. It only decides; the Follower calls.
//
// What discovery has counts as told a fixed time after it could be reached, whatever
// became of the calls before: so what bounds a pace is the time from one call's begin to
// the next one's, By, however the first ends. From the moment that discovery can be
// reached a good answer is in hand within By and the time that an answer takes.
type CallSchedule struct {
	WatchWait    time.Duration // discovery holds a watch so long when nothing changes
	WatchGrace   time.Duration // the answer to a watch that goes on may come so long after that
	ReplyTimeout time.Duration // the answer to a call that waits for nothing may take so long
	// PollFirst: a watch begins with a call that waits for nothing, since it may have to queue
	// at the service: how long it takes then says nothing of when a watch would end.
	PollFirst bool

	MinBackoff      time.Duration // the pause after a first failure, at most; it doubles with each further one
	MaxBackoff      time.Duration // up to this
	MaxCallInterval time.Duration // the next call begins at the latest so long after the failed one began
}

const (
	// serviceCallTime is what a service that all dispatchers ask may take for a call. It sets
	// the first pause only: one that takes longer fails calls, and the pause grows.
	serviceCallTime = 25 * time.Millisecond
	// minPause parts a failed call and the next.
	minPause = 25 * time.Millisecond
	// pollWait is how long a call waits that is to wait for nothing.
	pollWait = time.Millisecond
)

// SharedServiceSchedule is the pace at a service that so many callers share and that the settings
// want asked at intervals (0: they don't say). A failed call must not be made anew by all at once,
// since a service that is asked by more than it can answer in time fails them all: the next call
// comes by chance in a span that grows up to By. What it has counts as told 6 s after it could be
// reached: the answer has the time that is left of them.
func SharedServiceSchedule(callers int, every time.Duration) CallSchedule {
	p := CallSchedule{
		WatchWait: 2 * time.Second, WatchGrace: 750 * time.Millisecond, ReplyTimeout: 2250 * time.Millisecond, PollFirst: true,
		MaxBackoff: 4250 * time.Millisecond, MaxCallInterval: 4250 * time.Millisecond,
	}
	if every > 0 { // a failed call leaves four times as long, all in all
		p.MaxBackoff = max(minPause, min(p.MaxBackoff, 2*every))
	}
	p.MinBackoff = min(p.MaxBackoff, max(minPause, time.Duration(callers)*serviceCallTime))
	return p
}

// LocalAgentSchedule is the pace at an agent on this machine, which answers at once and at no cost
// and is silent while discovery is down. Its watch is short, so that a silent call is
// given up and the agent asked anew well within the 2 s in which a drain must bind, and
// a failed call is made anew after a pause that is never none and never long.
func LocalAgentSchedule() CallSchedule {
	return CallSchedule{
		WatchWait: time.Second, WatchGrace: 250 * time.Millisecond, ReplyTimeout: 250 * time.Millisecond,
		MinBackoff: 2 * minPause, MaxBackoff: 200 * time.Millisecond, MaxCallInterval: 1450 * time.Millisecond,
	}
}

// Timeouts is how long a call has discovery wait for news, and when it is given up, given
// whether the version is known that news are to follow, and whether the call goes on
// with a watch. Without a version the whole list is asked for, which is no watch.
func (p CallSchedule) Timeouts(began time.Time, known, goesOn bool) (wait time.Duration, until time.Time) {
	switch {
	case !known:
		return 0, began.Add(p.ReplyTimeout)
	case p.PollFirst && !goesOn:
		return pollWait, began.Add(p.ReplyTimeout)
	}
	return p.WatchWait, began.Add(p.WatchWait + p.WatchGrace)
}

// NextCall is when the call after a failed one begins, given how many have failed in a row
// (one or more) and a draw (0 to 1): by chance after a least pause, up to a span that
// doubles with each failure, and in any case By after the failed one began.
func (p CallSchedule) NextCall(began, failed time.Time, failures int, draw float64) time.Time {
	span := p.MaxBackoff
	if n := failures - 1; n < 16 { // more would be over any Most, and over the type's range
		span = min(span, p.MinBackoff<<max(0, n))
	}
	from, by := failed.Add(minPause), failed.Add(span)
	if at := began.Add(p.MaxCallInterval); at.Before(by) {
		by = at
	}
	return from.Add(time.Duration(draw * float64(max(0, by.Sub(from)))))
}
