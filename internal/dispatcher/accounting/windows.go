package accounting

import "time"

// WindowCounts counts the jobs of one window of time.
type WindowCounts struct {
	Accepted uint32           `json:"taken"`
	Ends     [Outcomes]uint32 `json:"ends"` // served, refused, failed
}

// add adds the counts of another window.
func (c *WindowCounts) add(o WindowCounts) {
	c.Accepted += o.Accepted
	for i := range c.Ends {
		c.Ends[i] += o.Ends[i]
	}
}

// Number of windows of each length that are kept.
const (
	minutes = 60
	hours   = 24
	days    = 8
)

// Windows holds the counts of a series for the latest minutes, hours and days (UTC). If the clock goes
// backward, jobs are counted in the latest window.
type Windows struct {
	minutes [minutes]WindowCounts
	hours   [hours]WindowCounts
	days    [days]WindowCounts
	latest  [3]int64 // the latest minute, hour and day since 1970
}

// units are the lengths of the windows in seconds.
var units = [3]int64{60, 3600, 86400}

// ring returns the windows of one length, by their number modulo its size.
func (w *Windows) ring(i int) []WindowCounts {
	switch i {
	case 0:
		return w.minutes[:]
	case 1:
		return w.hours[:]
	}
	return w.days[:]
}

// roll moves on to the current windows, and clears those that have begun since the last call.
func (w *Windows) roll(now time.Time) {
	s := now.Unix()
	if s < (w.latest[0]+1)*units[0] { // the usual case: still the same minute
		return
	}
	for i, unit := range units {
		ring, to := w.ring(i), s/unit
		for n := max(w.latest[i]+1, to-int64(len(ring))+1); n <= to; n++ {
			ring[n%int64(len(ring))] = WindowCounts{}
		}
		w.latest[i] = to
	}
}

// addAccepted counts an accepted job.
func (w *Windows) addAccepted(now time.Time) {
	w.roll(now)
	for i := range units {
		ring := w.ring(i)
		ring[w.latest[i]%int64(len(ring))].Accepted++
	}
}

// addEnded counts an ended job.
func (w *Windows) addEnded(now time.Time, o Outcome) {
	w.roll(now)
	for i := range units {
		ring := w.ring(i)
		ring[w.latest[i]%int64(len(ring))].Ends[o]++
	}
}

// Window is the length of a window.
type Window uint8

// The lengths: minutes, hours and days.
const (
	Minute Window = iota
	Hour
	Day
)

// Latest returns the counts of the current window.
func (w *Windows) Latest(of Window, now time.Time) WindowCounts {
	w.roll(now)
	ring := w.ring(int(of))
	return ring[w.latest[of]%int64(len(ring))]
}

// Sum returns the sum of all windows of a length: 60 minutes, 24 hours or 8 days.
func (w *Windows) Sum(of Window, now time.Time) (sum WindowCounts) {
	w.roll(now)
	for _, s := range w.ring(int(of)) {
		sum.add(s)
	}
	return sum
}
