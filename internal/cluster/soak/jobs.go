package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Time limits on the effects of a client's requests.
const (
	finishLimit = time.Minute // without the end of any accepted job, once the events are over
	cancelSlack = cancelTime  // after a cancellation, within which tasks of the job may still begin
)

// job is a submitted job and what is known of it. It may be used concurrently.
type job struct {
	id, prefix string
	tasks      int
	body       string

	mu          sync.Mutex
	accepted    time.Time // zero: no attempt was answered 200
	mayRun      bool      // an attempt had an outcome other than a definite refusal
	cancelSent  bool
	cancelAcked time.Time // zero: no cancellation was acknowledged
	ended       bool      // answered as completed or canceled
}

func (j *job) path() string { return j.prefix + j.id }

// isCancelled reports whether a cancellation of the job was sent.
func (j *job) isCancelled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.cancelSent
}

// isAccepted reports whether an attempt to submit the job was answered 200.
func (j *job) isAccepted() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.accepted.IsZero()
}

// hasEnded reports whether an answer showed the job as completed or canceled.
func (j *job) hasEnded() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended
}

// jobTracker records the jobs of a run and the answers that clients got, and checks them. It may be used
// concurrently.
type jobTracker struct {
	timeline *Timeline
	findings *Findings
	runs     *runLog

	mu   sync.Mutex
	jobs []*job
}

// shapes are the stages of jobs, and their number of tasks.
var shapes = []struct {
	tasks  int
	stages string
}{
	{1, `[{"count":1,"cpu":500,"mem_mb":10,"estimate_ms":100}]`},
	{3, `[{"count":2,"cpu":500,"mem_mb":10,"estimate_ms":100},{"count":1,"cpu":500,"estimate_ms":100,"depends_on":[0]}]`},
	{6, `[{"count":5,"cpu":1000,"mem_mb":10,"estimate_ms":150},{"count":1,"cpu":200,"estimate_ms":50,"depends_on":[0]}]`},
}

// add returns a new job. The numbers select its queue and its shape.
func (t *jobTracker) add(queue, shape int) *job {
	t.mu.Lock()
	defer t.mu.Unlock()
	chosen := shapes[shape%len(shapes)]
	j := &job{
		id: fmt.Sprintf("%016x", len(t.jobs)+1), prefix: queues[queue%len(queues)], tasks: chosen.tasks,
		body: fmt.Sprintf(`{"spec":"soak","stages":%s}`, chosen.stages),
	}
	t.jobs = append(t.jobs, j)
	return j
}

// all returns the jobs so far.
func (t *jobTracker) all() []*job {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*job(nil), t.jobs...)
}

// recordSubmit records the outcome of a job's POST, with or without an answer.
func (t *jobTracker) recordSubmit(j *job, e *Exchange) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case e.outcome == answered && e.status == http.StatusOK:
		j.mayRun = true
		if j.accepted.IsZero() {
			j.accepted = e.ended
		}
	case e.outcome == answered && (e.status == http.StatusServiceUnavailable || e.status == http.StatusTooManyRequests):
	case e.outcome == answered && e.status == http.StatusGatewayTimeout, e.outcome != answered:
		j.mayRun = true
	default:
		t.findings.add(RuleConfig, "POST %s at %s is answered %d %s; near: %s", j.path(), e.target, e.status, e.body, t.timeline.near(e.lastByte, e.ended))
	}
}

// recordCancel records the outcome of a job's DELETE.
func (t *jobTracker) recordCancel(j *job, e *Exchange) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e.outcome == answered && e.status == http.StatusOK && j.cancelAcked.IsZero() {
		j.cancelAcked = e.ended
	}
}

// recordState records and checks the answer to a job's GET, which was sent after the job was accepted.
// cancelled: a cancellation had been sent before the GET.
func (t *jobTracker) recordState(j *job, e *Exchange, cancelled bool) {
	if e.outcome != answered || e.status >= http.StatusInternalServerError {
		return
	}
	var shown struct{ State string }
	if e.status == http.StatusOK && json.Unmarshal([]byte(e.body), &shown) != nil {
		t.findings.add(RuleLost, "GET %s at %s is answered %q", j.path(), e.target, e.body)
	}
	where := fmt.Sprintf("job %s, accepted at %s, requested from %s at %s", j.path(), t.timeline.at(j.accepted), e.target, t.timeline.at(e.lastByte))
	switch {
	case e.status == http.StatusNotFound:
		t.findings.add(RuleConfig, "%s: %d %s", where, e.status, e.body)
	case e.status != http.StatusOK && !cancelled:
		t.findings.add(RuleLost, "%s: %d %s", where, e.status, e.body)
	case shown.State == "failed", shown.State == "canceled" && !cancelled && !j.isCancelled():
		t.findings.add(RuleLost, "%s, is %s", where, shown.State)
	case shown.State == "completed":
		if done := t.runs.doneTasks(j.id); done < j.tasks {
			t.findings.add(RuleMixed, "%s, is completed with %d of %d tasks", where, done, j.tasks)
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ended = j.ended || shown.State == "completed" || shown.State == "canceled"
}

// check compares, at the end of the run, the answers for each job with the runs of its tasks.
func (t *jobTracker) check() {
	runs := t.runs.byJob()
	for _, j := range t.all() {
		ran := runs[j.id]
		if ran.starts > 0 && !j.mayRun {
			t.findings.add(RuleRefused, "job %s ran although each submission was refused", j.path())
		}
		late := !j.cancelAcked.IsZero() && ran.last.After(j.cancelAcked.Add(cancelSlack))
		if late && t.timeline.isCalm(j.cancelAcked, ran.last) {
			t.findings.add(RuleUnasked, "job %s was cancelled at %s, and a task began at %s", j.path(), t.timeline.at(j.cancelAcked), t.timeline.at(ran.last))
		}
		if !j.accepted.IsZero() && !j.ended {
			t.findings.add(RuleLost, "job %s, accepted at %s, has not ended; %d of %d tasks have", j.path(), t.timeline.at(j.accepted), ran.done, j.tasks)
		}
	}
}
