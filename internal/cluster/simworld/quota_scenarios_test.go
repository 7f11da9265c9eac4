package simworld_test

import (
	"testing"
	"time"

	"basaltloft/internal/cluster/protocol"
)

// Times of an exhausted processor quota: the process does not run for the rest of each period.
const (
	quotaPeriod = 100 * time.Millisecond
	quotaPause  = 90 * time.Millisecond
)

// TestLeadersKeepLeasesUnderQuota guards against leases and timeouts that are too short for a leader,
// or for all nodes, when the processes run for only 10 ms of every 100 ms.
func TestLeadersKeepLeasesUnderQuota(t *testing.T) {
	t.Parallel()
	const span = 6 * time.Second
	const atLeader, atNodes, inTurn, atOthers, atMachines = 0, 1, 2, 3, 4 // cases
	names := []string{"at the leader", "at all nodes together", "at all nodes in turn", "at all but the leader", "at all machines"}
	runCases(t, 4, names, func(t *testing.T, at int, seed uint64) {
		runScenario(t, seed, deploymentOf(seed, 4), span+8*time.Second, func(w *world, _ *faultInjector) {
			w.schedule(2*time.Second, func() {
				w.keepLeaders(span)
				leader := w.leaderOf(protocol.ConfigGroup)
				for number, c := range w.nodes {
					switch {
					case at == atLeader && c == leader, at == atOthers && c != leader, at == atNodes, at == atMachines:
						w.spendQuota(c.process, span)
					case at == inTurn:
						phase := time.Duration(number) * quotaPeriod / time.Duration(len(w.nodes))
						w.schedule(phase, func() { w.spendQuota(c.process, span) })
					}
				}
				if at == atMachines {
					w.spendQuotaAtDispatchers(span)
				}
			})
		})
	})
}

// spendQuota freezes a process for the rest of each quota period, for a while.
func (w *world) spendQuota(p *process, span time.Duration) {
	for at := time.Duration(0); at < span; at += quotaPeriod {
		w.schedule(at, func() { w.freeze(p, quotaPause) })
	}
}

// spendQuotaAtDispatchers does the same to all dispatchers and checks that their views stay valid.
func (w *world) spendQuotaAtDispatchers(span time.Duration) {
	for _, d := range w.dispatchers {
		w.spendQuota(d.process, span)
		for at := quotaPeriod - 1; at < span; at += quotaPeriod {
			w.schedule(at, func() {
				if _, ok := d.watcher.Current(d.clock()); !ok {
					w.fail("%s has no valid view", d.name)
				}
			})
		}
	}
}

// keepLeaders checks that, after a span, each group still has its present leader in the same epoch.
func (w *world) keepLeaders(span time.Duration) {
	for _, name := range w.nodes[0].names {
		leader := w.leaderOf(name)
		epoch := leader.groups[name].lease.Epoch
		w.schedule(span, func() {
			now := w.leaderOf(name)
			if got := now.groups[name].lease; now != leader || got.Epoch != epoch {
				w.fail("%s was led by %s in epoch %d and is led by %s in epoch %d", name, leader.name, epoch, now.name, got.Epoch)
			}
		})
	}
}
