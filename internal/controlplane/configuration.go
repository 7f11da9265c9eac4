package controlplane

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/group"
	"basaltloft/internal/opconfig"
	"basaltloft/internal/protocol"
)

// configuration is this process's replica of the configuration, and what the group's owner
// does with it. It implements group.StateMachine.
type configuration struct {
	core  *Core
	group *group.Group

	mu       sync.Mutex
	register *opconfig.Register
	changed  chan struct{} // closed at each change
}

const (
	mostConfigBytes = 4 << 20
	commitWithin    = 2500 * time.Millisecond
	passOnWithin    = 2800 * time.Millisecond
	mostFeedWait    = 2000 // ms
)

func newConfiguration(c *Core) *configuration {
	return &configuration{core: c, register: opconfig.NewRegister(), changed: make(chan struct{})}
}

// Apply implements group.StateMachine.
func (c *configuration) Apply(_ uint64, command []byte) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict := c.register.ApplyBytes(command)
	if verdict == opconfig.Taken {
		c.tell()
	}
	return verdict
}

// tell wakes who waits for a change, and tells the shards.
func (c *configuration) tell() {
	close(c.changed)
	c.changed = make(chan struct{})
	for _, s := range c.core.shards {
		s.takeConfig(c.register.Current())
	}
	c.core.log.Info("a configuration is in force", "version", c.register.Version)
}

// Snapshot implements group.StateMachine.
func (c *configuration) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Snapshot()
}

// Restore implements group.StateMachine.
func (c *configuration) Restore(content []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.register.Restore(content); err != nil {
		return err
	}
	c.tell()
	return nil
}

// Leading implements group.StateMachine.
func (c *configuration) Leading(epoch uint64) { c.core.reader.lead(epoch) }

// Following implements group.StateMachine.
func (c *configuration) Following() { c.core.reader.lead(0) }

// feed answers a dispatcher: the newest configuration, or that there is no newer one, for
// which it waits a while.
func (c *configuration) feed(request protocol.Feed) protocol.FeedAnswer {
	if !c.group.Leads() {
		return protocol.FeedAnswer{Leader: c.group.Leader().Address, Cores: c.core.cores()}
	}
	c.mu.Lock()
	changed, version := c.changed, c.register.Version
	c.mu.Unlock()
	if version <= request.Have && request.WaitMs > 0 {
		select {
		case <-changed:
		case <-c.core.stop:
		case <-time.After(time.Duration(min(request.WaitMs, mostFeedWait)) * time.Millisecond):
		}
	}
	answer := c.feedAnswer(request.Have)
	answer.Leads = c.group.Leads()
	return answer
}

func (c *configuration) feedAnswer(have int64) protocol.FeedAnswer {
	answer := protocol.FeedAnswer{Cores: c.core.cores(), Leader: c.core.self.Address}
	for _, s := range c.core.shards {
		answer.Owners = append(answer.Owners, s.group.Leader().Address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	answer.Version = c.register.Version
	if answer.Version <= have {
		return answer
	}
	answer.Content = c.register.Content
	answer.Backends = map[string][]string{}
	for queue, services := range c.register.Backends {
		if len(services) > 1 {
			answer.Backends[queue] = services
		}
	}
	return answer
}

// operate carries out an operator's call, if this process owns the configuration.
func (c *configuration) operate(request protocol.Operate) protocol.OperateAnswer {
	if !c.group.Leads() {
		return protocol.OperateAnswer{Leader: c.group.Leader().Address}
	}
	if !request.Replace {
		return c.read()
	}
	config, err := opconfig.Parse(request.Content)
	if err != nil {
		return protocol.OperateAnswer{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	change := opconfig.Change{Base: request.Base, Version: config.Version, Content: request.Content}
	content, err := change.Encode()
	if err != nil {
		return protocol.OperateAnswer{Status: http.StatusServiceUnavailable, Reason: err.Error()}
	}
	return c.commit(content)
}

func (c *configuration) commit(content []byte) protocol.OperateAnswer {
	answer := make(chan protocol.OperateAnswer, 1)
	c.group.Propose(content, func(result any, err error) { answer <- c.verdict(result, err) })
	select {
	case got := <-answer:
		return got
	case <-time.After(commitWithin):
		return protocol.OperateAnswer{Status: http.StatusGatewayTimeout, Reason: "the commit was not seen: send the same again"}
	case <-c.core.stop:
		return protocol.OperateAnswer{Status: http.StatusGatewayTimeout, Reason: "this process ends: send the same again"}
	}
}

func (c *configuration) verdict(result any, err error) protocol.OperateAnswer {
	if errors.Is(err, group.ErrNotLeader) {
		return protocol.OperateAnswer{Leader: c.group.Leader().Address}
	}
	if err != nil {
		return protocol.OperateAnswer{Status: http.StatusServiceUnavailable, Reason: err.Error()}
	}
	switch result {
	case opconfig.Taken, opconfig.WasTaken:
		return protocol.OperateAnswer{Status: http.StatusOK}
	case opconfig.Conflict:
		return protocol.OperateAnswer{Status: http.StatusPreconditionFailed, Reason: "another version is current: read it and build on it"}
	}
	return protocol.OperateAnswer{Status: http.StatusConflict, Reason: "the version is not above the current one: choose a higher one"}
}

// read returns the newest configuration; what was read counts only while the lease lasts.
func (c *configuration) read() protocol.OperateAnswer {
	c.mu.Lock()
	content := c.register.Content
	c.mu.Unlock()
	if !c.group.Leads() {
		return protocol.OperateAnswer{Leader: c.group.Leader().Address}
	}
	if len(content) == 0 {
		return protocol.OperateAnswer{Status: http.StatusNotFound, Reason: "there is no configuration yet"}
	}
	return protocol.OperateAnswer{Status: http.StatusOK, Content: content}
}

// serveReplace takes an operator's configuration.
func (c *configuration) serveReplace(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostConfigBytes))
	if err != nil {
		http.Error(w, "the configuration is cut short or too large", http.StatusBadRequest)
		return
	}
	base, err := strconv.ParseInt(r.Header.Get("Base-Version"), 10, 64)
	if err != nil {
		http.Error(w, "Base-Version must be the version that the configuration builds on", http.StatusBadRequest)
		return
	}
	c.answer(w, protocol.Operate{Replace: true, Base: base, Content: content})
}

// serveGet answers with the newest configuration.
func (c *configuration) serveGet(w http.ResponseWriter, _ *http.Request) {
	c.answer(w, protocol.Operate{})
}

func (c *configuration) answer(w http.ResponseWriter, request protocol.Operate) {
	got := c.passOn(request)
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

// passOn asks the owner of the configuration, wherever it is.
func (c *configuration) passOn(request protocol.Operate) protocol.OperateAnswer {
	got := c.operate(request)
	if got.Status != 0 || got.Leader == "" || got.Leader == c.core.self.Address {
		return got
	}
	answer, err := c.core.peers.call(got.Leader, passOnWithin, request)
	if err != nil {
		return protocol.OperateAnswer{Status: http.StatusGatewayTimeout, Reason: "the owner did not answer: send the same again"}
	}
	passed, ok := answer.(protocol.OperateAnswer)
	if !ok {
		return protocol.OperateAnswer{}
	}
	return passed
}
