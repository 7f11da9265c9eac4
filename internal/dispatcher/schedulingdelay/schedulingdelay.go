// Package schedulingdelay detects that this dispatcher itself is overloaded: not by its open jobs,
// which say nothing of the machine, but by how long events wait until they are handled. It does no I/O
// and reads no clock.
//
// The rule is CoDel's (Nichols and Jacobson, Controlling Queue Delay, 2012): a burst makes some events
// wait and drains by itself; a dispatcher is overloaded once no event was handled in time for an
// interval.
package schedulingdelay

import "time"

// Bounds say when a dispatcher is overloaded.
type Bounds struct {
	Target   time.Duration // an event that waited no longer was handled in time; 0: never overloaded
	Interval time.Duration // overloaded once no event was handled in time for so long
}

// Detector watches one dispatcher. The zero Detector never reports an overload. It is not safe for
// concurrent use.
type Detector struct {
	bounds     Bounds
	lateSince  time.Time // no event was handled in time since then; zero: the last one was
	overloaded bool
	lastDelay  time.Duration
}

// New returns a detector with these bounds.
func New(b Bounds) Detector { return Detector{bounds: b} }

// Observe takes in that an event was handled at a time after a wait. Times must not run backward.
func (d *Detector) Observe(waited time.Duration, at time.Time) {
	d.lastDelay = waited
	switch {
	case d.bounds.Target <= 0:
	case waited <= d.bounds.Target:
		d.lateSince, d.overloaded = time.Time{}, false
	case d.lateSince.IsZero():
		d.lateSince = at
	case at.Sub(d.lateSince) >= d.bounds.Interval:
		d.overloaded = true
	}
}

// Overloaded reports whether new work should be rejected.
func (d *Detector) Overloaded() bool { return d.overloaded }

// RetryDelay is how long a client whose work is rejected should wait before a retry: as long as the last
// event waited, which is about the time that it takes to catch up, and at least a minimum.
func (d *Detector) RetryDelay(minimum time.Duration) time.Duration { return max(minimum, d.lastDelay) }
