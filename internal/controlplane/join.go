package controlplane

import (
	"slices"
	"time"

	"basaltloft/coord/replica"
	"basaltloft/internal/protocol"
)

const (
	helloEvery  = 100 * time.Millisecond
	helloWithin = 500 * time.Millisecond
	joinEvery   = 400 * time.Millisecond
	joinSlowly  = 2 * time.Second
)

// join makes this process part of its groups: by founding them, on the first start of the
// whole system, or by asking their leaders.
func (c *Core) join() {
	if !c.formed() && c.settings.Bootstrap && c.isSeed() {
		c.found()
	}
	c.formLeft()
	c.start()
	for c.wait(c.askToJoin()) {
	}
}

func (c *Core) wait(pause time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(pause):
		return true
	}
}

func (c *Core) formed() bool {
	if c.founding.Load() != nil {
		return true
	}
	for _, g := range c.groups {
		if g.Formed() {
			return true
		}
	}
	return false
}

// formLeft forms the groups that a founding of which this process is part has not formed yet.
func (c *Core) formLeft() {
	founding := c.founding.Load()
	if founding == nil {
		return
	}
	if _, part := founding.Find(c.self.ID); !part {
		return
	}
	for name, g := range c.groups {
		if g.Formed() {
			continue
		}
		if err := g.Form(*founding); err != nil {
			c.log.Error("a group can't be formed: check the disk", "group", name, "error", err)
		}
	}
}

func (c *Core) seeds() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	seeds := c.settings.SeedAddresses()
	slices.Sort(seeds)
	return slices.Compact(seeds)
}

func (c *Core) isSeed() bool { return slices.Contains(c.seeds(), c.self.Address) }

// found waits until the first membership is decided: by the first of the seeds, once it
// knows all of them. The decision is on that seed's disk before anyone hears of it.
func (c *Core) found() {
	seeds := c.seeds()
	founder := seeds[0] == c.self.Address
	for {
		members := []replica.Member{c.self}
		for _, seed := range seeds {
			if seed == c.self.Address {
				continue
			}
			got, err := c.peers.call(seed, helloWithin, protocol.Hello{Member: c.self})
			answer, ok := got.(protocol.HelloAnswer)
			if err != nil || !ok {
				continue
			}
			if answer.Founding != nil {
				c.adopt(*answer.Founding)
				return
			}
			members = append(members, answer.Member)
		}
		if founder && len(members) == len(seeds) {
			c.adopt(replica.Membership{Voters: members})
			return
		}
		if !c.wait(helloEvery) {
			return
		}
	}
}

// adopt keeps the first membership on disk, before it is acted on.
func (c *Core) adopt(founding replica.Membership) {
	c.identity.Founding = &founding
	if err := c.identity.save(c.settings.DataDir); err != nil {
		c.log.Error("the founding can't be kept: check the disk", "error", err)
		return
	}
	c.founding.Store(&founding)
	c.log.Info("the groups are founded", "voters", len(founding.Voters))
}

// askToJoin asks for a place in each group in which this process has no vote, and returns
// when to ask again.
func (c *Core) askToJoin() time.Duration {
	asked := false
	for name, g := range c.groups {
		members := g.Members()
		if members.Votes(c.self.ID) && g.Leader().ID != "" {
			continue
		}
		asked = true
		c.spread(members, protocol.Join{Group: name, Member: c.self})
	}
	if asked {
		return joinEvery
	}
	return joinSlowly
}

func (c *Core) spread(members replica.Membership, ask protocol.Join) {
	addresses := c.seeds()
	for _, member := range members.Everyone() {
		addresses = append(addresses, member.Address)
	}
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		c.peers.cast(address, ask)
	}
}

// takeJoin notes that a process wants to join, and passes it on to the leader once.
func (c *Core) takeJoin(ask protocol.Join) {
	g := c.groups[ask.Group]
	if g == nil || !c.running.Load() {
		return
	}
	g.AskToJoin(ask.Member)
	if leader := g.Leader(); !ask.Relayed && leader.Address != "" && leader.ID != c.self.ID {
		ask.Relayed = true
		c.peers.cast(leader.Address, ask)
	}
}
