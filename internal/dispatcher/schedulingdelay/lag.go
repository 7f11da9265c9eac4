// Package schedulingdelay tells whether this dispatcher itself is behind: not from the load
// that it holds, which says nothing of the machine, but from how long events wait
// until they are handled. It does no I/O and reads no clock.
//
// The rule is CoDel's (Nichols and Jacobson, Controlling Queue Delay, 2012): a
// burst makes some events wait and drains by itself; a dispatcher is behind once
// none was handled in time for a while.
package schedulingdelay

import "time"

// Bounds say when a dispatcher is behind.
type Bounds struct {
	Target   time.Duration // an event that waited no longer was handled in time
	Interval time.Duration // behind once none was for as long
}

// Detector judges one dispatcher. The zero Gauge is never behind.
type Detector struct {
	bounds     Bounds
	lateSince  time.Time // none was handled in time since then; zero: the last one was
	overloaded bool
	lastDelay  time.Duration
}

// New returns a gauge; with a Target of 0 it measures and is never behind.
func New(b Bounds) Detector { return Detector{bounds: b} }

// Observe takes in that an event was handled at a time after it had waited so long.
// Times must not run backward.
func (g *Detector) Observe(waited time.Duration, at time.Time) {
	g.lastDelay = waited
	switch {
	case g.bounds.Target <= 0:
	case waited <= g.bounds.Target:
		g.lateSince, g.overloaded = time.Time{}, false
	case g.lateSince.IsZero():
		g.lateSince = at
	case at.Sub(g.lateSince) >= g.bounds.Interval:
		g.overloaded = true
	}
}

// Overloaded tells whether work that comes now should be turned away.
func (g *Detector) Overloaded() bool { return g.overloaded }

// RetryDelay is how long what is turned away should stay away: as long as the
// last event waited, which is about what it takes to catch up, and at least least.
func (g *Detector) RetryDelay(least time.Duration) time.Duration { return max(least, g.lastDelay) }
