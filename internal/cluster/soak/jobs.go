package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times after which a client's word has to be seen everywhere.
const (
	finishLimit = time.Minute // without the end of an accepted job, once it is calm
	cancelSlack = cancelTime  // until no task of a cancelled job begins
)

// job is what is known of a job that was handed in. It may be used concurrently.
type job struct {
	id, prefix string
	tasks      int
	body       string

	mu          sync.Mutex
	accepted    time.Time // zero: no attempt was answered 200
	mayRun      bool      // an attempt was not refused clearly
	cancelSent  bool
	cancelAcked time.Time // zero: no cancellation was acknowledged
	over        bool      // shown as completed or canceled
}

func (j *job) path() string { return j.prefix + j.id }

// isCancelled tells whether a cancellation of the job was sent.
func (j *job) isCancelled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.cancelSent
}

// isAccepted tells whether an attempt to hand the job in was answered 200.
func (j *job) isAccepted() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.accepted.IsZero()
}

// isOver tells whether the job was shown as ended.
func (j *job) isOver() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.over
}

// jobLedger is the jobs of a run and what the clients were told of them. It may be used concurrently.
type jobLedger struct {
	timeline *Timeline
	findings *Findings
	runs     *runLog

	mu   sync.Mutex
	jobs []*job
}

// shapes are the stages of jobs, with how many tasks they have.
var shapes = []struct {
	tasks  int
	stages string
}{
	{1, `[{"count":1,"cpu":500,"mem_mb":10,"estimate_ms":100}]`},
	{3, `[{"count":2,"cpu":500,"mem_mb":10,"estimate_ms":100},{"count":1,"cpu":500,"estimate_ms":100,"depends_on":[0]}]`},
	{6, `[{"count":5,"cpu":1000,"mem_mb":10,"estimate_ms":150},{"count":1,"cpu":200,"estimate_ms":50,"depends_on":[0]}]`},
}

// add returns a new job; numbers choose its queue and its form.
func (l *jobLedger) add(queue, shape int) *job {
	l.mu.Lock()
	defer l.mu.Unlock()
	chosen := shapes[shape%len(shapes)]
	j := &job{
		id: fmt.Sprintf("%016x", len(l.jobs)+1), prefix: queues[queue%len(queues)], tasks: chosen.tasks,
		body: fmt.Sprintf(`{"spec":"soak","stages":%s}`, chosen.stages),
	}
	l.jobs = append(l.jobs, j)
	return j
}

// all returns the jobs so far.
func (l *jobLedger) all() []*job {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*job(nil), l.jobs...)
}

// noteSubmit takes the answer, or none, to a job's POST.
func (l *jobLedger) noteSubmit(j *job, e *Exchange) {
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
		l.findings.add(RuleConfig, "POST %s at %s is answered %d %s; near: %s", j.path(), e.target, e.status, e.body, l.timeline.near(e.lastByte, e.ended))
	}
}

// noteCancel takes the answer to a job's DELETE.
func (l *jobLedger) noteCancel(j *job, e *Exchange) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e.outcome == answered && e.status == http.StatusOK && j.cancelAcked.IsZero() {
		j.cancelAcked = e.ended
	}
}

// noteState takes the answer to a job's GET, which was sent after the job was accepted, and before a
// cancellation unless cancelled.
func (l *jobLedger) noteState(j *job, e *Exchange, cancelled bool) {
	if e.outcome != answered || e.status >= http.StatusInternalServerError {
		return
	}
	var shown struct{ State string }
	if e.status == http.StatusOK && json.Unmarshal([]byte(e.body), &shown) != nil {
		l.findings.add(RuleLost, "GET %s at %s is answered %q", j.path(), e.target, e.body)
	}
	where := fmt.Sprintf("job %s, accepted at %s, is asked for at %s at %s", j.path(), l.timeline.at(j.accepted), e.target, l.timeline.at(e.lastByte))
	switch {
	case e.status == http.StatusNotFound:
		l.findings.add(RuleConfig, "%s: %d %s", where, e.status, e.body)
	case e.status != http.StatusOK && !cancelled:
		l.findings.add(RuleLost, "%s: %d %s", where, e.status, e.body)
	case shown.State == "failed", shown.State == "canceled" && !cancelled && !j.isCancelled():
		l.findings.add(RuleLost, "%s and is %s", where, shown.State)
	case shown.State == "completed":
		if done := l.runs.doneTasks(j.id); done < j.tasks {
			l.findings.add(RuleMixed, "%s and is completed, with %d of %d tasks", where, done, j.tasks)
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.over = j.over || shown.State == "completed" || shown.State == "canceled"
}

// check looks at what ran for each job, at the end.
func (l *jobLedger) check() {
	runs := l.runs.byJob()
	for _, j := range l.all() {
		ran := runs[j.id]
		if ran.starts > 0 && !j.mayRun {
			l.findings.add(RuleRefused, "job %s was refused each time and ran", j.path())
		}
		late := !j.cancelAcked.IsZero() && ran.last.After(j.cancelAcked.Add(cancelSlack))
		if late && l.timeline.isCalm(j.cancelAcked, ran.last) {
			l.findings.add(RuleUnasked, "job %s was cancelled at %s, and a task began at %s", j.path(), l.timeline.at(j.cancelAcked), l.timeline.at(ran.last))
		}
		if !j.accepted.IsZero() && !j.over {
			l.findings.add(RuleLost, "job %s, accepted at %s, has not ended; %d of %d tasks have", j.path(), l.timeline.at(j.accepted), ran.done, j.tasks)
		}
	}
}
