package leader

import (
	"log/slog"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/group"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
)

// Configuration is a node's replica of the operator's configuration. While the node leads the group, it
// also answers dispatchers and operators. It implements group.StateMachine. Its methods may be called
// concurrently.
type Configuration struct {
	group     Group
	log       *slog.Logger
	onApplied func(*opconfig.Config) // called with each newer configuration, under mu
	onEpoch   func(epoch uint64)     // called with the epoch of this replica's leadership; 0: it is not the leader

	mu       sync.Mutex
	register *opconfig.Register
	changed  chan struct{} // closed, and replaced, at each change
}

// NewConfiguration returns a replica without a configuration. onApplied is called with each newer
// configuration and must not call the replica; onEpoch is called when this replica becomes the
// leader, and with 0 when it loses its leadership.
func NewConfiguration(onApplied func(*opconfig.Config), onEpoch func(epoch uint64), log *slog.Logger) *Configuration {
	return &Configuration{onApplied: onApplied, onEpoch: onEpoch, log: log, register: opconfig.NewRegister(), changed: make(chan struct{})}
}

// SetGroup sets the replica's group. It must be called once, before any method other than those of
// group.StateMachine.
func (c *Configuration) SetGroup(replicaGroup Group) { c.group = replicaGroup }

// Apply implements group.StateMachine. Its result is an opconfig.Verdict.
func (c *Configuration) Apply(_ uint64, command []byte) (any, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict, err := c.register.ApplyEncoded(command)
	if err == nil && verdict == opconfig.Accepted {
		c.notifyChangedLocked()
	}
	return verdict, err
}

// notifyChangedLocked wakes the watchers of Changed and calls onApplied.
func (c *Configuration) notifyChangedLocked() {
	close(c.changed)
	c.changed = make(chan struct{})
	c.onApplied(c.register.Current())
	c.log.Info("configuration applied", "version", c.register.Version)
}

// Snapshot implements group.StateMachine.
func (c *Configuration) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Snapshot()
}

// Restore implements group.StateMachine.
func (c *Configuration) Restore(snapshot []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.register.Restore(snapshot); err != nil {
		return err
	}
	c.notifyChangedLocked()
	return nil
}

// Digest implements group.StateMachine.
func (c *Configuration) Digest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.StateDigest()
}

// BecameLeader implements group.StateMachine.
func (c *Configuration) BecameLeader(epoch uint64) { c.onEpoch(epoch) }

// LostLeadership implements group.StateMachine.
func (c *Configuration) LostLeadership() { c.onEpoch(0) }

// Current returns the newest configuration that this replica has applied; nil: none.
func (c *Configuration) Current() *opconfig.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Current()
}

// Changed returns a channel that is closed at the next change, and the version that is applied now;
// 0: none.
func (c *Configuration) Changed() (changed <-chan struct{}, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed, c.register.Version
}

// Watch returns the response to a dispatcher that has the version haveVersion (0: none): the newest
// configuration, or that there is no newer one. It does not wait; see Changed. It checks the lease after it
// has read the state.
func (c *Configuration) Watch(haveVersion int64) protocol.WatchResponse {
	response := protocol.WatchResponse{Leader: c.group.Leader().Address}
	if !c.group.IsLeader() {
		return response
	}
	c.readNewerThan(haveVersion, &response)
	response.Leads = c.group.IsLeader()
	return response
}

// readNewerThan sets the response's version to the newest one, and its content if that is newer than
// haveVersion.
func (c *Configuration) readNewerThan(haveVersion int64, response *protocol.WatchResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	response.Version = c.register.Version
	if response.Version <= haveVersion {
		return
	}
	response.Content = c.register.Content
	response.Moved = c.register.MovedQueues()
}

// HandleOperatorRequest executes an operator's request, if this process leads the configuration's
// group. It calls reply once, with StatusNotLeader if this process is not the leader.
func (c *Configuration) HandleOperatorRequest(request protocol.OperatorRequest, reply func(protocol.OperatorResponse)) {
	switch {
	case !c.group.IsLeader():
		reply(c.notLeaderResponse())
	case request.Replace:
		c.replace(request, reply)
	default:
		reply(c.read())
	}
}

// notLeaderResponse returns the response of a process that is not the leader. It has the leader's address,
// if that is known here.
func (c *Configuration) notLeaderResponse() protocol.OperatorResponse {
	return protocol.OperatorResponse{Status: protocol.StatusNotLeader, Leader: c.group.Leader().Address}
}

// replace validates a new configuration and proposes it.
func (c *Configuration) replace(request protocol.OperatorRequest, reply func(protocol.OperatorResponse)) {
	config, err := opconfig.Parse(request.Content)
	if err != nil {
		reply(protocol.OperatorResponse{Status: http.StatusBadRequest, Reason: err.Error()})
		return
	}
	change := opconfig.Change{Base: request.Base, Version: config.Version, Content: request.Content}
	command, err := change.Encode()
	if err != nil {
		reply(protocol.OperatorResponse{Status: http.StatusServiceUnavailable, Reason: err.Error()})
		return
	}
	c.group.Propose(command, func(result any, err error) { reply(c.replacedResponse(result, err)) })
}

// replacedResponse returns the response for the outcome of a proposal. Only a committed command confirms
// or rejects a change.
func (c *Configuration) replacedResponse(result any, err error) protocol.OperatorResponse {
	switch {
	case errors.Is(err, group.ErrNotLeader):
		return c.notLeaderResponse()
	case err != nil:
		return protocol.OperatorResponse{Status: http.StatusServiceUnavailable, Reason: err.Error()}
	}
	switch result {
	case opconfig.Accepted, opconfig.AlreadyAccepted:
		return protocol.OperatorResponse{Status: http.StatusOK}
	case opconfig.Conflict:
		return protocol.OperatorResponse{Status: http.StatusPreconditionFailed, Reason: "another version is current: read it and build on it"}
	case opconfig.Indeterminate:
		return protocol.OperatorResponse{Status: http.StatusServiceUnavailable, Reason: "so old a version that it can't be told whether it was taken: read the configuration and build on it"}
	}
	return protocol.OperatorResponse{Status: http.StatusConflict, Reason: "the version is not above the current one: choose a higher one"}
}

// read returns the newest configuration, if this process leads the group. It checks the lease after it has
// read the configuration.
func (c *Configuration) read() protocol.OperatorResponse {
	c.mu.Lock()
	content := c.register.Content
	c.mu.Unlock()
	if !c.group.IsLeader() {
		return c.notLeaderResponse()
	}
	if len(content) == 0 {
		return protocol.OperatorResponse{Status: http.StatusNotFound, Reason: "there is no configuration yet"}
	}
	return protocol.OperatorResponse{Status: http.StatusOK, Content: content}
}
