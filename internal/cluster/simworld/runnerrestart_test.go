package simworld_test

import (
	"fmt"
	"testing"
	"time"

	"basaltloft/internal/cluster/protocol"
)

// Times and numbers of restarts of runners.
const (
	restartsPerRunner = 6
	minRestartTime    = 200 * time.Millisecond
	maxRestartTime    = 3 * time.Second
	minUpTime         = 300 * time.Millisecond
	maxUpTime         = 3 * time.Second
	minStayOnList     = 2 * time.Second // of an incarnation that has crashed
	maxStayOnList     = 5 * time.Second

	shardLeaderChanges = 6
)

// restartRunners schedules crashes of all runners, each followed by the runner's next incarnation. Soon after
// some of them the reader of the list changes.
func (f *faultInjector) restartRunners() {
	for _, r := range f.w.runners {
		f.restartRunner(r)
	}
}

// restartRunner schedules the crashes and next incarnations of one runner.
func (f *faultInjector) restartRunner(r *runner) {
	w := f.w
	at := w.randomBetween(time.Second, 3*time.Second)
	for range restartsPerRunner {
		back := at + w.randomBetween(minRestartTime, maxRestartTime)
		if back > faultTime {
			return
		}
		w.schedule(at, r.crash)
		w.schedule(back, r.restart)
		if w.random.IntN(2) == 0 {
			w.schedule(back+w.randomBetween(0, maxListLag), func() { f.changeLeader(protocol.ConfigGroup) })
		}
		at = back + w.randomBetween(minUpTime, maxUpTime)
	}
}

// changeShardLeaders has leaders of shards transfer their leadership again and again.
func (f *faultInjector) changeShardLeaders() {
	w := f.w
	for range shardLeaderChanges {
		group := protocol.ShardGroup(protocol.ShardOf(twoServices[w.random.IntN(len(twoServices))]))
		w.schedule(w.randomBetween(time.Second, faultTime), func() { f.changeLeader(group) })
	}
}

// changeLeader has the leader of a group transfer its leadership, unless a node counts as lost: the time in which
// its repair has to be complete is that without another fault.
func (f *faultInjector) changeLeader(group string) {
	c := f.w.leaderOf(group)
	if f.healed || f.countLost() > 0 || !c.up || c.groups[group] == nil {
		return
	}
	f.leadershipMovedAt = f.w.now
	f.w.tracef("%s transfers the leadership of %s", c.name, group)
	g := c.groups[group]
	c.after(0, func() { g.step(g.engine.TransferLeadership) })
}

// crash ends the runner's incarnation and all its runs. The list shows the incarnation until the next one is
// up, or for some time.
func (r *runner) crash() {
	r.w.tracef("%s crashes with %d runs", r.id, len(r.runs))
	r.stop()
	for ref := range r.runs {
		delete(r.runs, ref)
	}
	for _, end := range r.finished {
		delete(r.w.jobs[end.Task.Job].completedTasks, end.Task) // nobody has heard of it
	}
	incarnation := r.incarnation
	r.w.schedule(r.w.randomBetween(minStayOnList, maxStayOnList), func() {
		if !r.up && r.incarnation == incarnation {
			r.listed = false
			r.w.platformChanged()
		}
	})
}

// restart starts the runner's next incarnation at the same address, under a new ID.
func (r *runner) restart() {
	r.boot()
	r.id = fmt.Sprintf("%s#%d", r.name, r.incarnation)
	r.fenceToken, r.leaseUntilMs, r.finished, r.endedRuns = 0, 0, nil, 0
	clear(r.endedThrough)
	r.listed = true
	r.w.platformChanged()
	r.w.tracef("%s is up", r.id)
}

// runRestartingRunnersSeed runs the random scenario of a seed with runners that crash and come back at their
// addresses, and readers whose lists differ in age.
func runRestartingRunnersSeed(t testing.TB, seed uint64, planted plantedFault, tracing bool) {
	w := newWorld(t, seed, deployments[seed%uint64(len(deployments))])
	w.planted, w.tracing = planted, tracing
	w.useLaggingList()
	w.minRunTime, w.maxRunTime = 300*time.Millisecond, 1200*time.Millisecond
	w.schedule(w.randomBetween(time.Second, 10*time.Second), func() { w.runClient(26) })
	w.runRandomScenario(func(f *faultInjector) {
		f.freezeCounts = true
		f.restartRunners()
		f.changeShardLeaders()
	})
}

// TestManySeedsOfRestartingRunners guards against TWICE where an older list overrules what a runner itself has
// replied (review/5). BASALTLOFT_SEEDS, BASALTLOFT_FIRST and BASALTLOFT_SEED are as for TestManySeeds.
func TestManySeedsOfRestartingRunners(t *testing.T) {
	runManySeeds(t, runRestartingRunnersSeed)
}
