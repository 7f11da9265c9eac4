package fakes

import (
	"slices"
	"sync"
	"time"
)

// RunLog counts how often each job was run, by whoever ran it: it is how a
// second charge would show.
type RunLog struct {
	mu   sync.Mutex
	runs map[string]int
	once map[string]bool // those that must not run twice
	keep bool
	log  []Arrival
}

// Arrival is a job's arrival at a member, as the member saw it. Times are the
// member's own; those of what has not happened are zero.
type Arrival struct {
	ArrivedAt, StartedAt, EndedAt time.Time
	ID, Class, Key, Tenant        string
	LogicalID                     string    // what the client calls it over all its tries, in the target's sid
	Dispatcher, Member            string    // who sent it, by the door it came through; who got it
	Rejected                      bool      // or handed back: it never ran
	SettledAt                     time.Time // just before its dispatcher could learn that it is over, or when it was told that nobody waits
}

// KeepArrivals makes the till keep each arrival.
func (t *RunLog) KeepArrivals() { t.keep = true }

// Arrivals are those so far, in their order, if they are kept.
func (t *RunLog) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.log)
}

// arrive logs an arrival, and returns its number.
func (t *RunLog) arrive(a Arrival) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.keep {
		t.log = append(t.log, a)
	}
	return len(t.log) - 1
}

// mark notes what became of an arrival.
func (t *RunLog) mark(n int, note func(*Arrival)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.keep {
		note(&t.log[n])
	}
}

// abandon notes that nobody waits for a job at a member any more.
func (t *RunLog) abandon(id, member string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.log) - 1; i >= 0; i-- {
		if a := &t.log[i]; a.ID == id && a.Member == member {
			if a.SettledAt.IsZero() {
				a.SettledAt = time.Now()
			}
			return
		}
	}
}

// NewRunLog returns an empty till.
func NewRunLog() *RunLog { return &RunLog{runs: make(map[string]int), once: make(map[string]bool)} }

// RecordRun counts a run and returns how many there were of that job before.
func (t *RunLog) RecordRun(job string, once bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[job]++
	if once {
		t.once[job] = true
	}
	return t.runs[job] - 1
}

// RunTwice names the jobs that were run more than once and must not be.
func (t *RunLog) RunTwice() (jobs []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for job := range t.once {
		if t.runs[job] > 1 {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// JobCount is how many jobs ran.
func (t *RunLog) JobCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runs)
}
