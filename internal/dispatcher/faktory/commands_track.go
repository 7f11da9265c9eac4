package faktory

import (
	"strings"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/faktory/sets"
	"basaltloft/internal/dispatcher/jsontext"

	"github.com/valyala/fastjson"
)

// handleTrack serves TRACK GET, which describes a job, and TRACK SET.
func (s *session) handleTrack(argument string) string {
	verb, text, _ := strings.Cut(argument, " ")
	text = strings.TrimSpace(text)
	switch {
	case verb == "GET" && text != "":
		s.backlog.mu.Lock()
		defer s.backlog.mu.Unlock()
		t := s.backlog.tasks[text]
		if t == nil {
			return bulkReply(nil)
		}
		return bulkReply(t.statusJSON())
	case verb == "SET":
		return s.handleTrackSet(text)
	}
	return errorReply("TRACK takes GET jid or SET {...}")
}

// handleTrackSet records a progress report, and may extend the reservation of the job
// (reserve_until).
func (s *session) handleTrackSet(text string) string {
	v, err := fastjson.Parse(text)
	if err != nil || len(v.GetStringBytes("jid")) == 0 {
		return errorReply("a jid is missing")
	}
	until, err := timeField(v, "reserve_until")
	if err != nil {
		return errorReply("%v", err)
	}
	s.backlog.mu.Lock()
	defer s.backlog.mu.Unlock()
	t := s.backlog.tasks[string(v.GetStringBytes("jid"))]
	if t == nil {
		return errorReply("no such job")
	}
	if t.progress == nil {
		t.progress = new(progressReport)
	}
	t.progress.percent = min(max(v.GetInt("percent"), 0), 100)
	if v.Exists("desc") {
		t.progress.description = shortField(v, "desc")
	}
	t.updatedAt = time.Now()
	if until.IsZero() {
		return okReply
	}
	if s.worker == nil || !s.workers.extendReservation(s.worker, t.id, until) {
		return errorReply("this worker does not hold the job")
	}
	return okReply
}

// statusJSON returns the reply to TRACK GET. The lock is held.
func (t *task) statusJSON() []byte {
	state := "enqueued"
	var a fastjson.Arena
	v := a.NewObject()
	v.Set("jid", a.NewString(t.id))
	when := func(key string, at time.Time) { v.Set(key, a.NewString(at.UTC().Format(time.RFC3339Nano))) }
	if t.job != nil && t.job.Failure != nil {
		v.Set("failure", failureJSON(&a, t.job.Failure))
	}
	switch {
	case t.state == taskSubmitted && (t.plan != nil || t.backlog.workers.reserved[t.id] != nil):
		state = "working"
	case t.state == taskWaiting && t.job != nil && t.job.Location() != sets.InQueue:
		when("retry_at", t.job.OrderTime())
	case t.state == taskFinal:
		switch t.answer.Verdict {
		case engine.Served:
			state = "success"
		case engine.Failed:
			state = "failed"
		default:
			state = "dead"
			if !t.answer.RetryAt.IsZero() {
				when("retry_at", t.answer.RetryAt)
			}
		}
		v.Set("outcome", a.NewString(t.answer.Verdict.String()))
		if len(t.answer.Body) > 0 {
			v.Set("result", a.NewString(string(t.answer.Body)))
		}
	}
	if t.progress != nil {
		v.Set("percent", a.NewNumberInt(t.progress.percent))
		v.Set("desc", a.NewString(t.progress.description))
	}
	v.Set("state", a.NewString(state))
	when("updated_at", t.updatedAt)
	return jsontext.Append(nil, v)
}
