package accounting

import "time"

// WindowCounts counts one stretch of time.
type WindowCounts struct {
	Accepted uint32           `json:"taken"`
	Ends     [Outcomes]uint32 `json:"ends"` // served, refused, failed
}

func (s *WindowCounts) add(o WindowCounts) {
	s.Accepted += o.Accepted
	for i := range s.Ends {
		s.Ends[i] += o.Ends[i]
	}
}

const (
	minutes = 60
	hours   = 24
	days    = 8
)

// Windows are a line's counts by the minute, the hour and the day (UTC), the
// latest of each. Time that runs backward counts into the latest stretch.
type Windows struct {
	minutes [minutes]WindowCounts
	hours   [hours]WindowCounts
	days    [days]WindowCounts
	latest  [3]int64 // the latest minute, hour and day since 1970
}

var units = [3]int64{60, 3600, 86400}

func (w *Windows) ring(i int) []WindowCounts {
	switch i {
	case 0:
		return w.minutes[:]
	case 1:
		return w.hours[:]
	}
	return w.days[:]
}

// roll clears what a ring holds of a time that is over.
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

func (w *Windows) addAccepted(now time.Time) {
	w.roll(now)
	for i := range units {
		ring := w.ring(i)
		ring[w.latest[i]%int64(len(ring))].Accepted++
	}
}

func (w *Windows) addEnded(now time.Time, o Outcome) {
	w.roll(now)
	for i := range units {
		ring := w.ring(i)
		ring[w.latest[i]%int64(len(ring))].Ends[o]++
	}
}

// Window names a length of time.
type Window uint8

// Windows of an account: the minute, hour and day that run, each with those
// before it that are kept.
const (
	Minute Window = iota
	Hour
	Day
)

// Latest is the stretch that runs at a time.
func (w *Windows) Latest(of Window, now time.Time) WindowCounts {
	w.roll(now)
	ring := w.ring(int(of))
	return ring[w.latest[of]%int64(len(ring))]
}

// Kept sums all stretches that are kept: 60 minutes, 24 hours or 8 days.
func (w *Windows) Kept(of Window, now time.Time) (sum WindowCounts) {
	w.roll(now)
	for _, s := range w.ring(int(of)) {
		sum.add(s)
	}
	return sum
}
