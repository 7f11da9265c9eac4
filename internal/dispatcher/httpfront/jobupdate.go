package httpfront

import (
	"errors"
	"net/http"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/jsontext"
	"basaltloft/internal/dispatcher/loadreport"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/policy"

	"github.com/valyala/fastjson"
)

// serveJobUpdate serves a pool member's callback. The answer is the same if the update is new, a duplicate or
// about a flow that has ended: the member repeats a callback that is not answered.
func (s *Server) serveJobUpdate(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		rejectInput(w, http.StatusMethodNotAllowed, "news is told with POST")
		return
	}
	request, _ := r.Context().Value(requestKey{}).(completeRequest)
	text := request.body
	update, ok := readJobUpdate(text)
	if !ok {
		rejectInput(w, http.StatusBadRequest, "this is no news of a job")
		return
	}
	if !s.engine.HandleJobUpdate(update) && s.ForwardUpdate != nil {
		s.ForwardUpdate(text)
	}
	s.announceClose(w.Header())
	w.WriteHeader(http.StatusNoContent)
}

// maxUpdateBytes is the largest callback: a result of the largest size, escaped in JSON.
const maxUpdateBytes = 2*pipeline.MaxBody + 1024

// readJobUpdate parses a callback. It returns false if the text is not a valid callback.
func readJobUpdate(text []byte) (engine.JobUpdate, bool) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return engine.JobUpdate{}, false
	}
	n := engine.JobUpdate{ID: string(v.GetStringBytes("id")), Member: string(v.GetStringBytes("from"))}
	switch string(v.GetStringBytes("state")) {
	case "started":
		n.Started = true
	case "running":
		n.Running, n.Progress = true, v.GetFloat64("share")
	case "done":
		n.Ended, n.Status, n.Result = true, policy.OK, result(v)
	case "failed": // plans may use the result of a failed job
		n.Ended, n.Status, n.Result = true, policy.Error, result(v)
	case "returned":
		n.Ended, n.Status = true, policy.Rejected
	case "lost":
		n.Ended, n.Status = true, policy.Reset
	default:
		return n, false
	}
	if n.Ended { // an unreadable load report is ignored
		n.Load, _ = loadreport.ParseObject(v.Get("load"))
	}
	return n, n.ID != "" && n.Member != ""
}

// result returns the result of a callback: the text of a JSON string, the JSON text of any other value, or nil
// if there is no result.
func result(v *fastjson.Value) []byte {
	switch result := v.Get("result"); {
	case result == nil:
		return nil
	case result.Type() == fastjson.TypeString:
		return append([]byte(nil), result.GetStringBytes()...)
	default:
		return jsontext.Append(nil, result)
	}
}

// HandleForwardedUpdate handles a callback that the other process of this dispatcher received for a job of
// this process. It does not forward it again. It returns an error if the text is not a valid callback.
func (s *Server) HandleForwardedUpdate(text []byte) error {
	update, ok := readJobUpdate(text)
	if !ok {
		return errors.New("this is no news of a job")
	}
	s.engine.HandleJobUpdate(update)
	return nil
}
