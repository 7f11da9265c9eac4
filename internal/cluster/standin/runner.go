package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Reasons with which a runner ends a run.
const (
	endDone    = "done"
	endStopped = "stopped"
	endLapsed  = "lapsed"  // the lease of the runner's tasks expired
	endCrashed = "crashed" // the runner is gone; told to the observer alone
)

// Reasons with which a runner refuses a start or, for the first, any order.
const (
	refusedFence = "fence" // the order carries a lower fencing token than one before it
	refusedOld   = "old"   // the attempt is not above one that was stopped or ended here
	refusedLate  = "late"  // the order's deadline is past on the runner's clock
)

// clockOffsetMs keeps a runner's clock away from 0, which means "not told" in an order.
const clockOffsetMs = 1000

// Runner is a stand-in of a runner, which carries out the orders of a scheduler as the deployment's
// protocol demands: it refuses orders of a lower fencing token, orders to start that arrive after
// their deadline, and attempts that were over already. Its methods may be called concurrently.
type Runner struct {
	// ID is the instance's ID in the platform's list.
	ID string
	// Server takes the orders. The caller closes it.
	Server *Server
	// TaskDuration is how long a task runs until it ends as done. It is set before the first start.
	TaskDuration time.Duration
	// MaxLease is the longest lease of its tasks: they end when it has expired. 0: they never do so. It is
	// set before the first start.
	MaxLease time.Duration
	// Observer is told of each run. nil: nobody is. It is set before the first start.
	Observer Observer

	started time.Time // the zero of the runner's clock, less clockOffsetMs

	mu           sync.Mutex
	changed      chan struct{} // closed and replaced at the end of each run
	fenceToken   uint64        // the highest seen
	running      map[string]int
	overThrough  map[string]int // by task: the highest attempt that was stopped or has ended here
	endedRuns    uint64
	finished     []finishedRun // that the scheduler has not acknowledged
	startsByTask map[string]int
	leaseUntilMs int64 // on the runner's clock
	lease        *time.Timer
	crashed      bool
}

// Observer is told what becomes of the tasks of a runner, in order, while the runner is locked: it must not
// call the runner.
type Observer interface {
	RunStarted(runner, task string, attempt int)
	// RunEnded gives the reason as the runner reports it, or "crashed".
	RunEnded(runner, task string, attempt int, reason string)
	// EndAcknowledged tells that the scheduler has taken note of the end of a run.
	EndAcknowledged(runner, task string, attempt int, reason string)
}

// silent is the observer of a runner that has none.
type silent struct{}

func (silent) RunStarted(string, string, int)              {}
func (silent) RunEnded(string, string, int, string)        {}
func (silent) EndAcknowledged(string, string, int, string) {}

// observer returns whom to tell of runs.
func (r *Runner) observer() Observer {
	if r.Observer == nil {
		return silent{}
	}
	return r.Observer
}

// runningRun is a run in a runner's report. On the wire it is [task, attempt, checkpoint, percent].
type runningRun struct {
	task    string
	attempt int
	percent int
}

// MarshalJSON implements json.Marshaler.
func (r runningRun) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.task, r.attempt, "", r.percent})
}

// finishedRun is an ended run in a runner's report. On the wire it is
// [number, task, attempt, reason, checkpoint].
type finishedRun struct {
	number  uint64 // rises by one with each end at this runner, from 1
	task    string
	attempt int
	reason  string
}

// MarshalJSON implements json.Marshaler.
func (f finishedRun) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{f.number, f.task, f.attempt, f.reason, ""})
}

// order has the fields of all orders; each order uses some of them.
type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	FenceToken uint64 `json:"fence_token"`
	DeadlineMs int64  `json:"deadline_ms"` // on the runner's clock
	LastSeen   uint64 `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

// orderReply answers an order to start or stop. Reason is empty where the order was carried out.
type orderReply struct {
	ClockMs int64  `json:"clock_ms"`
	Reason  string `json:"reason,omitempty"`
}

// report answers a renewal of the leases.
type report struct {
	ClockMs  int64         `json:"clock_ms"`
	Running  []runningRun  `json:"running"`
	Finished []finishedRun `json:"finished"`
}

// NewRunner returns a started runner whose tasks run for taskDuration, or an error of NewServer.
func NewRunner(id string, taskDuration time.Duration) (*Runner, error) {
	r := &Runner{
		ID: id, TaskDuration: taskDuration, started: time.Now(), changed: make(chan struct{}),
		running: map[string]int{}, overThrough: map[string]int{}, startsByTask: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", r.handleStart)
	mux.HandleFunc("POST /-/run-stop", r.handleStop)
	mux.HandleFunc("POST /-/hold", r.handleRenewLease)
	server, err := NewServer(mux)
	r.Server = server
	return r, err
}

// StartCounts returns how many runs of each task have begun, over all attempts.
func (r *Runner) StartCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.startsByTask)
}

// EndAll ends all runs as done.
func (r *Runner) EndAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, attempt := range r.running {
		r.endRun(task, attempt, endDone)
	}
}

// Crash ends the runner and all that runs on it; nothing is reported. Its server is closed.
func (r *Runner) Crash() {
	r.mu.Lock()
	r.crashed = true
	for task, attempt := range r.running {
		r.observer().RunEnded(r.ID, task, attempt, endCrashed)
	}
	clear(r.running)
	r.mu.Unlock()
	r.Server.Close()
}

// clockMs returns the time of the runner's clock.
func (r *Runner) clockMs() int64 { return time.Since(r.started).Milliseconds() + clockOffsetMs }

// accept decodes an order and raises the fencing token. Where it returns false, the order has
// been answered: it was meant for another incarnation, or a later leader has sent orders.
// The caller holds the mutex.
func (r *Runner) accept(w http.ResponseWriter, request *http.Request) (order, bool) {
	var received order
	if json.NewDecoder(request.Body).Decode(&received) != nil {
		http.Error(w, "the order is not JSON", http.StatusBadRequest)
		return order{}, false
	}
	if r.crashed || request.Header.Get("Expect-Instance") != r.ID {
		http.Error(w, "{}", http.StatusMisdirectedRequest)
		return order{}, false
	}
	if received.FenceToken < r.fenceToken {
		r.refuse(w, refusedFence)
		return order{}, false
	}
	r.fenceToken = received.FenceToken
	r.extendLease(received.DeadlineMs)
	return received, true
}

// extendLease lets the runner's tasks run until a time of its clock; it never shortens their lease. The
// caller holds the mutex.
func (r *Runner) extendLease(untilMs int64) {
	if r.MaxLease == 0 || untilMs == 0 {
		return
	}
	r.leaseUntilMs = max(r.leaseUntilMs, min(untilMs, r.clockMs()+r.MaxLease.Milliseconds()))
	left := time.Duration(r.leaseUntilMs-r.clockMs()) * time.Millisecond
	if r.lease == nil {
		r.lease = time.AfterFunc(left, r.endLapsedRuns)
		return
	}
	r.lease.Reset(left)
}

// endLapsedRuns ends all runs where their lease has expired.
func (r *Runner) endLapsedRuns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clockMs() < r.leaseUntilMs {
		return // it was extended at this moment
	}
	for task, attempt := range r.running {
		r.endRun(task, attempt, endLapsed)
	}
}

func (r *Runner) refuse(w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	writeJSON(w, orderReply{ClockMs: r.clockMs(), Reason: reason})
}

func (r *Runner) handleStart(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	start, ok := r.accept(w, request)
	if !ok {
		return
	}
	if r.running[start.Task] != start.Attempt {
		if reason := r.startRefusal(start); reason != "" {
			r.refuse(w, reason)
			return
		}
		r.beginRun(start.Task, start.Attempt)
	}
	writeJSON(w, orderReply{ClockMs: r.clockMs()})
}

// startRefusal returns why a run that is not there may not begin; empty: it may.
func (r *Runner) startRefusal(start order) string {
	switch {
	case start.Attempt <= r.overThrough[start.Task]:
		return refusedOld
	case r.clockMs() > start.DeadlineMs:
		return refusedLate
	}
	return ""
}

func (r *Runner) beginRun(task string, attempt int) {
	r.running[task] = attempt
	r.startsByTask[task]++
	r.observer().RunStarted(r.ID, task, attempt)
	time.AfterFunc(r.TaskDuration, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.endRun(task, attempt, endDone)
	})
}

// endRun ends a run, if it is there, and wakes the renewals that wait for an end. No run of the
// task begins here again but one of a higher attempt. The caller holds the mutex.
func (r *Runner) endRun(task string, attempt int, reason string) {
	r.overThrough[task] = max(r.overThrough[task], attempt)
	if r.running[task] != attempt {
		return
	}
	delete(r.running, task)
	r.observer().RunEnded(r.ID, task, attempt, reason)
	r.endedRuns++
	r.finished = append(r.finished, finishedRun{number: r.endedRuns, task: task, attempt: attempt, reason: reason})
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Runner) handleStop(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stop, ok := r.accept(w, request)
	if !ok {
		return
	}
	r.endRun(stop.Task, stop.Attempt, endStopped)
	writeJSON(w, orderReply{ClockMs: r.clockMs()})
}

// handleRenewLease answers with a report, after the wait that was asked for or at the next end.
func (r *Runner) handleRenewLease(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	renewal, ok := r.accept(w, request)
	if !ok {
		r.mu.Unlock()
		return
	}
	for len(r.finished) > 0 && r.finished[0].number <= renewal.LastSeen {
		end := r.finished[0]
		r.observer().EndAcknowledged(r.ID, end.task, end.attempt, end.reason)
		r.finished = r.finished[1:]
	}
	changed, wait := r.changed, len(r.finished) == 0
	r.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-request.Context().Done():
		case <-time.After(time.Duration(renewal.WaitMs) * time.Millisecond):
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	writeJSON(w, r.report())
}

// report lists what runs and what has ended. The caller holds the mutex.
func (r *Runner) report() report {
	const percentShown = 50 // of a run's work; the stand-in measures no progress
	reported := report{ClockMs: r.clockMs(), Running: []runningRun{}, Finished: append([]finishedRun{}, r.finished...)}
	for task, attempt := range r.running {
		reported.Running = append(reported.Running, runningRun{task: task, attempt: attempt, percent: percentShown})
	}
	return reported
}
