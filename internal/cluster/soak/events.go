package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// stopSlack is how long a process may run beyond its grace period after a SIGTERM.
const stopSlack = time.Second

// startLimit bounds the time from the start of a dispatcher until it is ready.
const startLimit = 30 * time.Second

// injector executes the events that act on processes and runners. It skips an event while another one acts on
// the same process, or on any node in the case of nodes.
type injector struct {
	*deployment
	ctx    context.Context
	random *lockedRandom
}

// lockedRandom is a random source for concurrent use. The plan is the same in each run of a seed, but what
// clients and processes draw depends on their order.
type lockedRandom struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (r *lockedRandom) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

func (r *lockedRandom) randomUpTo(most time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return randomUpTo(r.random, most)
}

// newSource returns another source, seeded from this one.
func (r *lockedRandom) newSource() *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64()))
}

// execute executes an event. It returns false if the event is not one for the injector.
func (i *injector) execute(event Event) bool {
	switch event.Kind {
	case StopDispatcher, HangUpDispatcher, KillDispatcher, FreezeDispatcher:
		m := i.dispatchers[event.Target%len(i.dispatchers)]
		if m.mu.TryLock() {
			defer m.mu.Unlock()
			i.injectAt(event, m)
		}
	case StopNode, HangUpNode, KillNode, FreezeNode, WipeNode, KillAllNodes:
		if i.nodeMu.TryLock() {
			defer i.nodeMu.Unlock()
			i.injectAt(event, i.nodes[event.Target%len(i.nodes)])
		}
	case DrainRunner, CrashRunner:
		i.replaceRunner(event)
	default:
		return false
	}
	return true
}

// injectAt executes an event at a process that the caller has locked.
func (i *injector) injectAt(event Event, m *machine) {
	if !m.Runs() {
		i.findings.add(RuleStop, "%s at %s has ended by itself", m.Program, m.ip)
		return
	}
	switch event.Kind {
	case StopDispatcher, StopNode:
		defer i.timeline.begin(planned, m.ip, "SIGTERM")()
		i.stop(m)
		i.restart(event, m)
	case HangUpDispatcher, HangUpNode:
		defer i.timeline.begin(planned, m.ip, "SIGHUP")()
		i.reload(m)
	case FreezeDispatcher, FreezeNode:
		defer i.timeline.begin(unplanned, m.ip, "freeze")()
		m.frozen.Store(true)
		m.Signal(syscall.SIGSTOP)
		sleep(i.ctx, event.For)
		m.frozen.Store(false)
		m.Signal(syscall.SIGCONT)
		i.awaitServing(m)
	case KillDispatcher, KillNode, WipeNode:
		defer i.timeline.begin(unplanned, m.ip, string(event.Kind))()
		m.Stop(syscall.SIGKILL)
		if event.Kind == WipeNode {
			i.check(os.RemoveAll(i.dataDir(m)))
		}
		i.restart(event, m)
	case KillAllNodes:
		defer i.timeline.begin(unplanned, "all nodes", string(event.Kind))()
		for _, node := range i.nodes {
			node.Stop(syscall.SIGKILL)
		}
		for _, node := range i.nodes {
			i.restartNow(node)
		}
		i.awaitServing(m)
	}
}

// check adds a finding for an error of this host, such as a file that can't be written.
func (i *injector) check(err error) {
	if err != nil {
		i.findings.add(RuleStop, "%v", err)
	}
}

// stop sends SIGTERM to a process and checks that it ends in time.
func (i *injector) stop(m *machine) {
	begun := time.Now()
	m.Signal(syscall.SIGTERM)
	timer := time.NewTimer(grace + stopSlack)
	defer timer.Stop()
	select {
	case <-m.Exited():
		if m.ExitCode() != 0 {
			i.uncleanStops.Add(1)
		}
	case <-timer.C:
		i.findings.add(RuleStop, "%s at %s, sent SIGTERM at %s, still runs after %v, state %s", m.Program, m.ip, i.timeline.at(begun), grace+stopSlack, m.State())
		m.Signal(syscall.SIGQUIT) // the process logs the stacks of its goroutines
		await(i.ctx, stopSlack, func() bool { return !m.Runs() })
		m.Stop(syscall.SIGKILL)
	}
}

// restart starts a process after the event's duration and waits until it serves.
func (i *injector) restart(event Event, m *machine) {
	sleep(i.ctx, event.For)
	i.restartNow(m)
	i.awaitServing(m)
}

func (i *injector) restartNow(m *machine) {
	i.check(i.writeSettings(m, false, i.random.newSource()))
	i.check(i.start(m))
}

// reload changes a process's seeds and sends SIGHUP, upon which the process reads its settings again.
func (i *injector) reload(m *machine) {
	i.check(i.writeSettings(m, false, i.random.newSource()))
	m.Signal(syscall.SIGHUP)
	sleep(i.ctx, configApply)
}

// awaitServing waits until a process serves: all nodes are voters, or the dispatcher is ready.
func (i *injector) awaitServing(m *machine) {
	if i.ctx.Err() != nil {
		return
	}
	for _, node := range i.nodes {
		if m == node {
			if err := i.awaitVoting(i.ctx); err != nil && i.ctx.Err() == nil {
				i.findings.add(RuleCollapse, "not all nodes are voters again: %v", err)
			}
			return
		}
	}
	if !await(i.ctx, startLimit, func() bool { return i.isReady(m) }) && i.ctx.Err() == nil {
		i.findings.add(RuleCollapse, "the dispatcher at %s is not ready %v after its start", m.ip, startLimit)
	}
}

// isReady reports whether a dispatcher answers the platform's readiness check with 200.
func (i *injector) isReady(m *machine) bool {
	c, err := dial(i.ctx, m.ip, i.addresses.Readiness(m.ip))
	if err != nil {
		return false
	}
	defer c.close()
	got, _ := c.exchange(request{method: "GET", path: "/-/ready", host: m.ip})
	return got.outcome == answered && got.status == 200
}

// Times of replacing a runner.
const (
	drainTime   = 3 * time.Second // from the drain mark in the platform's list to the runner's end
	listingLag  = time.Second     // for which a crashed runner stays in the list, unless the next one is up before
	runnerPause = 500 * time.Millisecond
)

// replaceRunner drains or crashes a runner and starts another one in its slot. After a crash that one is at
// the same address, for half of the crashes before the list lacks the first one.
func (i *injector) replaceRunner(event Event) {
	slot := i.runners[event.Target%len(i.runners)]
	if !slot.mu.TryLock() {
		return
	}
	defer slot.mu.Unlock()
	runner := i.runnerOf(slot)
	if event.Kind == DrainRunner {
		defer i.timeline.begin(planned, runner.ID, "drain")()
		i.platform.DrainRunner(runner)
		sleep(i.ctx, drainTime)
		runner.Crash()
		i.platform.RemoveRunner(runner)
	} else {
		defer i.timeline.begin(unplanned, runner.ID, "crash")()
		runner.Crash()
		if event.For < longestPause/2 {
			sleep(i.ctx, event.For)
			i.check(i.startRunner(slot))
			return
		}
		sleep(i.ctx, listingLag)
		i.platform.RemoveRunner(runner)
	}
	sleep(i.ctx, runnerPause)
	i.check(i.startRunner(slot))
}
