package simworld_test

import (
	"testing"
	"time"

	"basaltloft/internal/cluster/protocol"
)

// A processor quota that is spent: the process stands still for the rest of each period.
const (
	quotaPeriod = 100 * time.Millisecond
	quotaPause  = 90 * time.Millisecond
)

// TestLeadersOutlastSpentQuota: guards against leases and time-outs that a process can't meet
// which runs for a tenth of each tenth of a second only, at a leader or at all nodes.
func TestLeadersOutlastSpentQuota(t *testing.T) {
	t.Parallel()
	const span = 6 * time.Second
	names := []string{"at the leader", "at all nodes together", "at all nodes in turn", "at all but the leader"}
	runCases(t, 4, names, func(t *testing.T, at int, seed uint64) {
		playScenario(t, seed, deploymentOf(seed, 4), span+8*time.Second, func(w *world, _ *faultInjector) {
			w.schedule(2*time.Second, func() {
				w.keepLeaders(span)
				leader := w.leaderOf(protocol.ConfigGroup)
				for number, c := range w.nodes {
					switch {
					case at == 0 && c == leader, at == 1, at == 3 && c != leader:
						w.spendQuota(c.process, span)
					case at == 2:
						phase := time.Duration(number) * quotaPeriod / time.Duration(len(w.nodes))
						w.schedule(phase, func() { w.spendQuota(c.process, span) })
					}
				}
			})
		})
	})
}

// spendQuota lets a process stand still for the rest of each period, for a while.
func (w *world) spendQuota(p *process, span time.Duration) {
	for at := time.Duration(0); at < span; at += quotaPeriod {
		w.schedule(at, func() { w.freeze(p, quotaPause) })
	}
}

// keepLeaders checks for a while that each group has the leader that it has now, in the same epoch.
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
