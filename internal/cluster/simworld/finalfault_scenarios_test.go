package simworld_test

import (
	"slices"
	"testing"
	"time"

	"basaltloft/coord/replica"
	"basaltloft/internal/cluster/protocol"
)

// lossMoment is the moment at which disks are lost and power fails.
type lossMoment int

// The cases of TestDisksLostWhilePowerFails, in the order of their names there.
const (
	afterConfiguration lossMoment = iota
	afterJob
	afterCancellation
	withinMembershipChange
	whileLearnerCatchesUp
	besideLearner
	twiceInARow
)

// TestDisksLostWhilePowerFails tests failure 3: as many disks as are tolerated are lost while every
// other machine loses power, at several points in time. Nothing that was acknowledged may be lost,
// and everything must be in service again within the recovery time.
func TestDisksLostWhilePowerFails(t *testing.T) {
	t.Parallel()
	names := []string{"after a configuration", "after a job", "after a cancellation", "within a membership change", "while a learner catches up", "beside a learner", "twice in a row"}
	runCases(t, lossPoints, names, func(t *testing.T, at int, seed uint64) {
		runDiskLoss(t, seed, lossMoment(at).deployment(seed), noFault, lossMoment(at), seed%lossPoints)
	})
}

// runDiskLoss runs a case of TestDisksLostWhilePowerFails at one point in time.
func runDiskLoss(t testing.TB, seed uint64, on deployment, planted plantedFault, moment lossMoment, point uint64) {
	t.Helper()
	runFaultyScenario(t, seed, on, planted, 26*time.Second, func(w *world, f *faultInjector) {
		w.scheduleLoss(f, moment, point)
	})
}

// runTwoDisksLost runs the loss of two of five disks while the other machines lose power.
func runTwoDisksLost(t testing.TB, seed uint64, planted plantedFault, _ bool) {
	t.Helper()
	runDiskLoss(t, seed, deployments[2], planted, afterJob, seed%2)
}

// deployment returns the deployment for a case: four nodes, where there must be a learner.
func (m lossMoment) deployment(seed uint64) deployment {
	switch m {
	case withinMembershipChange, whileLearnerCatchesUp, besideLearner:
		return deployments[3]
	}
	return deploymentOf(seed, 4)
}

// scheduleLoss schedules the fault of a case for the point in time with that number.
func (w *world) scheduleLoss(f *faultInjector, moment lossMoment, point uint64) {
	const longestWait = 8 * time.Second
	pause := time.Duration(point) * 600 * time.Microsecond
	step := time.Duration(point) * 40 * time.Millisecond
	withLeader := point%2 == 0
	once := func() { w.loseVotersDisks(f, withLeader, false) }
	switch moment {
	case afterConfiguration, afterJob, afterCancellation:
		kind := acknowledgement(moment)
		w.schedule(2*time.Second, func() { w.afterAcknowledgement(kind, pause, longestWait, once) })
	case withinMembershipChange:
		w.schedule(2*time.Second, func() { w.changeMembershipUntilJoint(pause, once) })
	case whileLearnerCatchesUp:
		learner := w.learnerOf(protocol.ConfigGroup)
		learner.kill(true)
		w.schedule(6*time.Second, func() {
			learner.boot()
			w.schedule(step, once)
		})
	case besideLearner:
		w.schedule(2*time.Second, func() { w.afterAcknowledgement(jobAcknowledged, pause, longestWait, once) })
	case twiceInARow:
		w.schedule(time.Second+step, func() { w.loseVotersDisks(f, withLeader, true) })
	}
}

// loseVotersDisks wipes the disks of as many voters of the configuration's group as are tolerated,
// the leader among them or not, while all other machines lose power. With again, it does so once
// more as soon as the catch-up time for the repair is over.
func (w *world) loseVotersDisks(f *faultInjector, withLeader, again bool) {
	wiped := w.drawVoters(withLeader)
	f.nextDiskLossAt = 1 << 62
	w.loseDisksAndPower(wiped, 300*time.Millisecond, func() {
		f.awaitRepair(wiped...)
		if again {
			w.loseNextVotersDisks(f, withLeader)
			return
		}
		w.schedule(w.deployment.recovery, w.checkInService)
	})
}

// loseNextVotersDisks wipes the next disks as soon as the catch-up time for the last repair is over.
func (w *world) loseNextVotersDisks(f *faultInjector, withLeader bool) {
	if w.now < f.nextDiskLossAt {
		w.schedule(10*time.Millisecond, func() { w.loseNextVotersDisks(f, withLeader) })
		return
	}
	w.loseVotersDisks(f, withLeader, false)
}

// drawVoters returns as many random voters of the configuration's group as may be lost.
func (w *world) drawVoters(withLeader bool) []*controlNode {
	leader := w.leaderOf(protocol.ConfigGroup)
	var drawn []*controlNode
	if withLeader {
		drawn = append(drawn, leader)
	}
	for _, c := range w.drawNodes(len(w.nodes)) {
		isVoter := leader.groups[protocol.ConfigGroup].engine.Membership().IsVoter(c.identity.id)
		if isVoter && c != leader && len(drawn) < w.deployment.toleratedLosses {
			drawn = append(drawn, c)
		}
	}
	return drawn
}

// learnerOf returns a node that is a learner of a group. It fails the test if there is none.
func (w *world) learnerOf(group string) *controlNode {
	members := w.leaderOf(group).groups[group].engine.Membership()
	at := slices.IndexFunc(w.nodes, func(c *controlNode) bool { return !members.IsVoter(c.identity.id) })
	if at < 0 {
		w.fail("%s has no learner: %+v", group, members)
	}
	return w.nodes[at]
}

// changeMembershipUntilJoint stops a voter of the configuration's group by SIGTERM, so that the
// learner replaces it as a voter. It calls a function a pause after the leader's log has a joint
// membership.
func (w *world) changeMembershipUntilJoint(pause time.Duration, do func()) {
	leader := w.leaderOf(protocol.ConfigGroup)
	members := func() replica.Membership { return leader.groups[protocol.ConfigGroup].engine.Membership() }
	leaving := slices.IndexFunc(w.nodes, func(c *controlNode) bool { return c != leader && members().IsVoter(c.identity.id) })
	w.nodes[leaving].terminate(func() {})
	end := w.now + 2*time.Second
	var look func()
	look = func() {
		switch {
		case members().IsJoint():
			w.schedule(pause, do)
		case w.now >= end:
			w.fail("the membership does not change: %+v", members())
		default:
			w.schedule(200*time.Microsecond, look)
		}
	}
	look()
}

// checkInService checks that all groups have leaders and all dispatchers have a valid view.
func (w *world) checkInService() {
	if fault := w.outOfService(); fault != "" {
		w.fail("RECOVER: %s, %v after all machines are back", fault, w.deployment.recovery)
	}
}
