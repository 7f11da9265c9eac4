package fakes

import (
	"slices"
	"sync"
	"time"
)

// RunLog counts how often each job ran, at whichever member or worker: it shows a job that
// was charged twice. It may be used concurrently.
type RunLog struct {
	mu           sync.Mutex
	runs         map[string]int  // by the job's id
	atMostOnce   map[string]bool // jobs that must not run twice
	keepArrivals bool
	arrivals     []Arrival
}

// Arrival is the arrival of a job at a member, as the member saw it. A time is zero until
// it has come.
type Arrival struct {
	ArrivedAt, StartedAt, EndedAt time.Time
	ID, Class, Key, Tenant        string
	LogicalID                     string    // the client's id over all its attempts, the target's sid
	Dispatcher, Member            string    // which sent it, by the address it came to; and which got it
	Rejected                      bool      // also handed back: it never ran
	SettledAt                     time.Time // just before its dispatcher could learn of the end, or when it was cancelled
}

// KeepArrivals lets the log keep each arrival. It must be called before the first one.
func (l *RunLog) KeepArrivals() { l.keepArrivals = true }

// Arrivals are the arrivals so far, in their order, if they are kept.
func (l *RunLog) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.arrivals)
}

// addArrival adds an arrival and returns its number, for updateArrival.
func (l *RunLog) addArrival(a Arrival) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keepArrivals {
		l.arrivals = append(l.arrivals, a)
	}
	return len(l.arrivals) - 1
}

// updateArrival changes an arrival, if they are kept.
func (l *RunLog) updateArrival(n int, update func(*Arrival)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keepArrivals {
		update(&l.arrivals[n])
	}
}

// abandon records that nobody waits any more for a job at a member.
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

// RecordRun counts a run of a job and returns how many there were before. atMostOnce says
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

// RunTwice names the jobs that ran more than once and must not.
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

// JobCount is how many jobs ran, each counted once.
func (l *RunLog) JobCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs)
}
