package faktory

import (
	"errors"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/faktory/batch"
	"basaltloft/internal/dispatcher/jsontext"

	"github.com/valyala/fastjson"
)

// handleBatch serves BATCH NEW, OPEN, COMMIT and STATUS.
func (s *session) handleBatch(argument string) string {
	verb, text, _ := strings.Cut(argument, " ")
	text = strings.TrimSpace(text)
	b := s.backlog
	b.mu.Lock()
	defer b.mu.Unlock()
	var err error
	switch verb {
	case "NEW":
		return s.handleBatchNew(text)
	case "OPEN":
		if err = b.batches.Open(text); err == nil {
			return simpleReply(text)
		}
	case "COMMIT":
		var due []batch.Callback
		if due, err = b.batches.Commit(text); err == nil {
			b.pushCallbacks(due)
			return okReply
		}
	case "STATUS":
		if found := b.batches.Find(text); found != nil {
			return bulkReply(batchStatusJSON(found))
		}
		err = batch.ErrUnknownBatch
	default:
		return errorReply("BATCH takes NEW, OPEN, COMMIT or STATUS")
	}
	return errorReply("batch %s: %v", text, err)
}

// handleBatchNew starts a batch, and replies with its bid. The lock is held.
func (s *session) handleBatchNew(text string) string {
	v, err := fastjson.Parse(text)
	if err != nil || v.Type() != fastjson.TypeObject {
		return errorReply("BATCH NEW takes a JSON object")
	}
	definition := batch.Definition{
		Parent: string(v.GetStringBytes("parent_bid")), Description: shortField(v, "description"), Callbacks: make(map[batch.Kind][]byte),
	}
	for _, kind := range []batch.Kind{batch.Success, batch.Complete} {
		callback := v.Get(string(kind))
		if isAbsent(callback) {
			continue
		}
		if callback.Type() == fastjson.TypeObject && len(callback.GetStringBytes("jid")) == 0 {
			var a fastjson.Arena
			callback.Set("jid", a.NewString(newID()))
		}
		if _, err := s.backlog.parseIncoming(callback, time.Now()); err != nil {
			return errorReply("%s: %v", kind, err)
		}
		definition.Callbacks[kind] = jsontext.Append(nil, callback)
	}
	id := "b-" + newID()
	if err := s.backlog.batches.New(time.Now(), id, definition); err != nil {
		if errors.Is(err, batch.ErrFull) {
			return "-" + refusedPush(engine.Answer{}).Error() + "\r\n"
		}
		return errorReply("%v", err)
	}
	return simpleReply(id)
}

// batchStatusJSON returns the reply to BATCH STATUS.
func batchStatusJSON(status *batch.Batch) []byte {
	var a fastjson.Arena
	v := a.NewObject()
	v.Set("bid", a.NewString(status.ID))
	v.Set("parent_bid", a.NewString(status.Definition.Parent))
	v.Set("description", a.NewString(status.Definition.Description))
	v.Set("created_at", a.NewString(status.Created.UTC().Format(time.RFC3339Nano)))
	v.Set("total", a.NewNumberInt(status.Total))
	v.Set("pending", a.NewNumberInt(status.Pending))
	v.Set("failed", a.NewNumberInt(status.Failed()))
	v.Set("complete_st", a.NewString(string(status.States[batch.Complete])))
	v.Set("success_st", a.NewString(string(status.States[batch.Success])))
	return jsontext.Append(nil, v)
}
