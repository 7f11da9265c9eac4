package controlplane

import (
	"time"

	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/protocol"
)

const (
	joinEvery  = 400 * time.Millisecond
	joinSlowly = 2 * time.Second
)

// join makes this process part of its groups: by forming those of a founding that it is part
// of, or by asking their leaders.
func (c *Node) join() {
	c.formLeft()
	c.start()
	for c.wait(c.askToJoin()) {
	}
}

func (c *Node) wait(pause time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(pause):
		return true
	}
}

// formLeft forms the groups that a founding of which this process is part has not formed yet.
func (c *Node) formLeft() {
	founding := c.identity.Founding
	if founding == nil {
		return
	}
	if _, part := founding.Find(c.self.ID); !part {
		return
	}
	for name, g := range c.groups {
		if g.IsBootstrapped() {
			continue
		}
		if err := g.Bootstrap(*founding); err != nil {
			c.log.Error("a group can't be formed: check the disk", "group", name, "error", err)
		}
	}
}

// seeds lists the seeds as they are now.
func (c *Node) seeds() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settings.SeedAddresses()
}

// askToJoin asks for a place in each group in which this process has no vote, and returns
// when to ask again.
func (c *Node) askToJoin() time.Duration {
	asked := false
	for name, g := range c.groups {
		for _, address := range leader.JoinTargets(g.Membership(), g.Leader(), c.self.ID, c.seeds()) {
			asked = true
			c.peers.cast(address, protocol.JoinRequest{Group: name, Member: c.self})
		}
	}
	if asked {
		return joinEvery
	}
	return joinSlowly
}

// takeJoin notes that a process wants to join, and passes it on to the leader once.
func (c *Node) takeJoin(ask protocol.JoinRequest) {
	g := c.groups[ask.Group]
	if g == nil || !c.running.Load() {
		return
	}
	g.RequestJoin(ask.Member)
	address := leader.JoinRelayAddress(ask, g.Leader(), c.self.ID)
	ask.Relayed = true
	c.peers.cast(address, ask)
}

// takeLeave notes that a member ends for now.
func (c *Node) takeLeave(notice protocol.LeaveNotice) {
	if g := c.groups[notice.Group]; g != nil && c.running.Load() {
		g.RequestLeave(notice.ID)
	}
}

// tellLeave tells the leaders of its groups that this process ends, so that a learner that
// waits takes its place at once. It returns whether one waits in some group where this
// process still votes.
func (c *Node) tellLeave() (waits bool) {
	for name, g := range c.groups {
		for _, address := range leader.LeaveTargets(g.Membership(), c.self.ID, c.seeds()) {
			waits = true
			c.peers.cast(address, protocol.LeaveNotice{Group: name, ID: c.self.ID})
		}
	}
	return waits
}
