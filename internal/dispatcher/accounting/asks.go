package accounting

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// LogicalRequests counts what clients wanted, each once however often it was tried. An
// ask is open while one of its tries is. It ends as served if any try was,
// else as its last try; a try that comes after an end that did not serve opens
// it again. Asked + sum of Reopened = sum of Ends + Open.
type LogicalRequests struct {
	Asked    int64
	Retries  int64 // tries of an ask that was known
	Echoes   int64 // of them those of an ask that had been served
	Strays   int64 // tries that say they repeat an ask which is not known here: no ask of their own
	Open     int64
	Reopened [Outcomes]int64 // by how it had ended before
	Ends     [Outcomes]int64
}

// Final is how many asks stand at an outcome.
func (a *LogicalRequests) Final(o Outcome) int64 { return a.Ends[o] - a.Reopened[o] }

type trackedRequest struct {
	open    uint32
	outcome Outcome // of its last try, or Served once one was
	served  bool
	settled bool // it has been counted as ended, and counts no more
}

type ringEntry struct {
	id    uint64
	since time.Time
}

// requestTracker remembers asks by a hash of class and key: the members that drop a
// repeat go by these two also, and a retry by the other front has the same.
// Of a million asks that are remembered together two share a hash with a
// chance of 1 in 36 million.
type requestTracker struct {
	LogicalRequests
	tracked   map[uint64]trackedRequest
	ring      []ringEntry // a ring
	first     int
	count     int
	capacity  int
	retention time.Duration
}

func newRequestTracker(most int, keep time.Duration) requestTracker {
	return requestTracker{tracked: make(map[uint64]trackedRequest), capacity: max(1, most), retention: keep}
}

// LogicalRequestID is the hash that ties the tries of one ask; 0: it has no key.
func LogicalRequestID(class, key string) uint64 {
	if key == "" {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	d.WriteString(class)
	d.WriteString("\x00")
	d.WriteString(key)
	return max(1, d.Sum64())
}

func (a *requestTracker) begin(j Job, now time.Time) (id uint64, stray bool) {
	id = LogicalRequestID(j.Class, j.Key)
	if id == 0 {
		if j.Retry {
			a.Strays++
			return 0, true
		}
		a.Asked++
		a.Open++
		return 0, false
	}
	at, known := a.tracked[id]
	switch {
	case !known:
		a.track(id, now)
		a.Asked++
		a.Open++
	default:
		a.Retries++
		switch {
		case at.open > 0:
		case at.served:
			a.Echoes++
		default:
			at.settled = false
			a.Reopened[at.outcome]++
			a.Open++
		}
	}
	at.open++
	a.tracked[id] = at
	return id, false
}

// track makes a place for an ask. Asks that are open are never forgotten;
// where all are, the memory grows, by no more than jobs may be open.
func (a *requestTracker) track(id uint64, now time.Time) {
	for tries := a.count; tries > 0; tries-- {
		head := a.ring[a.first]
		if a.count < a.capacity && now.Sub(head.since) <= a.retention {
			break
		}
		a.first = (a.first + 1) % len(a.ring)
		a.count--
		if a.tracked[head.id].open == 0 {
			delete(a.tracked, head.id)
			break // one goes for each that comes: no long pause here
		}
		a.push(ringEntry{head.id, now})
	}
	a.push(ringEntry{id, now})
}

func (a *requestTracker) push(r ringEntry) {
	if a.count == len(a.ring) {
		larger := make([]ringEntry, max(64, 2*len(a.ring)))
		for i := range a.count {
			larger[i] = a.ring[(a.first+i)%len(a.ring)]
		}
		a.ring, a.first = larger, 0
	}
	a.ring[(a.first+a.count)%len(a.ring)] = r
	a.count++
}

func (a *requestTracker) end(id uint64, stray bool, o Outcome) {
	switch {
	case stray:
		return
	case id == 0:
		a.Open--
		a.Ends[o]++
		return
	}
	at := a.tracked[id]
	at.open--
	if at.served = at.served || o == Served; at.served {
		o = Served
	}
	at.outcome = o
	if at.open == 0 && !at.settled {
		at.settled = true
		a.Open--
		a.Ends[at.outcome]++
	}
	a.tracked[id] = at
}
