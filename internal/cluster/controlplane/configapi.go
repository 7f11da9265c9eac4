package controlplane

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/protocol"
)

// configAPI serves the operators' HTTP API and the dispatchers' watches of the configuration. It forwards
// an operator's request to the leader of the configuration's group at most once.
type configAPI struct {
	node   *Node
	config *leader.Configuration
}

const (
	maxConfigBytes = 4 << 20                 // maximum size of an operator's POST
	commitTimeout  = 2500 * time.Millisecond // how long a request waits for its configuration change to commit
	forwardTimeout = 2800 * time.Millisecond // longer than commitTimeout, so that the leader responds first
	maxWatchWaitMs = 2000                    // maximum time for which a dispatcher's watch is kept open
)

// watch returns the response to a dispatcher's watch. If this node is the leader and the dispatcher has the
// newest configuration, watch waits for a newer one, for the requested time or maxWatchWaitMs, whichever is
// shorter.
func (a *configAPI) watch(request protocol.WatchRequest) protocol.WatchResponse {
	receivedAt := time.Now()
	changed, version := a.config.Changed()
	if version <= request.Have && request.WaitMs > 0 && a.node.configGroup.IsLeader() {
		select {
		case <-changed:
		case <-a.node.stop:
		case <-time.After(time.Duration(min(request.WaitMs, maxWatchWaitMs)) * time.Millisecond):
		}
	}
	nodes := a.node.nodeAddresses()
	shardLeaders := a.node.shardLeaders()
	waited := time.Since(receivedAt) // measured before Version is read; see WatchResponse.HeldMs
	response := a.config.Watch(request.Have)
	response.Cores = nodes
	response.Owners = shardLeaders
	response.HeldMs = waited.Milliseconds()
	return response
}

// handle executes an operator's request if this node leads the configuration's group. It waits for the
// commit for at most commitTimeout; after that, the response reports that the outcome is unknown.
func (a *configAPI) handle(request protocol.OperatorRequest) protocol.OperatorResponse {
	responses := make(chan protocol.OperatorResponse, 1)
	a.config.HandleOperatorRequest(request, func(response protocol.OperatorResponse) { responses <- response })
	select {
	case response := <-responses:
		return response
	case <-time.After(commitTimeout):
		return protocol.OperatorResponse{Status: http.StatusGatewayTimeout, Reason: "the commit was not seen: send the same again"}
	case <-a.node.stop:
		return protocol.OperatorResponse{Status: http.StatusGatewayTimeout, Reason: "this process ends: send the same again"}
	}
}

// serveReplace handles an operator's POST of a new configuration.
func (a *configAPI) serveReplace(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	tooLarge := &http.MaxBytesError{}
	switch {
	case errors.As(err, &tooLarge):
		http.Error(w, "the configuration is too large: send at most "+strconv.Itoa(maxConfigBytes)+" bytes", http.StatusRequestEntityTooLarge)
		return
	case err != nil: // temporary: the complete body may arrive on a retry
		http.Error(w, "the configuration did not come whole: send the same again", http.StatusServiceUnavailable)
		return
	}
	base, err := strconv.ParseInt(r.Header.Get("Base-Version"), 10, 64)
	if err != nil {
		http.Error(w, "Base-Version must be the version that the configuration builds on", http.StatusBadRequest)
		return
	}
	a.respond(w, protocol.OperatorRequest{Replace: true, Base: base, Content: content})
}

// serveGet handles an operator's GET of the newest configuration.
func (a *configAPI) serveGet(w http.ResponseWriter, _ *http.Request) {
	a.respond(w, protocol.OperatorRequest{})
}

// respond passes a request to the leader and writes the response.
func (a *configAPI) respond(w http.ResponseWriter, request protocol.OperatorRequest) {
	response := a.forward(request)
	if response.Status == protocol.StatusNotLeader {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the configuration has no owner at this moment: try again", http.StatusServiceUnavailable)
		return
	}
	if response.Status != http.StatusOK {
		http.Error(w, response.Reason, int(response.Status))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(response.Content) // an error means that the client has disconnected
}

// forward executes a request on this node if it is the leader. Otherwise it sends the request once to the
// leader, if known.
func (a *configAPI) forward(request protocol.OperatorRequest) protocol.OperatorResponse {
	local := a.handle(request)
	if local.Status != protocol.StatusNotLeader || local.Leader == "" || local.Leader == a.node.self.Address {
		return local
	}
	answer, err := a.node.peers.call(local.Leader, forwardTimeout, request)
	if err != nil {
		return protocol.OperatorResponse{Status: http.StatusGatewayTimeout, Reason: "the owner did not answer: send the same again"}
	}
	response, ok := answer.(protocol.OperatorResponse)
	if !ok {
		return protocol.OperatorResponse{Status: http.StatusGatewayTimeout, Reason: "the owner answered otherwise: run the same version on all core machines"}
	}
	return response
}
