package faktory

import (
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/jsontext"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/policy"

	"github.com/valyala/fastjson"
)

// handlePush serves PUSH.
func (s *session) handlePush(text string) string {
	v, err := fastjson.Parse(text)
	if err != nil {
		return errorReply("the job is no JSON")
	}
	if err := s.backlog.push(v, s.clientAddress, time.Now()); err != nil {
		return "-" + singleLine(err.Error()) + "\r\n"
	}
	return okReply
}

// handlePushBulk serves PUSHB. Its reply names the jobs that were not accepted, each with the reason.
func (s *session) handlePushBulk(text string) string {
	v, err := fastjson.Parse(text)
	if err != nil || v.Type() != fastjson.TypeArray {
		return errorReply("PUSHB takes a list of jobs")
	}
	jobs := v.GetArray()
	if len(jobs) > maxBulkJobs {
		return errorReply("PUSHB takes at most %d jobs", maxBulkJobs)
	}
	var a fastjson.Arena
	problems := a.NewObject()
	for _, job := range jobs {
		if err := s.backlog.push(job, s.clientAddress, time.Now()); err != nil {
			problems.Set(string(job.GetStringBytes("jid")), a.NewString(strings.TrimPrefix(err.Error(), "ERR ")))
		}
	}
	return bulkReply(jsontext.Append(nil, problems))
}

// maxFetchQueues is how many queues one FETCH may name.
const maxFetchQueues = 64

// handleFetch serves FETCH: it replies with a job, or after fetchTimeout with null. It
// reports whether the connection stays open.
func (s *session) handleFetch(queues []string) bool {
	if s.worker == nil {
		return s.conn.reply(errorReply("only a worker, which has a wid, fetches")) == nil
	}
	if len(queues) == 0 {
		queues = []string{defaultQueue}
	}
	if len(queues) > maxFetchQueues || slices.ContainsFunc(queues, isInvalidQueueName) {
		return s.conn.reply(errorReply("FETCH takes the names of %d queues at most", maxFetchQueues)) == nil
	}
	if !s.workers.mayFetchFrom(s.worker, queues) {
		return s.conn.reply(errorReply("a worker fetches from %d queues at most", maxQueues)) == nil
	}
	f := s.workers.fetch(s.worker, queues)
	timeout := time.NewTimer(fetchTimeout)
	defer timeout.Stop()
	var d *delivery
	select {
	case d = <-f.delivered:
	case <-timeout.C:
		d = s.workers.cancelFetch(f)
	case <-s.conn.closed:
		if d = s.workers.cancelFetch(f); d != nil {
			s.workers.returnUndelivered(d) // nothing of it was written
		}
		return false
	}
	if d == nil {
		return s.conn.reply(bulkReply(nil)) == nil
	}
	select {
	case <-s.conn.closed: // the worker disconnected while the job was being delivered
		s.workers.returnUndelivered(d)
		return false
	default:
	}
	if err := s.conn.reply(bulkReply(d.payload)); err != nil {
		s.workers.returnUndelivered(d)
		return false
	}
	s.workers.reportStarted(d)
	return true
}

// handleAck serves ACK.
func (s *session) handleAck(text string) string { return s.endJob(text, policy.OK) }

// handleFail serves FAIL.
func (s *session) handleFail(text string) string { return s.endJob(text, policy.Error) }

const (
	maxMessageBytes   = 1000 // of each text of a client or a worker that is kept
	maxBacktraceLines = 50   // of a failure
)

// endJob serves an ACK (status OK) or a FAIL. A second one gets the same reply and has no
// effect.
func (s *session) endJob(text string, status policy.Status) string {
	v, err := fastjson.Parse(text)
	if err != nil || len(v.GetStringBytes("jid")) == 0 {
		return errorReply("a jid is missing")
	}
	if s.worker == nil {
		return errorReply("only a worker, which has a wid, ends jobs")
	}
	result := ackResult(v, status)
	if len(result) > pipeline.MaxBody {
		return errorReply("the result is too large")
	}
	var f *failure
	if status != policy.OK {
		f = parseFailure(v)
	}
	if s.backlog.finish(s.worker, string(v.GetStringBytes("jid")), status, result, f) {
		s.engine.Do(func() {}) // wait for the engine: a TRACK that follows the reply sees the end
	}
	return okReply
}

// ackResult returns the result of an ACK: a string as it is, anything else as JSON; nil for none.
func ackResult(v *fastjson.Value, status policy.Status) []byte {
	result := v.Get("result")
	switch {
	case status != policy.OK || result == nil:
		return nil
	case result.Type() == fastjson.TypeString:
		return append([]byte(nil), result.GetStringBytes()...)
	}
	return jsontext.Append(nil, result)
}

// parseFailure reads the fields of a FAIL.
func parseFailure(v *fastjson.Value) *failure {
	f := &failure{errorType: shortField(v, "errtype"), message: shortField(v, "message")}
	lines := v.GetArray("backtrace")
	for _, line := range lines[:min(len(lines), maxBacktraceLines)] {
		f.backtrace = append(f.backtrace, truncate(string(line.GetStringBytes())))
	}
	return f
}

// shortField reads a text field, cut to maxMessageBytes.
func shortField(v *fastjson.Value, key string) string { return truncate(string(v.GetStringBytes(key))) }

// truncate cuts a text to maxMessageBytes, and drops what is not UTF-8.
func truncate(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxMessageBytes)], "")
}

// handleBeat serves BEAT, a worker's heartbeat. A worker may announce in it that it stops
// fetching. The reply of a draining dispatcher asks the worker to do so once no job is left
// for it.
func (s *session) handleBeat(text string) string {
	v, err := fastjson.Parse(text)
	if err != nil || s.worker == nil {
		return errorReply("only a worker, which has a wid, beats")
	}
	if wid := string(v.GetStringBytes("wid")); wid != "" && wid != s.worker.id {
		return errorReply("this connection is worker %s", s.worker.id)
	}
	state := string(v.GetStringBytes("current_state"))
	switch state {
	case "", "quiet", "terminate":
	default:
		return errorReply("unknown state")
	}
	s.workers.heartbeat(s.worker, state != "", v.GetInt64("rss_kb"))
	if !s.draining.Load() {
		return okReply
	}
	switch inMailboxes, reserved := s.workers.remainingWork(s.worker); {
	case inMailboxes == 0 && reserved == 0:
		return bulkReply([]byte(`{"state":"terminate"}`))
	case inMailboxes == 0:
		return bulkReply([]byte(`{"state":"quiet"}`))
	}
	return okReply
}
