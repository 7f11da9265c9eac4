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

// serveJobUpdate takes a pool member's callback. It is answered alike whether it counts, was told before or
// is of an ended flow: the member repeats what is not answered.
func (s *Server) serveJobUpdate(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		rejectInput(w, http.StatusMethodNotAllowed, "news is told with POST")
		return
	}
	whole, _ := r.Context().Value(requestKey{}).(completeRequest)
	text := whole.body
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

// readJobUpdate reads a callback; false: it is none.
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
	case "failed": // its result is for plans, which may go by it
		n.Ended, n.Status, n.Result = true, policy.Error, result(v)
	case "returned":
		n.Ended, n.Status = true, policy.Rejected
	case "lost":
		n.Ended, n.Status = true, policy.Reset
	default:
		return n, false
	}
	if n.Ended { // a report that can't be read is left out
		n.Load, _ = loadreport.ParseObject(v.Get("load"))
	}
	return n, n.ID != "" && n.Member != ""
}

// result returns a result's text, or the JSON of one that is no text; nil: there is none.
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

// HandleForwardedUpdate takes a callback that the other process of this dispatcher got for a job of this
// one. It is not forwarded again. It fails for what is no callback.
func (s *Server) HandleForwardedUpdate(text []byte) error {
	update, ok := readJobUpdate(text)
	if !ok {
		return errors.New("this is no news of a job")
	}
	s.engine.HandleJobUpdate(update)
	return nil
}
