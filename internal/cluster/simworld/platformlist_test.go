package simworld_test

import (
	"maps"
	"slices"
	"time"

	"basaltloft/internal/cluster/protocol"
)

// Times of the platform's list.
const (
	maxListLag   = 800 * time.Millisecond // max_lag_ms
	listReadTime = 300 * time.Millisecond // longest time of a read
)

// platformList is the platform's list of runners. Several servers answer for it, each with the state of some
// time ago, at most maxListLag.
type platformList struct {
	states []listedState // oldest first
}

// listedState is what the list shows from some time on.
type listedState struct {
	since   time.Duration
	runners []protocol.Runner
}

// at returns the runners that a server shows whose state is of that time.
func (l *platformList) at(time time.Duration) []protocol.Runner {
	shown := l.states[0].runners
	for _, state := range l.states {
		if state.since <= time {
			shown = state.runners
		}
	}
	return shown
}

// useLaggingList makes the configuration's leader read the platform's list from a server of its own, which
// lags, and send it to the other nodes. By default each node sees the present runners.
func (w *world) useLaggingList() {
	w.platform = &platformList{}
	w.platformChanged()
}

// platformChanged records the present runners as a new state of the list.
func (w *world) platformChanged() {
	var runners []protocol.Runner
	for _, r := range w.runners {
		if r.listed {
			runners = append(runners, r.entry())
		}
	}
	w.platform.states = append(w.platform.states, listedState{since: w.now, runners: runners})
}

// listAsLeader returns the function that is called with the epoch of the node's leadership of the
// configuration's group. A new leader reads the list at once.
func (c *controlNode) listAsLeader() func(epoch uint64) {
	return func(epoch uint64) {
		c.lists.SetEpoch(epoch)
		if c.w.platform != nil && epoch != 0 {
			c.listLag = c.w.randomBetween(0, maxListLag)
			c.after(0, c.readList)
		}
	}
}

// readListAtIntervals reads the platform's list while the node leads the configuration's group.
func (c *controlNode) readListAtIntervals() {
	c.readList()
	c.after(listInterval, c.readListAtIntervals)
}

// readList reads the list, if the node leads the configuration's group, and distributes it.
func (c *controlNode) readList() {
	epoch := c.lists.Epoch()
	if epoch == 0 {
		return
	}
	runners := c.w.platform.at(c.w.now - c.listLag)
	c.after(c.w.randomBetween(0, listReadTime), func() { c.distributeList(epoch, runners) })
}

// distributeList passes a list that was read in an epoch to the node's shards, and sends it to the other nodes.
func (c *controlNode) distributeList(epoch uint64, runners []protocol.Runner) {
	list, send, ok := c.lists.Read(c.clock(), epoch, runners)
	if !ok {
		return
	}
	c.w.tracef("%s has read the list, %v old: %s", c.name, c.listLag, runnerIDs(runners))
	c.updateShardRunners(list.List)
	if !send {
		return
	}
	for _, other := range c.w.nodes {
		if other != c {
			c.w.deliver(c.name, other.name, func() { other.receiveList(list) })
		}
	}
}

// receiveList passes a list that another node has read to the shards, unless they have a newer one.
func (c *controlNode) receiveList(list protocol.RunnerList) {
	if c.lists != nil && c.lists.Accept(list) {
		c.updateShardRunners(list.List)
	}
}

// updateShardRunners passes a list of runners to all shards.
func (c *controlNode) updateShardRunners(list []protocol.Runner) {
	for _, number := range slices.Sorted(maps.Keys(c.shards)) {
		c.shards[number].UpdateRunners(list)
	}
}

// runnerIDs returns the IDs on a list.
func runnerIDs(runners []protocol.Runner) (ids []string) {
	for i := range runners {
		ids = append(ids, runners[i].ID)
	}
	return ids
}
