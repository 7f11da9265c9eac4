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

// operators is the operator's interface: it passes each call to the owner of the
// configuration, once.
type operators struct {
	core   *Node
	config *leader.Configuration
}

const (
	badGateway      = http.StatusBadGateway
	mostConfigBytes = 4 << 20
	commitWithin    = 2500 * time.Millisecond
	passOnWithin    = 2800 * time.Millisecond
	mostFeedWait    = 2000 // ms
)

// feed answers a dispatcher, waiting a while for a newer configuration than it has.
func (o *operators) feed(request protocol.WatchRequest) protocol.WatchResponse {
	came := time.Now()
	changed, version := o.config.Changed()
	if version <= request.Have && request.WaitMs > 0 && o.core.configGroup.IsLeader() {
		select {
		case <-changed:
		case <-o.core.stop:
		case <-time.After(time.Duration(min(request.WaitMs, mostFeedWait)) * time.Millisecond):
		}
	}
	cores, owners := o.core.cores(), o.core.owners()
	held := time.Since(came)
	answer := o.config.Watch(request.Have)
	answer.Cores, answer.Owners, answer.HeldMs = cores, owners, held.Milliseconds()
	return answer
}

// operate carries out an operator's call, if this process owns the configuration.
func (o *operators) operate(request protocol.OperatorRequest) protocol.OperatorResponse {
	answer := make(chan protocol.OperatorResponse, 1)
	o.config.HandleOperatorRequest(request, func(got protocol.OperatorResponse) { answer <- got })
	select {
	case got := <-answer:
		return got
	case <-time.After(commitWithin):
		return protocol.OperatorResponse{Status: http.StatusGatewayTimeout, Reason: "the commit was not seen: send the same again"}
	case <-o.core.stop:
		return protocol.OperatorResponse{Status: http.StatusGatewayTimeout, Reason: "this process ends: send the same again"}
	}
}

// serveReplace takes an operator's configuration.
func (o *operators) serveReplace(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostConfigBytes))
	tooLarge := &http.MaxBytesError{}
	switch {
	case errors.As(err, &tooLarge):
		http.Error(w, "the configuration is too large: send at most "+strconv.Itoa(mostConfigBytes)+" bytes", http.StatusRequestEntityTooLarge)
		return
	case err != nil: // it may come whole when it is sent again: that is no refusal
		http.Error(w, "the configuration did not come whole: send the same again", http.StatusServiceUnavailable)
		return
	}
	base, err := strconv.ParseInt(r.Header.Get("Base-Version"), 10, 64)
	if err != nil {
		http.Error(w, "Base-Version must be the version that the configuration builds on", http.StatusBadRequest)
		return
	}
	o.answer(w, protocol.OperatorRequest{Replace: true, Base: base, Content: content})
}

// serveGet answers with the newest configuration.
func (o *operators) serveGet(w http.ResponseWriter, _ *http.Request) {
	o.answer(w, protocol.OperatorRequest{})
}

func (o *operators) answer(w http.ResponseWriter, request protocol.OperatorRequest) {
	got := o.passOn(request)
	if got.Status == 0 {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the configuration has no owner at this moment: try again", http.StatusServiceUnavailable)
		return
	}
	if got.Status != http.StatusOK {
		http.Error(w, got.Reason, int(got.Status))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(got.Content)
}

// passOn asks the owner of the configuration, wherever it is, once.
func (o *operators) passOn(request protocol.OperatorRequest) protocol.OperatorResponse {
	got := o.operate(request)
	if got.Status != 0 || got.Leader == "" || got.Leader == o.core.self.Address {
		return got
	}
	answer, err := o.core.peers.call(got.Leader, passOnWithin, request)
	if err != nil {
		return protocol.OperatorResponse{Status: http.StatusGatewayTimeout, Reason: "the owner did not answer: send the same again"}
	}
	passed, ok := answer.(protocol.OperatorResponse)
	if !ok {
		return protocol.OperatorResponse{Status: http.StatusGatewayTimeout, Reason: "the owner answered otherwise: run the same version on all core machines"}
	}
	return passed
}
