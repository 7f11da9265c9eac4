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

// configAPI answers operators over HTTP and dispatchers that watch the configuration. It forwards an
// operator's call to the leader of the configuration's group, once.
type configAPI struct {
	node   *Node
	config *leader.Configuration
}

const (
	maxConfigBytes = 4 << 20                 // of an operator's POST
	commitTimeout  = 2500 * time.Millisecond // of a change of the configuration
	forwardTimeout = 2800 * time.Millisecond // longer than commitTimeout: the leader's response comes first
	maxWatchWaitMs = 2000                    // how long a dispatcher's watch is kept open at most
)

// watch answers a dispatcher. It waits up to the requested time for a configuration that is newer than
// the dispatcher's.
func (o *configAPI) watch(request protocol.WatchRequest) protocol.WatchResponse {
	receivedAt := time.Now()
	changed, version := o.config.Changed()
	if version <= request.Have && request.WaitMs > 0 && o.node.configGroup.IsLeader() {
		select {
		case <-changed:
		case <-o.node.stop:
		case <-time.After(time.Duration(min(request.WaitMs, maxWatchWaitMs)) * time.Millisecond):
		}
	}
	nodes := o.node.nodeAddresses()
	shardLeaders := o.node.shardLeaders()
	held := time.Since(receivedAt) // before Version is read: see WatchResponse.HeldMs
	response := o.config.Watch(request.Have)
	response.Cores = nodes
	response.Owners = shardLeaders
	response.HeldMs = held.Milliseconds()
	return response
}

// handle carries out an operator's call, if this node leads the configuration's group. It waits for the
// commit, for commitTimeout at most: the response then says that the outcome is not known.
func (o *configAPI) handle(request protocol.OperatorRequest) protocol.OperatorResponse {
	responses := make(chan protocol.OperatorResponse, 1)
	o.config.HandleOperatorRequest(request, func(response protocol.OperatorResponse) { responses <- response })
	select {
	case response := <-responses:
		return response
	case <-time.After(commitTimeout):
		return protocol.OperatorResponse{Status: http.StatusGatewayTimeout, Reason: "the commit was not seen: send the same again"}
	case <-o.node.stop:
		return protocol.OperatorResponse{Status: http.StatusGatewayTimeout, Reason: "this process ends: send the same again"}
	}
}

// serveReplace serves an operator's POST of a configuration.
func (o *configAPI) serveReplace(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	tooLarge := &http.MaxBytesError{}
	switch {
	case errors.As(err, &tooLarge):
		http.Error(w, "the configuration is too large: send at most "+strconv.Itoa(maxConfigBytes)+" bytes", http.StatusRequestEntityTooLarge)
		return
	case err != nil: // the same may arrive whole when it is sent again: this rejects nothing
		http.Error(w, "the configuration did not come whole: send the same again", http.StatusServiceUnavailable)
		return
	}
	base, err := strconv.ParseInt(r.Header.Get("Base-Version"), 10, 64)
	if err != nil {
		http.Error(w, "Base-Version must be the version that the configuration builds on", http.StatusBadRequest)
		return
	}
	o.respond(w, protocol.OperatorRequest{Replace: true, Base: base, Content: content})
}

// serveGet serves an operator's GET of the newest configuration.
func (o *configAPI) serveGet(w http.ResponseWriter, _ *http.Request) {
	o.respond(w, protocol.OperatorRequest{})
}

// respond forwards a call and writes its response.
func (o *configAPI) respond(w http.ResponseWriter, request protocol.OperatorRequest) {
	response := o.forward(request)
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
	_, _ = w.Write(response.Content) // an error means that the operator has gone
}

// forward handles a call where this node is the leader, and else sends it to the leader, once.
func (o *configAPI) forward(request protocol.OperatorRequest) protocol.OperatorResponse {
	local := o.handle(request)
	if local.Status != protocol.StatusNotLeader || local.Leader == "" || local.Leader == o.node.self.Address {
		return local
	}
	answer, err := o.node.peers.call(local.Leader, forwardTimeout, request)
	if err != nil {
		return protocol.OperatorResponse{Status: http.StatusGatewayTimeout, Reason: "the owner did not answer: send the same again"}
	}
	response, ok := answer.(protocol.OperatorResponse)
	if !ok {
		return protocol.OperatorResponse{Status: http.StatusGatewayTimeout, Reason: "the owner answered otherwise: run the same version on all core machines"}
	}
	return response
}
