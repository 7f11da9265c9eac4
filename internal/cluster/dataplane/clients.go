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
	"basaltloft/internal/shared/saturating"
)

// clientHandler serves the requests of clients.
type clientHandler struct {
	watcher          *configWatcher
	clock            func() time.Duration
	draining         func() bool
	responseDeadline func() time.Duration // the time by which all requests must have a response; never until the drain
	pause            func(time.Duration)
	waiting          atomic.Int32 // requests that wait for a configuration
}

const (
	// defaultTimeout is a request's timeout where neither its route nor the client sets one.
	defaultTimeout = 3 * time.Second
	// retryShare is the share of a request's timeout after which it is no longer retried.
	retryShare = 0.42
	// attemptTimeout bounds the wait for the response to one attempt; a later response may never arrive.
	attemptTimeout = 350 * time.Millisecond
	// retryPause is the pause before the second attempt, and between two checks for a configuration. The
	// pause between attempts doubles with each of them, up to maxRetryPause: an election takes several
	// times as long, and frequent requests would keep the nodes from their other work.
	retryPause    = 25 * time.Millisecond
	maxRetryPause = 100 * time.Millisecond
	// notReadyRetryMs is the Retry-After, in milliseconds, of the responses that this process sends
	// while it has no valid configuration.
	notReadyRetryMs = 1000
	// defaultMaxBodyBytes bounds a job's body where the configuration sets no bound.
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

// target is the destination of a client's request: the route that it matched, the version of the
// configuration that the route is from, and the deadline for retries.
type target struct {
	view     *router.View
	route    *opconfig.Route
	deadline time.Duration
}

// awaitView returns the view and true if it is valid, and else waits until the deadline for a valid
// one: an election of the configuration group's leader, or the start of this process, takes less time
// than a rejected client waits before it retries. At most maxWaiting requests wait, none begins to wait
// during the drain, and the wait ends when the client disconnects.
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

// bounded returns the earlier of a request's deadline and responseDeadline. Loops call it in each round, since
// the drain may begin while a request waits.
func (h *clientHandler) bounded(deadline time.Duration) time.Duration {
	return min(deadline, h.responseDeadline())
}

// serve serves a request that matched a route. The path after the route's prefix is the job's ID.
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

// retryTime returns for how long a request is retried before the client gets an error. It covers an
// election of the shard's leader, which takes about a second, since a rejected client waits longer than
// that before it retries. A nil route stands for a route that isn't known yet; the timeout that the
// route sets is then left out.
func retryTime(r *http.Request, route *opconfig.Route) time.Duration {
	timeout := defaultTimeout
	if route != nil && route.TimeoutMs > 0 {
		timeout = time.Duration(route.TimeoutMs) * time.Millisecond
	}
	if ms, err := strconv.ParseInt(r.Header.Get("Timeout-Ms"), 10, 64); err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return saturating.Duration(retryShare * float64(timeout))
}

// serveJobRequest serves a request for a job's state, for its cancellation or for the number of pending jobs.
func (h *clientHandler) serveJobRequest(w http.ResponseWriter, to target, operation protocol.JobOperation, id string) {
	writeResponse(w, operation, h.forward(to, func(view *router.View, route *opconfig.Route) *router.Call {
		return router.NewJobCall(view, route, operation, id)
	}))
}

// serveSubmit serves the submission of a job.
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

// forward sends a request to the leaders that can serve it and returns the response for the client.
// If a leader has a newer configuration that routes the queue elsewhere, forward waits for that
// configuration and builds the call again from it.
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

// awaitNewerView waits until the deadline for a valid configuration that is newer than the version
// present and at least of the version wanted.
func (h *clientHandler) awaitNewerView(present, wanted int64, deadline time.Duration) (*router.View, bool) {
	for h.clock() < h.bounded(deadline) {
		if view, valid := h.watcher.current(); valid && view.Config.Version > present && view.Config.Version >= wanted {
			return view, true
		}
		h.pause(retryPause)
	}
	return nil, false
}

// run sends a call's requests, with retries, until the call has its response or the deadline has
// passed.
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

// attempt sends a call's next request once, and updates the known leader of the shard from the outcome.
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
	if !response.Unknown { // a leader that doesn't know the outcome may be about to stop
		h.watcher.LeaderResponded(shard, address)
	}
	return call.HandleResponse(response)
}

// send sends a message to a control-plane node and returns its response. It isn't canceled when the
// client disconnects: the node may have received the message already.
func (h *clientHandler) send(address string, message any, deadline time.Duration) (protocol.JobResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), min(attemptTimeout, h.bounded(deadline)-h.clock()))
	defer cancel()
	got, err := h.watcher.nodes.Call(ctx, address, message)
	if err != nil {
		return protocol.JobResponse{}, err
	}
	response, _ := got.(protocol.JobResponse) // another type counts as the response of a node that is not the leader
	return response, nil
}
