package demo

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Target is the part of the cluster that the demonstration kills.
type Target string

// Parts of the cluster that the option --kill of basaltloftctl demo selects; KillNothing is its default.
const (
	KillNothing    Target = ""
	KillLeader     Target = "leader"     // the node that leads most groups
	KillDispatcher Target = "dispatcher" // the first dispatcher
	KillRunner     Target = "runner"     // the first runner, with all its runs
)

const (
	// killAfter is the time of the first kill in a demonstration without a time limit, and killEvery the time
	// between later ones.
	killAfter = 5 * time.Second
	killEvery = 15 * time.Second
	// downTime is how long the part stays down. A killed runner is replaced by a new one.
	downTime = 4 * time.Second
)

// killer kills a part of the cluster and restores it.
type killer struct {
	d         *demonstration
	nextAt    time.Duration // since the start; 0: never
	restoreAt time.Duration // 0: nothing is to be restored
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

// step kills or restores the target if that is due. now is the time since the start.
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
	restore, err := k.kill()
	if restore != nil {
		k.restore, k.restoreAt = restore, now+downTime
	}
	return err
}

// kill kills the target and returns the function that restores it; nil: there is nothing to kill now.
func (k *killer) kill() (restore func() error, err error) {
	switch k.d.options.Kill {
	case KillLeader:
		ip := k.d.leaderOfMost()
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
		k.d.note("%s is killed, with all its runs", runner.ID)
		k.d.runners, k.d.killed = k.d.runners[1:], append(k.d.killed, runner)
		runner.Server.Close()
		k.d.platform.RemoveRunner(runner)
		return func() error {
			k.d.note("another runner starts")
			return k.d.addRunner()
		}, nil
	}
	return nil, errors.Newf("there is no target %q: use leader, dispatcher or runner", k.d.options.Kill)
}
