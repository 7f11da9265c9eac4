package dataplane

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/router"
)

// ingress takes clients' requests.
type ingress struct {
	follower *follower
	clock    func() time.Duration
	leaving  func() bool
	pause    func(time.Duration)
	waiting  atomic.Int32 // requests that wait for a configuration
}

const (
	normalTimeout = 3 * time.Second
	heldPart      = 0.42                   // of its time, for which a request that was not served is held at the most
	tryWithin     = 350 * time.Millisecond // an owner that does not answer by then may be gone
	triesApart    = 25 * time.Millisecond
	retryAfterMs  = 1000
	normalBody    = 262144
	mostWaiting   = 512 // requests that wait for a configuration
)

func (in *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if in.leaving() {
		w.Header().Set("Connection", "close")
	}
	came := in.clock()
	v, ok := in.view(r, came+in.held(r, nil))
	if !ok {
		refuse(w, http.StatusServiceUnavailable, "the configuration is not known here at this moment", retryAfterMs)
		return
	}
	route, ok := v.Config.Match(r.Host, r.URL.Path)
	if !ok {
		http.Error(w, "there is no such queue", http.StatusNotFound)
		return
	}
	in.serve(w, r, v, route, came+in.held(r, route))
}

// view returns what may be gone by, waiting for it as long as a request may be held: a change
// of the configuration's owner, or this process's own start, takes less time than a client
// that was sent away stays away. Only so many requests wait, and none whose client has gone.
func (in *ingress) view(r *http.Request, deadline time.Duration) (*router.View, bool) {
	if v, ok := in.follower.current(); ok || in.leaving() {
		return v, ok
	}
	defer in.waiting.Add(-1)
	if in.waiting.Add(1) > mostWaiting {
		return nil, false
	}
	for in.clock() < deadline && r.Context().Err() == nil {
		in.pause(triesApart)
		if v, ok := in.follower.current(); ok {
			return v, true
		}
	}
	return nil, false
}

func (in *ingress) serve(w http.ResponseWriter, r *http.Request, v *router.View, route *opconfig.Route, deadline time.Duration) {
	id := r.URL.Path[len(route.PathPrefix):]
	switch {
	case r.Method == http.MethodGet && id == "":
		in.ask(w, v, route, deadline, protocol.CountPending, "")
	case r.Method == http.MethodGet:
		in.ask(w, v, route, deadline, protocol.GetJobState, id)
	case r.Method == http.MethodDelete && id != "":
		in.ask(w, v, route, deadline, protocol.CancelJob, id)
	case r.Method == http.MethodPost && id != "":
		in.submit(w, r, v, route, deadline, id)
	default:
		http.Error(w, "hand a job in by POST, ask by GET, cancel by DELETE", http.StatusMethodNotAllowed)
	}
}

// held is for how long a request is held at the most before it is given up: through a change
// of the shard's owner, which takes about a second, since a client that is sent away comes back
// later than that. Without a route its time-out is not known.
func (in *ingress) held(r *http.Request, route *opconfig.Route) time.Duration {
	whole := normalTimeout
	if route != nil && route.TimeoutMs > 0 {
		whole = time.Duration(route.TimeoutMs) * time.Millisecond
	}
	if ms, err := strconv.ParseInt(r.Header.Get("Timeout-Ms"), 10, 64); err == nil && ms > 0 {
		whole = min(whole, time.Duration(ms)*time.Millisecond)
	}
	return time.Duration(heldPart * float64(whole))
}

func (in *ingress) ask(w http.ResponseWriter, v *router.View, route *opconfig.Route, deadline time.Duration, verb protocol.JobOperation, id string) {
	in.write(w, verb, in.carry(deadline, v, route, func(v *router.View, route *opconfig.Route) *router.Call {
		return router.NewJobCall(v, route, verb, id)
	}))
}

func (in *ingress) submit(w http.ResponseWriter, r *http.Request, v *router.View, route *opconfig.Route, deadline time.Duration, id string) {
	most := v.Config.Limits.MaxBodyBytes
	if most == 0 {
		most = normalBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err != nil {
		http.Error(w, "the body is cut short or too large", http.StatusBadRequest)
		return
	}
	in.write(w, 0, in.carry(deadline, v, route, func(v *router.View, route *opconfig.Route) *router.Call {
		return router.NewSubmitCall(v, route, id, body)
	}))
}

// carry brings a request to the owners that can answer it. Where one knows a newer
// configuration that sends the queue elsewhere, it waits for that and begins anew.
func (in *ingress) carry(deadline time.Duration, v *router.View, route *opconfig.Route, build func(*router.View, *opconfig.Route) *router.Call) protocol.JobResponse {
	call := build(v, route)
	for {
		answer, progress := in.pass(call, deadline)
		if progress != router.ConfigOutdated {
			return answer
		}
		newer, ok := in.newer(v.Config.Version, answer.Moved, deadline)
		if !ok {
			return call.TimeoutResponse()
		}
		next, ok := newer.Config.Route(route.Queue())
		if !ok {
			return call.TimeoutResponse()
		}
		v, route = newer, next
		again := build(v, route)
		again.InheritOutcome(call)
		call = again
	}
}

// newer waits for a configuration of a version, or of any that is newer than the present one.
func (in *ingress) newer(have, wanted int64, deadline time.Duration) (*router.View, bool) {
	for in.clock() < deadline {
		if v, ok := in.follower.current(); ok && v.Config.Version > have && v.Config.Version >= wanted {
			return v, true
		}
		in.pause(triesApart)
	}
	return nil, false
}

// pass asks the owners by turns until a call has its answer.
func (in *ingress) pass(call *router.Call, deadline time.Duration) (protocol.JobResponse, router.Progress) {
	for in.clock() < deadline {
		shard, message := call.Next()
		asked := in.clock()
		owner := in.follower.LeaderOf(shard, asked)
		answer, err := in.try(owner, message, deadline)
		progress := router.Retry
		switch {
		case err != nil:
			call.NoResponse()
			in.follower.LeaderUnresponsive(shard, owner, asked, in.clock())
		case answer.Status == 0:
			in.follower.UpdateLeader(shard, owner, answer.Owner)
		default:
			answer, progress = call.HandleResponse(answer)
		}
		if progress == router.Finished || progress == router.ConfigOutdated {
			return answer, progress
		}
		if progress == router.Retry {
			in.pause(triesApart)
		}
	}
	return call.TimeoutResponse(), router.Finished
}

func (in *ingress) try(owner string, message any, deadline time.Duration) (protocol.JobResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), min(tryWithin, deadline-in.clock()))
	defer cancel()
	got, err := in.follower.clients.Call(ctx, owner, message)
	if err != nil {
		return protocol.JobResponse{}, err
	}
	answer, _ := got.(protocol.JobResponse)
	return answer, nil
}

// stateBody and countBody are what clients are told.
type stateBody struct {
	State string `json:"state"`
}

type countBody struct {
	Pending int `json:"pending"`
}

func (in *ingress) write(w http.ResponseWriter, verb protocol.JobOperation, answer protocol.JobResponse) {
	if answer.Status != http.StatusOK {
		refuse(w, int(answer.Status), answer.Reason, answer.RetryAfterMs)
		return
	}
	var body any = struct{}{}
	switch verb {
	case protocol.GetJobState:
		body = stateBody{State: answer.State.String()}
	case protocol.CountPending:
		body = countBody{Pending: answer.Pending}
	}
	content, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(content)
}

// refuse answers a request that was not served, with when to come back.
func refuse(w http.ResponseWriter, status int, reason string, retryMs int64) {
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	if retryMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(max(1, (retryMs+999)/1000), 10))
	}
	http.Error(w, reason, status)
}
