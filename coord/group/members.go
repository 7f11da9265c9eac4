package group

import (
	"time"

	"basaltloft/coord/replica"
)

const (
	manageEvery  = 250 * time.Millisecond
	silentFor    = 1500 * time.Millisecond // a voter silent for so long may be replaced, where a spare waits
	nearlyAll    = 500                     // a learner that lacks no more entries has caught up
	askedLately  = 3 * time.Second         // a newcomer that asked so lately still wants to join
	mostLearners = 2
)

// newcomer is a replica that asked to join.
type newcomer struct {
	member replica.Member
	asked  time.Duration
}

// AskToJoin notes that a replica wants to be a member. Only the leader acts on it.
func (g *Group) AskToJoin(member replica.Member) {
	g.post(func(now time.Duration) { g.newcomers[member.Address] = newcomer{member: member, asked: now} })
}

// manage lets the leader change the membership, a step at a time: a newcomer becomes a
// learner, a learner that has caught up a voter, in place of one that is lost.
func (g *Group) manage(now time.Duration) {
	if !g.leads || now < g.manageAt {
		return
	}
	g.manageAt = now + manageEvery
	members := g.machine.Members()
	if members.Joint() {
		return
	}
	if next, ok := g.nextMembership(now, members); ok && g.machine.ChangeMembers(now, next) {
		g.log.Info("the membership changes", "voters", len(next.Voters), "learners", len(next.Learners))
	}
}

func (g *Group) nextMembership(now time.Duration, members replica.Membership) (replica.Membership, bool) {
	for _, learner := range members.Learners {
		if !g.machine.CaughtUp(learner.ID, nearlyAll) || g.machine.SilentFor(learner.ID, now) > silentFor {
			continue
		}
		if leaving, ok := g.place(now, members, learner); ok {
			return members.Replacing(leaving, learner), true
		}
	}
	for address, asking := range g.newcomers {
		if now-asking.asked > askedLately {
			delete(g.newcomers, address)
			continue
		}
		if _, known := members.Find(asking.member.ID); known || len(members.Learners) >= mostLearners && !replacesLearner(members, asking.member) {
			continue
		}
		return members.WithLearner(asking.member), true
	}
	return g.withoutLostLearner(now, members)
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
// silent, or none where there are too few. False: there is no place for it.
func (g *Group) place(now time.Duration, members replica.Membership, learner replica.Member) (leaving string, ok bool) {
	for _, voter := range members.Voters {
		if voter.Address == learner.Address {
			return voter.ID, true
		}
	}
	if len(members.Voters) < g.settings.Size {
		return "", true
	}
	for _, voter := range members.Voters {
		if voter.ID != g.settings.Self.ID && g.machine.SilentFor(voter.ID, now) > silentFor {
			return voter.ID, true
		}
	}
	return "", false
}

// withoutLostLearner drops a learner that has been silent for long.
func (g *Group) withoutLostLearner(now time.Duration, members replica.Membership) (replica.Membership, bool) {
	for at, learner := range members.Learners {
		if g.machine.SilentFor(learner.ID, now) > 10*silentFor {
			next := members
			next.Learners = append(append([]replica.Member(nil), members.Learners[:at]...), members.Learners[at+1:]...)
			return next, true
		}
	}
	return members, false
}
