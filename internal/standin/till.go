package standin

import "sync"

// Till counts how often each job was run, by whoever ran it: it is how a
// second charge would show.
type Till struct {
	mu   sync.Mutex
	runs map[string]int
	once map[string]bool // those that must not run twice
}

// NewTill returns an empty till.
func NewTill() *Till { return &Till{runs: make(map[string]int), once: make(map[string]bool)} }

// Run counts a run and returns how many there were of that job before.
func (t *Till) Run(job string, once bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[job]++
	if once {
		t.once[job] = true
	}
	return t.runs[job] - 1
}

// Twice names the jobs that were run more than once and must not be.
func (t *Till) Twice() (jobs []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for job := range t.once {
		if t.runs[job] > 1 {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// Jobs is how many jobs ran.
func (t *Till) Jobs() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runs)
}
