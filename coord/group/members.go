package group

import (
	"maps"
	"slices"
	"time"

	"basaltloft/coord/replica"
)

const (
	manageEvery  = 250 * time.Millisecond
	silentFor    = 1500 * time.Millisecond // a voter silent for so long may be replaced, where a spare waits
	nearlyAll    = 500                     // a learner that lacks no more entries has caught up: the rest is on its way
	askedLately  = 3 * time.Second         // a newcomer that asked so lately still wants to join
	mostLearners = 2
)

// newcomer is a replica that asked to join.
type newcomer struct {
	member replica.Member
	asked  time.Duration
}

// RequestJoin notes that a replica wants to be a member. Only the leader acts on it.
func (e *Engine) RequestJoin(now time.Duration, member replica.Member) {
	e.newcomers[member.Address] = newcomer{member: member, asked: now}
}

// RequestLeave notes that a member ends for now: a learner that has caught up may take its
// place at once. Only the leader acts on it.
func (e *Engine) RequestLeave(now time.Duration, id string) { e.leaving[id] = now }

// manage lets the leader change the membership, a step at a time: a newcomer becomes a
// learner, a learner that has caught up a voter, in place of one that is lost.
func (e *Engine) manage(now time.Duration) {
	if !e.leads || now < e.manageAt {
		return
	}
	e.manageAt = now + manageEvery
	members := e.machine.Membership()
	if members.IsJoint() {
		return
	}
	if next, ok := e.nextMembership(now, members); ok && e.machine.ChangeMembers(now, next) {
		e.log.Info("the membership changes", "voters", len(next.Voters), "learners", len(next.Learners))
	}
}

func (e *Engine) nextMembership(now time.Duration, members replica.Membership) (replica.Membership, bool) {
	for _, learner := range members.Learners {
		if !e.machine.CaughtUp(learner.ID, nearlyAll) || e.machine.UnresponsiveFor(learner.ID, now) > silentFor {
			continue
		}
		if leaving, ok := e.place(now, members, learner); ok {
			return members.EnterJoint(leaving, learner), true
		}
	}
	for _, address := range slices.Sorted(maps.Keys(e.newcomers)) {
		asking := e.newcomers[address]
		if now-asking.asked > askedLately {
			delete(e.newcomers, address)
			continue
		}
		if _, known := members.Find(asking.member.ID); known || len(members.Learners) >= mostLearners && !replacesLearner(members, asking.member) {
			continue
		}
		return members.WithLearner(asking.member), true
	}
	return e.withoutLostLearner(now, members)
}

func replacesLearner(members replica.Membership, member replica.Member) bool {
	for _, learner := range members.Learners {
		if learner.Address == member.Address {
			return true
		}
	}
	return false
}

// place finds the voter that a learner replaces: the one whose disk it had, or one that is
// silent or ends, or none where there are too few. False: there is no place for it.
func (e *Engine) place(now time.Duration, members replica.Membership, learner replica.Member) (leaving string, ok bool) {
	for _, voter := range members.Voters {
		if voter.Address == learner.Address {
			return voter.ID, true
		}
	}
	if len(members.Voters) < e.settings.VoterCount {
		return "", true
	}
	for _, voter := range members.Voters {
		if voter.ID != e.settings.Self.ID && (e.machine.UnresponsiveFor(voter.ID, now) > silentFor || e.saidToLeave(now, voter.ID)) {
			return voter.ID, true
		}
	}
	return "", false
}

func (e *Engine) saidToLeave(now time.Duration, id string) bool {
	at, ok := e.leaving[id]
	if ok && now-at > askedLately {
		delete(e.leaving, id)
	}
	return ok && now-at <= askedLately
}

// withoutLostLearner drops a learner that has been silent for long.
func (e *Engine) withoutLostLearner(now time.Duration, members replica.Membership) (replica.Membership, bool) {
	for at, learner := range members.Learners {
		if e.machine.UnresponsiveFor(learner.ID, now) > 10*silentFor {
			next := members
			next.Learners = append(append([]replica.Member(nil), members.Learners[:at]...), members.Learners[at+1:]...)
			return next, true
		}
	}
	return members, false
}
