package replica

import "time"

// A replica that starts promises nothing for a while, since its last life may have promised
// something to a leader that still holds its lease. Where all processes of a group were
// killed at once, that wait is for nobody: a lease ends with the life that held it. So a
// replica asks, at its start, whether all voters have started anew and have heard of no
// leader since; the one with the most of the log then stands at once.
//
// Two rounds of answers by the same lives are needed. Each voter's second answer came after
// every voter's first one. Had one of them led before, with a lease that rests on what some
// voter's earlier life promised, it would not have said in its second answer that it had
// not. And a voter helps only in the life that answered, and while it has heard of no leader:
// whoever leads after its second answer needs a majority that has.

// askFreshEvery is the pause between two such questions.
const askFreshEvery = 60 * time.Millisecond

// freshness is what a replica knows of the others' starts.
type freshness struct {
	askAt  time.Duration
	round  uint64
	now    map[string]Message // answers of this round
	before map[string]Message // of the round before; nil: not all answered it
}

func (m *Node) askFresh(now time.Duration) {
	if m.heardOnce || !m.waits() || now < m.fresh.askAt || !m.Membership().IsVoter(m.id) {
		return
	}
	m.askFreshRound(now)
}

// waits tells whether the replica has not stood in earnest: one that only asks beforehand, in
// vain while the others keep their promises, may learn meanwhile that all have started anew.
func (m *Node) waits() bool { return m.role == Follower || m.role == PreCandidate }

// askFreshRound begins the next round.
func (m *Node) askFreshRound(now time.Duration) {
	m.fresh.before = nil
	if m.allFresh() {
		m.fresh.before = m.fresh.now
	}
	m.fresh.now = map[string]Message{}
	m.fresh.round++
	m.fresh.askAt = now + askFreshEvery
	for _, member := range m.otherVoters() {
		m.send(Message{Kind: ColdStartRequest, To: member, Round: m.fresh.round})
	}
}

func (m *Node) otherVoters() []string {
	var ids []string
	for _, member := range m.Membership().AllMembers() {
		if member.ID != m.id && m.Membership().IsVoter(member.ID) {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// allFresh tells whether all other voters have answered this round.
func (m *Node) allFresh() bool {
	for _, id := range m.otherVoters() {
		if _, ok := m.fresh.now[id]; !ok {
			return false
		}
	}
	return len(m.fresh.now) > 0
}

func (m *Node) answerFresh(message Message) {
	if m.heardOnce {
		return
	}
	last := m.log.last()
	m.send(Message{Kind: ColdStartResponse, To: message.From, Index: last, LogTerm: m.log.term(last), Round: message.Round, Life: m.life})
}

func (m *Node) countFresh(now time.Duration, message Message) {
	if m.heardOnce || !m.waits() || message.Round != m.fresh.round {
		return
	}
	m.fresh.now[message.From] = message
	switch {
	case !m.allFresh():
	case m.fresh.before == nil:
		m.askFreshRound(now)
	case m.firstOfAll():
		m.stand(now, Candidate, Message{Fresh: true})
	}
}

// firstOfAll tells whether the same lives answered both rounds and this replica goes first
// among them: by its log, and by its ID where logs are alike.
func (m *Node) firstOfAll() bool {
	for _, id := range m.otherVoters() {
		answer := m.fresh.now[id]
		if m.fresh.before[id].Life != answer.Life || !m.before(answer) {
			return false
		}
	}
	return true
}

// before tells whether this replica goes before the one that answered.
func (m *Node) before(answer Message) bool {
	last := m.log.last()
	term := m.log.term(last)
	if term != answer.LogTerm || last != answer.Index {
		return term > answer.LogTerm || term == answer.LogTerm && last > answer.Index
	}
	return m.id < answer.From
}
