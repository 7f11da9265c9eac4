package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// stopSlack is how long after the grace a process that was told to stop may still be there.
const stopSlack = time.Second

// startLimit bounds how long a started process may take until it serves.
const startLimit = 30 * time.Second

// injector plays the events that concern processes and runners. Events that would act on a process at which
// another one is at work, or on a second node, are left out.
type injector struct {
	*deployment
	ctx    context.Context
	random *lockedRandom
}

// lockedRandom is a source that may be used concurrently: the plan is the same for each run of a seed, the
// draws of clients and processes depend on their order.
type lockedRandom struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (r *lockedRandom) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

func (r *lockedRandom) upTo(most time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return upTo(r.random, most)
}

// split returns a source of its own.
func (r *lockedRandom) split() *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64()))
}

// play plays an event; false: it is none of the injector's.
func (i *injector) play(event Event) bool {
	switch event.Kind {
	case StopDispatcher, HangUpDispatcher, KillDispatcher, FreezeDispatcher:
		m := i.dispatchers[event.Target%len(i.dispatchers)]
		if m.mu.TryLock() {
			defer m.mu.Unlock()
			i.act(event, m)
		}
	case StopNode, HangUpNode, KillNode, FreezeNode, WipeNode, KillAllNodes:
		if i.nodeTurn.TryLock() {
			defer i.nodeTurn.Unlock()
			i.act(event, i.nodes[event.Target%len(i.nodes)])
		}
	case DrainRunner, CrashRunner:
		i.endRunner(event)
	default:
		return false
	}
	return true
}

// act plays an event at a process of which nobody else has the turn.
func (i *injector) act(event Event, m *machine) {
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
		i.hangUp(m)
	case FreezeDispatcher, FreezeNode:
		defer i.timeline.begin(unplanned, m.ip, "freeze")()
		m.frozen.Store(true)
		m.Signal(syscall.SIGSTOP)
		pass(i.ctx, event.For)
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

// check makes a finding of an error of the machine that plays.
func (i *injector) check(err error) {
	if err != nil {
		i.findings.add(RuleStop, "%v", err)
	}
}

// stop tells a process to stop and checks that it ends in time.
func (i *injector) stop(m *machine) {
	begun := time.Now()
	m.Signal(syscall.SIGTERM)
	timer := time.NewTimer(grace + stopSlack)
	defer timer.Stop()
	select {
	case <-m.Exited():
		if m.ExitCode() != 0 {
			i.leftRequests.Add(1)
		}
	case <-timer.C:
		i.findings.add(RuleStop, "%s at %s, told to stop at %s, still runs after %v, state %s", m.Program, m.ip, i.timeline.at(begun), grace+stopSlack, m.State())
		m.Signal(syscall.SIGQUIT) // its goroutines go to its log
		await(i.ctx, stopSlack, func() bool { return !m.Runs() })
		m.Stop(syscall.SIGKILL)
	}
}

// restart starts a process after the event's pause and waits until it serves.
func (i *injector) restart(event Event, m *machine) {
	pass(i.ctx, event.For)
	i.restartNow(m)
	i.awaitServing(m)
}

func (i *injector) restartNow(m *machine) {
	i.check(i.writeSettings(m, false, i.random.split()))
	i.check(i.start(m))
}

// hangUp changes a process's seeds, which it is told at once.
func (i *injector) hangUp(m *machine) {
	i.check(i.writeSettings(m, false, i.random.split()))
	m.Signal(syscall.SIGHUP)
	pass(i.ctx, configApply)
}

// awaitServing waits until a process takes part again.
func (i *injector) awaitServing(m *machine) {
	if i.ctx.Err() != nil {
		return
	}
	for _, node := range i.nodes {
		if m == node {
			if err := i.awaitVoting(i.ctx); err != nil && i.ctx.Err() == nil {
				i.findings.add(RuleCollapse, "not all nodes vote again: %v", err)
			}
			return
		}
	}
	if !await(i.ctx, startLimit, func() bool { return i.isReady(m) }) && i.ctx.Err() == nil {
		i.findings.add(RuleCollapse, "the dispatcher at %s is not ready %v after its start", m.ip, startLimit)
	}
}

// isReady tells whether a dispatcher answers the platform that it can serve.
func (i *injector) isReady(m *machine) bool {
	c, err := dial(i.ctx, m.ip, i.addresses.Readiness(m.ip))
	if err != nil {
		return false
	}
	defer c.close()
	got, _ := c.exchange(request{method: "GET", path: "/-/ready", host: m.ip})
	return got.outcome == answered && got.status == 200
}

// Times of a runner's end.
const (
	drainTime   = 3 * time.Second // from the list's word that it is to end
	listingLag  = time.Second     // a crashed runner stays on the list
	runnerPause = 500 * time.Millisecond
)

// endRunner ends a runner, in order or not, and puts another one in its place.
func (i *injector) endRunner(event Event) {
	slot := i.runners[event.Target%len(i.runners)]
	if !slot.turn.TryLock() {
		return
	}
	defer slot.turn.Unlock()
	runner := i.runnerOf(slot)
	if event.Kind == DrainRunner {
		defer i.timeline.begin(planned, runner.ID, "drain")()
		i.platform.DrainRunner(runner)
		pass(i.ctx, drainTime)
		runner.Crash()
		i.platform.RemoveRunner(runner)
	} else {
		defer i.timeline.begin(unplanned, runner.ID, "crash")()
		runner.Crash()
		pass(i.ctx, listingLag)
		i.platform.RemoveRunner(runner)
	}
	pass(i.ctx, runnerPause)
	i.check(i.renew(slot))
}
