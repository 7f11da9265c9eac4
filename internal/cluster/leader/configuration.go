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

// Configuration is a process's replica of the configuration, and what the group's owner does
// with it. It implements group.StateMachine. Its methods may be called concurrently.
type Configuration struct {
	group    Group
	log      *slog.Logger
	inForce  func(*opconfig.Config) // hears of each newer configuration
	leading  func(epoch uint64)     // hears of this process's lead; 0: it has none
	mu       sync.Mutex
	register *opconfig.Register
	changed  chan struct{} // closed at each change
}

// NewConfiguration returns a replica without a configuration.
func NewConfiguration(inForce func(*opconfig.Config), leading func(epoch uint64), log *slog.Logger) *Configuration {
	return &Configuration{inForce: inForce, leading: leading, log: log, register: opconfig.NewRegister(), changed: make(chan struct{})}
}

// SetGroup gives the replica its group, before it is used.
func (c *Configuration) SetGroup(own Group) { c.group = own }

// Apply implements group.StateMachine.
func (c *Configuration) Apply(_ uint64, command []byte) (any, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict, err := c.register.ApplyEncoded(command)
	if err == nil && verdict == opconfig.Accepted {
		c.tell()
	}
	return verdict, err
}

// tell wakes who waits for a change, and tells the shards.
func (c *Configuration) tell() {
	close(c.changed)
	c.changed = make(chan struct{})
	c.inForce(c.register.Current())
	c.log.Info("a configuration is in force", "version", c.register.Version)
}

// Snapshot implements group.StateMachine.
func (c *Configuration) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Snapshot()
}

// Restore implements group.StateMachine.
func (c *Configuration) Restore(content []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.register.Restore(content); err != nil {
		return err
	}
	c.tell()
	return nil
}

// Digest implements group.StateMachine.
func (c *Configuration) Digest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.StateDigest()
}

// BecameLeader implements group.StateMachine.
func (c *Configuration) BecameLeader(epoch uint64) { c.leading(epoch) }

// LostLeadership implements group.StateMachine.
func (c *Configuration) LostLeadership() { c.leading(0) }

// Current returns the newest configuration that this replica has applied; nil: none.
func (c *Configuration) Current() *opconfig.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Current()
}

// Changed returns a channel that is closed at the next change, and the version that is
// applied now.
func (c *Configuration) Changed() (changed <-chan struct{}, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed, c.register.Version
}

// Watch answers a dispatcher: the newest configuration, or that there is no newer one than
// what it has. Leads in the answer is looked at last.
func (c *Configuration) Watch(have int64) protocol.WatchResponse {
	answer := protocol.WatchResponse{Leader: c.group.Leader().Address}
	if !c.group.IsLeader() {
		return answer
	}
	c.read(have, &answer)
	answer.Leads = c.group.IsLeader()
	return answer
}

func (c *Configuration) read(have int64, answer *protocol.WatchResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer.Version = c.register.Version
	if answer.Version <= have {
		return
	}
	answer.Content = c.register.Content
	answer.Moved = c.register.MovedQueues()
}

// HandleOperatorRequest carries out an operator's call, if this process owns the configuration. A status
// of 0 says that it does not, and nothing was done.
func (c *Configuration) HandleOperatorRequest(request protocol.OperatorRequest, reply func(protocol.OperatorResponse)) {
	switch {
	case !c.group.IsLeader():
		reply(c.notOwner())
	case request.Replace:
		c.replace(request, reply)
	default:
		reply(c.newest())
	}
}

func (c *Configuration) notOwner() protocol.OperatorResponse {
	return protocol.OperatorResponse{Leader: c.group.Leader().Address}
}

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
	c.group.Propose(command, func(result any, err error) { reply(c.verdict(result, err)) })
}

// verdict turns what became of a change into an answer: only a committed command confirms or
// refuses it.
func (c *Configuration) verdict(result any, err error) protocol.OperatorResponse {
	switch {
	case errors.Is(err, group.ErrNotLeader):
		return c.notOwner()
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

// newest returns the newest configuration; what was read counts only while the lease lasts.
func (c *Configuration) newest() protocol.OperatorResponse {
	c.mu.Lock()
	content := c.register.Content
	c.mu.Unlock()
	if !c.group.IsLeader() {
		return c.notOwner()
	}
	if len(content) == 0 {
		return protocol.OperatorResponse{Status: http.StatusNotFound, Reason: "there is no configuration yet"}
	}
	return protocol.OperatorResponse{Status: http.StatusOK, Content: content}
}
