package fakes

import (
	"slices"
	"sync"
	"time"
)

// RunLog counts how often each job ran, over all members and workers: it detects a job that
// ran, and so was charged, twice. It may be used concurrently.
type RunLog struct {
	mu           sync.Mutex
	runs         map[string]int  // by the job's id
	atMostOnce   map[string]bool // jobs that must not run twice
	keepArrivals bool
	arrivals     []Arrival
}

// Arrival is the arrival of a job at a member, as observed by the member. The time of an event is
// zero until the event has occurred.
type Arrival struct {
	ArrivedAt, StartedAt, EndedAt time.Time
	ID, Class, Key, Tenant        string
	LogicalID                     string    // the client's id for all attempts of a request: sid in the URL
	Dispatcher, Member            string    // the sender, by the address that it used; and the receiver
	Rejected                      bool      // it was rejected or returned, and never ran
	SettledAt                     time.Time // just before its dispatcher could be informed of the end, or when it was cancelled
}

// KeepArrivals makes the log keep each arrival. It must be called before the first arrival.
func (l *RunLog) KeepArrivals() { l.keepArrivals = true }

// Arrivals returns the arrivals so far, in their order, or none if they are not kept.
func (l *RunLog) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.arrivals)
}

// addArrival adds an arrival, if they are kept, and returns its index for updateArrival.
func (l *RunLog) addArrival(a Arrival) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keepArrivals {
		l.arrivals = append(l.arrivals, a)
	}
	return len(l.arrivals) - 1
}

// updateArrival changes the arrival with an index, if arrivals are kept.
func (l *RunLog) updateArrival(n int, update func(*Arrival)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keepArrivals {
		update(&l.arrivals[n])
	}
}

// abandon records that a job at a member was cancelled: it sets the SettledAt of the last arrival of the
// job there, unless it is set already.
func (l *RunLog) abandon(id, member string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.arrivals) - 1; i >= 0; i-- {
		if a := &l.arrivals[i]; a.ID == id && a.Member == member {
			if a.SettledAt.IsZero() {
				a.SettledAt = time.Now()
			}
			return
		}
	}
}

// NewRunLog returns an empty log.
func NewRunLog() *RunLog {
	return &RunLog{runs: make(map[string]int), atMostOnce: make(map[string]bool)}
}

// RecordRun counts a run of a job and returns how many runs there were before. atMostOnce means
// that the job must not run twice.
func (l *RunLog) RecordRun(job string, atMostOnce bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[job]++
	if atMostOnce {
		l.atMostOnce[job] = true
	}
	return l.runs[job] - 1
}

// RunTwice returns the ids of the jobs that ran more than once but must not.
func (l *RunLog) RunTwice() (jobs []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for job := range l.atMostOnce {
		if l.runs[job] > 1 {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// JobCount returns how many different jobs ran.
func (l *RunLog) JobCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs)
}
