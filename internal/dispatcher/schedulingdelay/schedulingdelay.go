// Package schedulingdelay detects that this dispatcher itself is overloaded. It measures how long events
// wait until they are handled; the number of open jobs does not show the load of the machine. It does no
// I/O and reads no clock.
//
// The rule is that of CoDel (Nichols and Jacobson, Controlling Queue Delay, 2012): a burst makes some
// events wait, but its backlog drains by itself; a dispatcher is overloaded once no event was handled in
// time for a whole interval.
package schedulingdelay

import "time"

// Bounds are the limits beyond which a dispatcher is overloaded.
type Bounds struct {
	Target   time.Duration // an event that waited at most this long was handled in time; 0: never overloaded
	Interval time.Duration // overloaded once no event was handled in time for this long
}

// Detector detects the overload of one dispatcher. The zero Detector never reports an overload. It is not safe for
// concurrent use.
type Detector struct {
	bounds     Bounds
	lateSince  time.Time // no event was handled in time since then; zero: the last event was
	overloaded bool
	lastDelay  time.Duration
}

// New returns a detector with these bounds.
func New(b Bounds) Detector { return Detector{bounds: b} }

// Observe records that an event was handled at a time after a wait. Times must not decrease between calls.
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

// RetryDelay returns how long a client whose work is rejected should wait before a retry: as long as the
// last event waited, which is about the time that the dispatcher needs to clear its backlog, but at least
// the minimum.
func (d *Detector) RetryDelay(minimum time.Duration) time.Duration { return max(minimum, d.lastDelay) }
