package controlplane

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/group"
	"basaltloft/internal/cluster/protocol"
)

const (
	askLeadersEvery  = 500 * time.Millisecond
	askLeadersWithin = 800 * time.Millisecond
	tellDamageEvery  = 10 * time.Second
)

// recoverDisk makes a disk usable whose state can't be read. That state may be the last copy
// of something acknowledged, so it is set aside only once each group is seen to be led by
// others: a lease says that a majority has what this disk had. Until then the process serves
// nothing and says why. It stays damaged where the context ended first.
func (c *Node) recoverDisk(ctx context.Context) error {
	if c.damaged == nil {
		return nil
	}
	toldAt := time.Time{}
	for !c.othersLead() {
		if time.Since(toldAt) > tellDamageEvery {
			toldAt = time.Now()
			c.log.Error("the state on disk can't be used and others don't lead all groups: nothing is touched; bring the other core machines back, or restore this disk", "error", c.damaged.Error())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(askLeadersEvery):
		}
	}
	c.log.Error("the state on disk can't be used and is set aside: this process joins anew", "error", c.damaged.Error())
	for _, g := range c.groups { // those that could be read; none runs
		g.Close()
	}
	if err := setAside(c.settings.DataDir); err != nil {
		return errors.Wrap(err, "check the disk")
	}
	c.groups = map[string]*group.Group{}
	c.settings.Bootstrap = false // the system has been started long since
	if err := c.open(); err != nil {
		return errors.Wrap(err, "check the disk")
	}
	c.damaged = nil
	return nil
}

// othersLead tells whether each group has a leader with a lease among the seeds and the
// members that they name.
func (c *Node) othersLead() bool {
	led := map[string]bool{}
	asked := map[string]bool{c.self.Address: true}
	waiting := c.seeds()
	for len(waiting) > 0 {
		address := waiting[0]
		waiting = waiting[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		got, err := c.peers.call(address, askLeadersWithin, protocol.StatusRequest{})
		status, ok := got.(protocol.StatusResponse)
		if err != nil || !ok {
			continue
		}
		for _, g := range status.Groups {
			led[g.Name] = led[g.Name] || g.Leads
			for _, member := range g.Members.AllMembers() {
				waiting = append(waiting, member.Address)
			}
		}
	}
	if !led[protocol.ConfigGroup] {
		return false
	}
	for number := range protocol.ShardCount {
		if !led[protocol.ShardGroup(number)] {
			return false
		}
	}
	return true
}
