package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// endDone is the reason of an end that completes a task.
const endDone = "done"

// runLog is the observer of all runners: it records and checks when each task ran. It may be used concurrently.
type runLog struct {
	timeline *Timeline
	findings *Findings

	mu        sync.Mutex
	tasks     map[string]*taskRuns // by task
	doneByJob map[string]int       // number of completed tasks, by job
}

// taskRuns records the runs of a task.
type taskRuns struct {
	running map[string]bool // by runner and attempt
	starts  int
	last    time.Time           // the newest start
	done    map[string]*doneEnd // the ends that completed the task, by runner and attempt
	history []string            // what happened to the task, with the times
}

// doneEnd is an end that completed a task. It violates a rule if both fields are set, in either order.
type doneEnd struct {
	acknowledged bool // the scheduler has acknowledged the end to the runner
	restarted    bool // the task was started after the end
}

func newRunLog(timeline *Timeline, findings *Findings) *runLog {
	return &runLog{timeline: timeline, findings: findings, tasks: map[string]*taskRuns{}, doneByJob: map[string]int{}}
}

func (l *runLog) task(name string) *taskRuns {
	if l.tasks[name] == nil {
		l.tasks[name] = &taskRuns{running: map[string]bool{}, done: map[string]*doneEnd{}}
	}
	return l.tasks[name]
}

// RunStarted implements standin.Observer.
func (l *runLog) RunStarted(runner, task string, attempt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := l.task(task)
	if len(runs.running) > 0 {
		l.findings.add(RuleTwice, "task %s starts at %s as attempt %d while it runs: %v", task, runner, attempt, runs.history)
	}
	runs.starts++
	runs.last = time.Now()
	l.record(runs, "started", runner, attempt)
	runs.running[runKey(runner, attempt)] = true
	for _, end := range runs.done {
		end.restarted = true
		l.checkRestarted(task, runs, end)
	}
}

// RunEnded implements standin.Observer.
func (l *runLog) RunEnded(runner, task string, attempt int, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := l.task(task)
	delete(runs.running, runKey(runner, attempt))
	l.record(runs, reason, runner, attempt)
	if reason != endDone {
		return
	}
	runs.done[runKey(runner, attempt)] = &doneEnd{}
	if len(runs.done) == 1 {
		l.doneByJob[jobIDOf(task)]++
	}
}

// EndAcknowledged implements standin.Observer.
func (l *runLog) EndAcknowledged(runner, task string, attempt int, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := l.task(task)
	l.record(runs, reason+" acknowledged", runner, attempt)
	if reason != endDone {
		return
	}
	if end := runs.done[runKey(runner, attempt)]; end != nil {
		end.acknowledged = true
		l.checkRestarted(task, runs, end)
	}
}

// record appends to a task's history. The caller holds the mutex.
func (l *runLog) record(runs *taskRuns, what, runner string, attempt int) {
	runs.history = append(runs.history, fmt.Sprintf("%s %s at %s as attempt %d", l.timeline.at(time.Now()), what, runner, attempt))
}

// checkRestarted checks that the task was not started again after an end that the scheduler acknowledged. The
// caller holds the mutex.
func (l *runLog) checkRestarted(task string, runs *taskRuns, end *doneEnd) {
	if end.acknowledged && end.restarted {
		l.findings.add(RuleTwice, "task %s was started again after it was done and that end was acknowledged: %v; near: %s", task, runs.history, l.timeline.near(time.Now(), time.Now()))
	}
}

// runKey returns the key of a run of a task.
func runKey(runner string, attempt int) string { return fmt.Sprint(runner, " ", attempt) }

// jobIDOf returns the ID of a task's job.
func jobIDOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// jobRuns sums up the runs of a job's tasks.
type jobRuns struct {
	starts int
	done   int       // number of completed tasks
	last   time.Time // the newest start
}

// byJob returns the sums by job ID.
func (l *runLog) byJob() map[string]jobRuns {
	l.mu.Lock()
	defer l.mu.Unlock()
	jobs := map[string]jobRuns{}
	for task, runs := range l.tasks {
		id := jobIDOf(task)
		sum := jobs[id]
		sum.starts += runs.starts
		sum.done += min(len(runs.done), 1)
		if runs.last.After(sum.last) {
			sum.last = runs.last
		}
		jobs[id] = sum
	}
	return jobs
}

// doneTasks returns how many tasks of a job were completed.
func (l *runLog) doneTasks(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doneByJob[id]
}
