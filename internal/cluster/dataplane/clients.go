package dataplane

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/router"
)

// clientHandler serves the requests of clients.
type clientHandler struct {
	watcher  *configWatcher
	clock    func() time.Duration
	draining func() bool
	answerBy func() time.Duration // when each request has to be answered, since the process ends
	pause    func(time.Duration)
	waiting  atomic.Int32 // requests that wait for a configuration
}

const (
	// defaultTimeout is a client's time-out where neither its route nor the client names one.
	defaultTimeout = 3 * time.Second
	// retryShare is the part of a client's time-out for which its request is retried at most.
	retryShare = 0.42
	// attemptTimeout is how long a leader's response is waited for; later ones may never come.
	attemptTimeout = 350 * time.Millisecond
	// retryPause is the pause before the second attempt, and between two looks for a configuration. It
	// doubles with each further attempt, up to maxRetryPause: an election takes several times as long,
	// and the nodes that are asked have other things to do meanwhile.
	retryPause    = 25 * time.Millisecond
	maxRetryPause = 100 * time.Millisecond
	// notReadyRetryMs is after how long a client is told to come back where this process has no
	// configuration that it may act on.
	notReadyRetryMs = 1000
	// defaultMaxBodyBytes bounds a job's body where the configuration does not.
	defaultMaxBodyBytes = 262144
	// maxWaiting bounds the requests that wait for a configuration.
	maxWaiting = 512
)

// ServeHTTP implements http.Handler.
func (h *clientHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.draining() {
		w.Header().Set("Connection", "close")
	}
	arrived := h.clock()
	view, ok := h.awaitView(r, arrived+retryTime(r, nil))
	if !ok {
		reject(w, http.StatusServiceUnavailable, "the configuration is not known here at this moment", notReadyRetryMs)
		return
	}
	route, ok := view.Config.Match(r.Host, r.URL.Path)
	if !ok {
		http.Error(w, "there is no such queue", http.StatusNotFound)
		return
	}
	h.serve(w, r, target{view: view, route: route, deadline: arrived + retryTime(r, route)})
}

// target is where a client's request goes: the route that it matched, in which version of the
// configuration, and until when it may be retried.
type target struct {
	view     *router.View
	route    *opconfig.Route
	deadline time.Duration
}

// awaitView returns the view, waiting for one that may be acted on until the deadline: an
// election of the configuration's leader, or this process's own start, takes less time than a
// client that was rejected stays away. Only maxWaiting requests wait, and none of a client that
// has gone.
func (h *clientHandler) awaitView(r *http.Request, deadline time.Duration) (*router.View, bool) {
	if view, valid := h.watcher.current(); valid || h.draining() {
		return view, valid
	}
	defer h.waiting.Add(-1)
	if h.waiting.Add(1) > maxWaiting {
		return nil, false
	}
	for h.clock() < h.bounded(deadline) && r.Context().Err() == nil {
		h.pause(retryPause)
		if view, valid := h.watcher.current(); valid {
			return view, true
		}
	}
	return nil, false
}

// bounded returns a request's deadline, or the time by which this process has to answer if that comes
// first. It is asked anew in each round: a process may be told to stop while a request waits.
func (h *clientHandler) bounded(deadline time.Duration) time.Duration {
	return min(deadline, h.answerBy())
}

// serve serves a request that matched a route. What follows the route's prefix in the path is
// the job's ID.
func (h *clientHandler) serve(w http.ResponseWriter, r *http.Request, to target) {
	id := r.URL.Path[len(to.route.PathPrefix):]
	switch {
	case r.Method == http.MethodGet && id == "":
		h.serveJobRequest(w, to, protocol.CountPending, "")
	case r.Method == http.MethodGet:
		h.serveJobRequest(w, to, protocol.GetJobState, id)
	case r.Method == http.MethodDelete && id != "":
		h.serveJobRequest(w, to, protocol.CancelJob, id)
	case r.Method == http.MethodPost && id != "":
		h.serveSubmit(w, r, to, id)
	default:
		http.Error(w, "hand a job in by POST, ask by GET, cancel by DELETE", http.StatusMethodNotAllowed)
	}
}

// retryTime returns for how long a request is retried before the client is told that it failed:
// through an election of the shard's leader, which takes about a second, since a rejected client
// comes back later than that. Without a route (nil) its time-out is not known.
func retryTime(r *http.Request, route *opconfig.Route) time.Duration {
	timeout := defaultTimeout
	if route != nil && route.TimeoutMs > 0 {
		timeout = time.Duration(route.TimeoutMs) * time.Millisecond
	}
	if ms, err := strconv.ParseInt(r.Header.Get("Timeout-Ms"), 10, 64); err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return time.Duration(retryShare * float64(timeout))
}

// serveJobRequest serves a state, a cancellation or a count.
func (h *clientHandler) serveJobRequest(w http.ResponseWriter, to target, operation protocol.JobOperation, id string) {
	writeResponse(w, operation, h.forward(to, func(view *router.View, route *opconfig.Route) *router.Call {
		return router.NewJobCall(view, route, operation, id)
	}))
}

// serveSubmit serves a job that a client hands in.
func (h *clientHandler) serveSubmit(w http.ResponseWriter, r *http.Request, to target, id string) {
	maxBytes := to.view.Config.Limits.MaxBodyBytes
	if maxBytes == 0 {
		maxBytes = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		http.Error(w, "the body is cut short or too large", http.StatusBadRequest)
		return
	}
	writeResponse(w, submission, h.forward(to, func(view *router.View, route *opconfig.Route) *router.Call {
		return router.NewSubmitCall(view, route, id, body)
	}))
}

// forward sends a request to the leaders that can serve it and returns the client's response.
// Where a leader knows a newer configuration that routes the queue elsewhere, it waits for that
// one and builds the call anew.
func (h *clientHandler) forward(to target, newCall func(*router.View, *opconfig.Route) *router.Call) protocol.JobResponse {
	call := newCall(to.view, to.route)
	for {
		response, progress := h.run(call, to.deadline)
		if progress != router.ConfigOutdated {
			return response
		}
		view, ok := h.awaitNewerView(to.view.Config.Version, response.Moved, to.deadline)
		if !ok {
			return call.TimeoutResponse()
		}
		route, ok := view.Config.Route(to.route.Queue())
		if !ok {
			return call.TimeoutResponse()
		}
		to.view, to.route = view, route
		next := newCall(view, route)
		next.InheritOutcome(call)
		call = next
	}
}

// awaitNewerView waits for a configuration that is newer than the present one and at least of
// the wanted version.
func (h *clientHandler) awaitNewerView(present, wanted int64, deadline time.Duration) (*router.View, bool) {
	for h.clock() < h.bounded(deadline) {
		if view, valid := h.watcher.current(); valid && view.Config.Version > present && view.Config.Version >= wanted {
			return view, true
		}
		h.pause(retryPause)
	}
	return nil, false
}

// run sends a call's requests, again and again, until the call has its response or the deadline
// is past.
func (h *clientHandler) run(call *router.Call, deadline time.Duration) (protocol.JobResponse, router.Progress) {
	pause := retryPause
	for h.clock() < h.bounded(deadline) {
		response, progress := h.attempt(call, deadline)
		switch progress {
		case router.Finished, router.ConfigOutdated:
			return response, progress
		case router.Retry:
			h.pause(max(0, min(pause, h.bounded(deadline)-h.clock())))
			pause = min(2*pause, maxRetryPause)
		}
	}
	return call.TimeoutResponse(), router.Finished
}

// attempt sends a call's next request once, and records what it shows of the shard's leader.
func (h *clientHandler) attempt(call *router.Call, deadline time.Duration) (protocol.JobResponse, router.Progress) {
	shard, message := call.Next()
	sentAt := h.clock()
	address := h.watcher.LeaderOf(shard, sentAt)
	response, err := h.send(address, message, deadline)
	switch {
	case err != nil:
		call.NoResponse()
		h.watcher.LeaderUnresponsive(shard, address, sentAt, h.clock())
		return response, router.Retry
	case response.Status == protocol.StatusNotLeader:
		h.watcher.UpdateLeader(shard, address, response.Owner)
		return response, router.Retry
	}
	if !response.Unknown { // else it may be about to stop
		h.watcher.LeaderResponded(shard, address)
	}
	return call.HandleResponse(response)
}

// send sends a message to a control-plane node. The end of the client's connection does not end
// it: the node may have received the message already.
func (h *clientHandler) send(address string, message any, deadline time.Duration) (protocol.JobResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), min(attemptTimeout, h.bounded(deadline)-h.clock()))
	defer cancel()
	got, err := h.watcher.nodes.Call(ctx, address, message)
	if err != nil {
		return protocol.JobResponse{}, err
	}
	response, _ := got.(protocol.JobResponse) // of another type: as from a node that is not the leader
	return response, nil
}
