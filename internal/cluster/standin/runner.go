package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Reasons for the end of a run.
const (
	endDone    = "done"
	endStopped = "stopped"
	endLapsed  = "lapsed"  // the lease of the runner's tasks expired
	endCrashed = "crashed" // the runner has crashed; only the observer gets this reason
)

// Reasons for which a runner refuses an order. Those after refusedFence apply to starts only.
const (
	refusedFence = "fence" // the order has a lower fencing token than an earlier one
	refusedOld   = "old"   // the attempt is not higher than one that was stopped or has ended here
	refusedLate  = "late"  // the order's deadline has passed on the runner's clock
)

// clockOffsetMs is the reading of a runner's clock at its start. It isn't 0, which means "not set" in an order.
const clockOffsetMs = 1000

// Runner is a stand-in for a runner, which executes a scheduler's orders as the deployment's protocol
// requires: it refuses orders with a lower fencing token than an earlier one, starts that arrive after their
// deadline, and starts of attempts that are over already. Its methods may be called concurrently.
type Runner struct {
	// ID is the instance's ID in the platform's list.
	ID string
	// Server receives the orders. The caller closes it.
	Server *Server
	// TaskDuration is how long a task runs until it ends as done. It is set before the first start.
	TaskDuration time.Duration
	// MaxLease is the longest lease of its tasks, which end when the lease expires. 0: the lease never
	// expires. It is set before the first start.
	MaxLease time.Duration
	// Observer is notified of each run; nil: there is no observer. It is set before the first start.
	Observer Observer

	started time.Time // when the runner's clock read clockOffsetMs

	mu           sync.Mutex
	changed      chan struct{} // closed and replaced at the end of each run
	fenceToken   uint64        // the highest received
	running      map[string]int
	highestOver  map[string]int // by task: the highest attempt that was stopped or has ended here
	endedRuns    uint64
	finished     []finishedRun // whose ends the scheduler has not acknowledged
	startsByTask map[string]int
	leaseUntilMs int64 // on the runner's clock
	lease        *time.Timer
	crashed      bool
}

// Observer is notified of the events of a runner's tasks, in their order, while the runner's mutex is held:
// it must not call the runner.
type Observer interface {
	// RunStarted is called when a run has started.
	RunStarted(runner, task string, attempt int)
	// RunEnded is called when a run has ended, with the reason that the runner reports, or "crashed".
	RunEnded(runner, task string, attempt int, reason string)
	// EndAcknowledged is called when the scheduler has acknowledged the end of a run.
	EndAcknowledged(runner, task string, attempt int, reason string)
}

// noObserver ignores all events. It is the observer of a runner whose Observer is nil.
type noObserver struct{}

func (noObserver) RunStarted(string, string, int)              {}
func (noObserver) RunEnded(string, string, int, string)        {}
func (noObserver) EndAcknowledged(string, string, int, string) {}

// observer returns the observer to notify.
func (r *Runner) observer() Observer {
	if r.Observer == nil {
		return noObserver{}
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
	number  uint64 // sequence number of the ends at this runner, from 1
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

// orderReply is the response to a start or stop order. Reason is empty if the order was executed.
type orderReply struct {
	ClockMs int64  `json:"clock_ms"`
	Reason  string `json:"reason,omitempty"`
}

// report is the response to a renewal of the leases.
type report struct {
	ClockMs  int64         `json:"clock_ms"`
	Running  []runningRun  `json:"running"`
	Finished []finishedRun `json:"finished"`
}

// NewRunner returns a started runner whose tasks run for taskDuration, or an error of NewServer.
func NewRunner(id string, taskDuration time.Duration) (*Runner, error) {
	return NewRunnerAt(anyLoopbackPort, id, taskDuration)
}

// NewRunnerAt is NewRunner for an address. A runner with another ID may follow a crashed one at its address.
func NewRunnerAt(address, id string, taskDuration time.Duration) (*Runner, error) {
	r := &Runner{
		ID: id, TaskDuration: taskDuration, started: time.Now(), changed: make(chan struct{}),
		running: map[string]int{}, highestOver: map[string]int{}, startsByTask: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", r.handleStart)
	mux.HandleFunc("POST /-/run-stop", r.handleStop)
	mux.HandleFunc("POST /-/hold", r.handleRenewLease)
	server, err := NewServerAt(address, mux)
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

// Crash ends all runs without a report to the scheduler and closes the runner's server.
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

// accept decodes an order, raises the fencing token and extends the lease. If it returns false, it has sent
// the response: the order is malformed, is for another incarnation, or has the fencing token of an earlier
// leader. The caller holds the mutex.
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

// extendLease extends the lease of the runner's tasks to a time on its clock, within MaxLease; it never
// shortens the lease. The caller holds the mutex.
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

// endLapsedRuns ends all runs if their lease has expired.
func (r *Runner) endLapsedRuns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clockMs() < r.leaseUntilMs {
		return // the lease was extended just before
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
		r.startRun(start.Task, start.Attempt)
	}
	writeJSON(w, orderReply{ClockMs: r.clockMs()})
}

// startRefusal returns the reason to refuse the start of a run that isn't running; empty: it may start.
func (r *Runner) startRefusal(start order) string {
	switch {
	case start.Attempt <= r.highestOver[start.Task]:
		return refusedOld
	case r.clockMs() > start.DeadlineMs:
		return refusedLate
	}
	return ""
}

// startRun starts a run, which ends after TaskDuration. The caller holds the mutex.
func (r *Runner) startRun(task string, attempt int) {
	r.running[task] = attempt
	r.startsByTask[task]++
	r.observer().RunStarted(r.ID, task, attempt)
	time.AfterFunc(r.TaskDuration, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.endRun(task, attempt, endDone)
	})
}

// endRun ends a run, if it is running, and wakes the renewals that wait for the end of a run. Afterwards only
// a higher attempt of the task can start here. The caller holds the mutex.
func (r *Runner) endRun(task string, attempt int, reason string) {
	r.highestOver[task] = max(r.highestOver[task], attempt)
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

// handleRenewLease responds with a report: at once if it has ends that are not acknowledged, else at the next
// end of a run or after the requested wait.
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

// report returns the running runs, and the ended ones that are not acknowledged. The caller holds the mutex.
func (r *Runner) report() report {
	const reportedPercent = 50 // of a run's work; the stand-in doesn't measure progress
	reported := report{ClockMs: r.clockMs(), Running: []runningRun{}, Finished: append([]finishedRun{}, r.finished...)}
	for task, attempt := range r.running {
		reported.Running = append(reported.Running, runningRun{task: task, attempt: attempt, percent: reportedPercent})
	}
	return reported
}
