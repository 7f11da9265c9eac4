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

type ask struct {
	open    uint32
	out     Outcome // of its last try, or Served once one was
	served  bool
	settled bool // it has been counted as ended, and counts no more
}

type remembered struct {
	id    uint64
	since time.Time
}

// asks remembers asks by a hash of class and key: the members that drop a
// repeat go by these two also, and a retry by the other front has the same.
// Of a million asks that are remembered together two share a hash with a
// chance of 1 in 36 million.
type asks struct {
	LogicalRequests
	known  map[uint64]ask
	oldest []remembered // a ring
	first  int
	count  int
	most   int
	keep   time.Duration
}

func newAsks(most int, keep time.Duration) asks {
	return asks{known: make(map[uint64]ask), most: max(1, most), keep: keep}
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

func (a *asks) enter(j Job, now time.Time) (id uint64, stray bool) {
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
	at, known := a.known[id]
	switch {
	case !known:
		a.remember(id, now)
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
			a.Reopened[at.out]++
			a.Open++
		}
	}
	at.open++
	a.known[id] = at
	return id, false
}

// remember makes a place for an ask. Asks that are open are never forgotten;
// where all are, the memory grows, by no more than jobs may be open.
func (a *asks) remember(id uint64, now time.Time) {
	for tries := a.count; tries > 0; tries-- {
		head := a.oldest[a.first]
		if a.count < a.most && now.Sub(head.since) <= a.keep {
			break
		}
		a.first = (a.first + 1) % len(a.oldest)
		a.count--
		if a.known[head.id].open == 0 {
			delete(a.known, head.id)
			break // one goes for each that comes: no long pause here
		}
		a.append(remembered{head.id, now})
	}
	a.append(remembered{id, now})
}

func (a *asks) append(r remembered) {
	if a.count == len(a.oldest) {
		larger := make([]remembered, max(64, 2*len(a.oldest)))
		for i := range a.count {
			larger[i] = a.oldest[(a.first+i)%len(a.oldest)]
		}
		a.oldest, a.first = larger, 0
	}
	a.oldest[(a.first+a.count)%len(a.oldest)] = r
	a.count++
}

func (a *asks) end(id uint64, stray bool, o Outcome) {
	switch {
	case stray:
		return
	case id == 0:
		a.Open--
		a.Ends[o]++
		return
	}
	at := a.known[id]
	at.open--
	if at.served = at.served || o == Served; at.served {
		o = Served
	}
	at.out = o
	if at.open == 0 && !at.settled {
		at.settled = true
		a.Open--
		a.Ends[at.out]++
	}
	a.known[id] = at
}
