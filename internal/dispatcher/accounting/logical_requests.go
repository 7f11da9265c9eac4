package accounting

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// LogicalRequests counts what clients wanted, each once however often it was tried. A logical request
// is open while one of its tries is. It ends as served if any try was served, else as its last try; a
// try that comes after an end that did not serve reopens it.
//
//	Asked + sum of Reopened = sum of Ends + Open
type LogicalRequests struct {
	Asked    int64 // logical requests
	Retries  int64 // tries of one that was known
	Echoes   int64 // of the retries, those of one that had been served
	Strays   int64 // tries without a key that are marked as retries, which count as no logical request
	Open     int64
	Reopened [Outcomes]int64 // by how it had ended before
	Ends     [Outcomes]int64
}

// Final returns how many logical requests stand at an outcome.
func (r *LogicalRequests) Final(o Outcome) int64 { return r.Ends[o] - r.Reopened[o] }

// trackedRequest is what is kept of a logical request.
type trackedRequest struct {
	open    uint32  // tries that are open
	outcome Outcome // of its last try, or Served once one was
	served  bool
	settled bool // it is counted in Ends
}

// ringEntry is a tracked logical request and when it was put into the ring.
type ringEntry struct {
	id    uint64
	since time.Time
}

// requestTracker counts logical requests, which it knows by a hash of class and key: the members that
// drop a repeat go by these two also, and a retry by the other front has the same. Of a million that
// are tracked together two share a hash with a chance of 1 in 36 million.
type requestTracker struct {
	LogicalRequests
	tracked   map[uint64]trackedRequest
	ring      []ringEntry // circular, the oldest at first
	first     int
	count     int // entries of the ring that are in use
	capacity  int // logical requests that are tracked, more only while they are open
	retention time.Duration
}

// newRequestTracker returns a tracker of at most capacity logical requests, each for the retention.
func newRequestTracker(capacity int, retention time.Duration) requestTracker {
	return requestTracker{tracked: make(map[uint64]trackedRequest), capacity: max(1, capacity), retention: retention}
}

// LogicalRequestID returns the hash that the tries of one logical request share; 0: it has no key.
func LogicalRequestID(class, key string) uint64 {
	if key == "" {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(class) // a hash never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return max(1, d.Sum64())
}

// begin counts a try. It returns the id of its logical request, 0 without a key, and whether the try is
// a stray.
func (t *requestTracker) begin(j Job, now time.Time) (id uint64, stray bool) {
	id = LogicalRequestID(j.Class, j.Key)
	if id == 0 {
		if j.Retry {
			t.Strays++
			return 0, true
		}
		t.Asked++
		t.Open++
		return 0, false
	}
	request, known := t.tracked[id]
	switch {
	case !known:
		t.track(id, now)
		t.Asked++
		t.Open++
	case request.open > 0:
		t.Retries++
	case request.served:
		t.Retries++
		t.Echoes++
	default:
		t.Retries++
		request.settled = false
		t.Reopened[request.outcome]++
		t.Open++
	}
	request.open++
	t.tracked[id] = request
	return id, false
}

// track makes room for a logical request. Open ones are never forgotten: where all are open, the ring
// grows, by no more than jobs may be open.
func (t *requestTracker) track(id uint64, now time.Time) {
	for tries := t.count; tries > 0; tries-- {
		head := t.ring[t.first]
		if t.count < t.capacity && now.Sub(head.since) <= t.retention {
			break
		}
		t.first = (t.first + 1) % len(t.ring)
		t.count--
		if t.tracked[head.id].open == 0 {
			delete(t.tracked, head.id)
			break // one is forgotten for each that comes, so that no call takes long
		}
		t.push(ringEntry{head.id, now})
	}
	t.push(ringEntry{id, now})
}

// push appends an entry to the ring, which grows as needed.
func (t *requestTracker) push(r ringEntry) {
	if t.count == len(t.ring) {
		larger := make([]ringEntry, max(64, 2*len(t.ring)))
		for i := range t.count {
			larger[i] = t.ring[(t.first+i)%len(t.ring)]
		}
		t.ring, t.first = larger, 0
	}
	t.ring[(t.first+t.count)%len(t.ring)] = r
	t.count++
}

// end counts the end of a try, with what begin returned for it.
func (t *requestTracker) end(id uint64, stray bool, o Outcome) {
	switch {
	case stray:
		return
	case id == 0:
		t.Open--
		t.Ends[o]++
		return
	}
	request := t.tracked[id]
	request.open--
	if request.served = request.served || o == Served; request.served {
		o = Served
	}
	request.outcome = o
	if request.open == 0 && !request.settled {
		request.settled = true
		t.Open--
		t.Ends[request.outcome]++
	}
	t.tracked[id] = request
}
