package demo

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Target is what the demonstration takes away.
type Target string

// Targets.
const (
	KillNothing    Target = ""
	KillLeader     Target = "leader"     // the node that leads most groups, as a kill does
	KillDispatcher Target = "dispatcher" // the first dispatcher
	KillRunner     Target = "runner"     // the first runner, with all that it runs
)

const (
	// killAfter is when something is taken away where the demonstration has no end, and killEvery how often
	// then.
	killAfter = 5 * time.Second
	killEvery = 15 * time.Second
	// awayFor is how long it stays away. Another runner comes in place of one that was killed.
	awayFor = 4 * time.Second
)

// killer takes a part of the cluster away and brings it back.
type killer struct {
	d         *demonstration
	nextAt    time.Duration // since the start; 0: never
	restoreAt time.Duration // 0: nothing is away
	restore   func() error
}

func newKiller(d *demonstration) *killer {
	k := &killer{d: d}
	switch {
	case d.options.Kill == KillNothing:
	case d.options.For > 0:
		k.nextAt = d.options.For / 2
	default:
		k.nextAt = killAfter
	}
	return k
}

// step does what is due at a time since the start.
func (k *killer) step(now time.Duration) error {
	if k.restoreAt > 0 && now >= k.restoreAt {
		k.restoreAt = 0
		if err := k.restore(); err != nil {
			return err
		}
	}
	if k.nextAt == 0 || now < k.nextAt {
		return nil
	}
	k.nextAt = 0
	if k.d.options.For == 0 {
		k.nextAt = now + killEvery
	}
	restore, err := k.take()
	if restore != nil {
		k.restore, k.restoreAt = restore, now+awayFor
	}
	return err
}

// take takes the target away, and returns what brings it back; nil: there is nothing to be taken.
func (k *killer) take() (restore func() error, err error) {
	switch k.d.options.Kill {
	case KillLeader:
		ip := k.d.mostLeading()
		if ip == "" {
			return nil, nil
		}
		k.d.note("%s, which leads most groups, is killed", ip)
		return func() error {
			k.d.note("%s starts again on its disk", ip)
			return k.d.cluster.StartNode(ip, false)
		}, errors.Wrapf(k.d.cluster.Kill(ip), "node %s", ip)
	case KillDispatcher:
		ip := dispatcherIPs[0]
		k.d.note("dispatcher %s is killed", ip)
		return func() error {
			k.d.note("dispatcher %s starts again", ip)
			return k.d.cluster.StartDispatcher(ip)
		}, errors.Wrapf(k.d.cluster.Kill(ip), "dispatcher %s", ip)
	case KillRunner:
		runner := k.d.runners[0]
		k.d.note("%s is killed, with all that it runs", runner.ID)
		k.d.runners, k.d.gone = k.d.runners[1:], append(k.d.gone, runner)
		runner.Server.Close()
		k.d.platform.RemoveRunner(runner)
		return func() error {
			k.d.note("another runner comes")
			return k.d.addRunner()
		}, nil
	}
	return nil, errors.Newf("there is no target %q: take leader, dispatcher or runner", k.d.options.Kill)
}
