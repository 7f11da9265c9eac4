package accounting

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// LogicalRequests counts the logical requests of clients, each once however often it was tried. A logical
// request is open while one of its tries is. It ends as served if any try was served, otherwise with the
// outcome of its last try; a further try after an end that was not served reopens it.
//
//	Asked + sum of Reopened = sum of Ends + Open
type LogicalRequests struct {
	Asked    int64 // logical requests
	Retries  int64 // further tries of a tracked logical request
	Echoes   int64 // those retries that came after the logical request was served
	Strays   int64 // tries marked as retries that have no key; they count as no logical request
	Open     int64
	Reopened [Outcomes]int64 // by the outcome of the earlier end
	Ends     [Outcomes]int64
}

// Final returns how many logical requests have ended with an outcome and were not reopened.
func (r *LogicalRequests) Final(o Outcome) int64 { return r.Ends[o] - r.Reopened[o] }

// trackedRequest is the state that is kept of a logical request.
type trackedRequest struct {
	open    uint32  // tries that are open
	outcome Outcome // of its last try, or Served once a try was served
	served  bool    // a try was served
	settled bool    // it is counted in Ends
}

// ringEntry is the id of a tracked logical request and the time at which it entered the ring.
type ringEntry struct {
	id    uint64
	since time.Time
}

// requestTracker counts logical requests, which it identifies by a hash of class and key. Members also use
// class and key to detect repeats, and a retry that arrives at the other front has the same class and key.
// Among a million logical requests that are tracked together, the probability that two share a hash is 1 in
// 36 million.
type requestTracker struct {
	LogicalRequests
	tracked   map[uint64]trackedRequest
	ring      []ringEntry // circular buffer; the oldest entry is at index first
	first     int
	count     int // entries of the ring that are in use
	capacity  int // maximum of tracked logical requests, exceeded only by open ones
	retention time.Duration
}

// newRequestTracker returns a tracker of at most capacity logical requests, each tracked for the retention.
func newRequestTracker(capacity int, retention time.Duration) requestTracker {
	return requestTracker{tracked: make(map[uint64]trackedRequest), capacity: max(1, capacity), retention: retention}
}

// LogicalRequestID returns the hash that all tries of one logical request share, or 0 without a key.
func LogicalRequestID(class, key string) uint64 {
	if key == "" {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(class) // writing to the hash never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return max(1, d.Sum64())
}

// begin counts a try. It returns the id of its logical request, or 0 without a key, and whether the try is
// a retry without a key (see LogicalRequests.Strays).
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

// track adds a logical request to the ring, and evicts an older one that is expired or beyond the capacity.
// Open ones are never evicted: if all are open, the ring grows, up to the number of jobs that may be open.
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
			break // at most one is evicted for each that is added, so that no call takes long
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

// end counts the end of a try; id and stray are the results of begin for it.
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
