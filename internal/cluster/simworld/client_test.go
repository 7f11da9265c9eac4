package simworld_test

import (
	"fmt"
	"net/http"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/router"
)

// Times of operators and clients.
const (
	operatorTimeout   = time.Second            // of an attempt; then an operator tries another node
	operatorDeadline  = 25 * time.Second       // after which an operator gives up a request
	clientTimeout     = 3 * time.Second        // of an attempt; then a client tries another dispatcher
	operatorPauseStep = 150 * time.Millisecond // by which an operator's pause grows with each attempt
)

// callFromOutside sends a call of an operator or a client to a process. Partitions don't affect it, but
// its answer may be lost. done is called once, with false if no answer arrived in time.
func (w *world) callFromOutside(to *process, within time.Duration, ask func(reply func(any)), done func(answer any, ok bool)) {
	over := false
	finish := func(answer any, ok bool) {
		if !over {
			over = true
			done(answer, ok)
		}
	}
	latency := w.randomBetween(time.Millisecond, 6*time.Millisecond)
	if w.chance(w.lateShare) {
		latency += w.randomBetween(0, 3*time.Second)
	}
	w.schedule(latency, func() {
		if !to.up {
			return
		}
		w.execute(&event{process: to, incarnation: to.incarnation, do: func() {
			ask(func(answer any) {
				if w.chance(2 * w.lossShare) {
					return
				}
				w.schedule(w.randomBetween(time.Millisecond, 6*time.Millisecond), func() { finish(answer, true) })
			})
		}})
	})
	w.schedule(within, func() { finish(nil, false) })
}

// nextStamp returns the time in nanoseconds, increased so that no two stamps are equal: operations
// at the same time are ordered.
func (w *world) nextStamp() int64 {
	w.lastStamp = max(w.lastStamp+1, int64(w.now))
	return w.lastStamp
}

// runClient runs a client that submits a number of jobs, requests their states and may cancel them.
func (w *world) runClient(jobs int) {
	if jobs == 0 || w.noNewLoad {
		return
	}
	w.serial++
	j := &jobHistory{id: fmt.Sprintf("%016x", w.serial), completedTasks: map[job.TaskRef]bool{}, acknowledgedTasks: map[job.TaskRef]bool{}, failures: map[job.TaskRef]int{}}
	w.jobs[j.id] = j
	w.jobIDs = append(w.jobIDs, j.id)
	j.queue = queues[w.random.IntN(2)]
	queue, body := j.queue, fmt.Sprintf(jobBodyFormat, j.id)
	if w.random.IntN(8) == 0 { // a cancellation that may arrive before the job
		w.schedule(w.randomBetween(0, 400*time.Millisecond), func() { w.sendJobRequest(j, queue, methodDelete, "", 4, func(protocol.JobResponse) {}) })
	}
	if w.random.IntN(12) == 0 { // another job with the same ID
		w.schedule(w.randomBetween(0, 600*time.Millisecond), func() {
			w.sendJobRequest(j, queue, methodPost, fmt.Sprintf(jobBodyFormat, "other"), 1, func(protocol.JobResponse) {})
		})
	}
	w.sendJobRequest(j, queue, methodPost, body, 6, func(got protocol.JobResponse) {
		if got.Status == http.StatusOK && w.random.IntN(6) == 0 { // the same job again, although it was accepted
			w.schedule(w.randomBetween(0, 5*time.Second), func() { w.sendJobRequest(j, queue, methodPost, body, 1, func(protocol.JobResponse) {}) })
		}
		w.askForState(j, queue, 1+w.random.IntN(3))
	})
	w.schedule(w.randomBetween(50*time.Millisecond, 700*time.Millisecond), func() { w.runClient(jobs - 1) })
}

// askForState requests a job's state a number of times, and may then cancel it.
func (w *world) askForState(j *jobHistory, queue string, times int) {
	if times == 0 {
		if w.random.IntN(5) == 0 {
			w.sendJobRequest(j, queue, methodDelete, "", 4, func(protocol.JobResponse) { w.askForState(j, queue, -1) })
		}
		return
	}
	if times < -1 {
		return
	}
	w.schedule(w.randomBetween(0, time.Second), func() {
		w.sendJobRequest(j, queue, methodGet, "", 2, func(protocol.JobResponse) { w.askForState(j, queue, times-1) })
	})
}

// sendJobRequest sends a request to random dispatchers until it has a final answer, with a maximum
// number of attempts. Each attempt is an operation of its own in the history.
func (w *world) sendJobRequest(j *jobHistory, queue string, verb jobMethod, body string, attempts int, then func(protocol.JobResponse)) {
	from, sent := w.nextStamp(), w.now
	d := w.dispatchers[w.random.IntN(len(w.dispatchers))]
	client := len(j.operations)
	var build func(*router.View, *opconfig.Route) *router.Call
	switch verb {
	case methodPost:
		build = newSubmitCall(j.id, body)
	case methodGet:
		build = newJobCall(protocol.GetJobState, j.id)
	case methodDelete:
		build = newJobCall(protocol.CancelJob, j.id)
	}
	w.callFromOutside(d.process, clientTimeout, func(reply func(any)) {
		d.serve(request{queue: queue, sentAt: sent, newCall: build, reply: func(a protocol.JobResponse) {
			w.jobAnswered(verb, a.Status)
			reply(a)
		}})
	}, func(answer any, ok bool) {
		got, _ := answer.(protocol.JobResponse)
		w.recorder.clientAnswered(w, d, j, verb, got, ok)
		status := got.Status
		if !ok || status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
			status = 0
		}
		w.tracef("%s %d of %s at %s: %d %v", queue, verb, j.id, d.name, status, got.State)
		j.recordOperation(w, client, from, jobInput{method: verb, body: body}, jobOutput{status: status, state: got.State.String()})
		if status == http.StatusOK || status == http.StatusGone || status == http.StatusConflict || attempts <= 1 {
			then(got)
			return
		}
		w.schedule(w.randomBetween(100*time.Millisecond, 800*time.Millisecond), func() { w.sendJobRequest(j, queue, verb, body, attempts-1, then) })
	})
}

// recordOperation records an attempt and its outcome, unless the outcome has no information about
// the job.
func (j *jobHistory) recordOperation(w *world, client int, from int64, in jobInput, out jobOutput) {
	to := w.nextStamp()
	if out.status == 0 {
		if in.method == methodGet {
			return
		}
		to = noReturn
	}
	if out.status == http.StatusServiceUnavailable || out.status == http.StatusNotFound || out.status == http.StatusTooManyRequests {
		if in.method != methodPost {
			return // no information about the job
		}
	}
	j.operations = append(j.operations, operation(client, from, to, in, out))
	switch {
	case in.method == methodPost && out.status == http.StatusOK:
		j.accepted = true
	case in.method == methodDelete && (out.status == http.StatusOK || out.status == http.StatusGone) && j.cancelled == 0:
		j.cancelled = w.now
	}
}
