package replica

import (
	"slices"
	"time"
)

// Step takes in a message.
func (m *Node) Step(now time.Duration, message Message) {
	switch message.Kind {
	case PreVoteRequest, VoteRequest:
		m.answerCandidate(now, message)
		return
	case PreVoteResponse:
		m.countPreVote(now, message)
		return
	case ColdStartRequest:
		m.answerFresh(message)
		return
	case ColdStartResponse:
		m.countFresh(now, message)
		return
	}
	if message.Term < m.state.Term {
		m.answerOutdated(message)
		return
	}
	if message.Term > m.state.Term {
		m.setState(message.Term, "")
		m.follow(now, "")
	}
	switch message.Kind {
	case VoteResponse:
		m.countVote(now, message)
	case AppendRequest:
		m.takeAppend(now, message)
	case AppendResponse:
		m.takeAnswer(now, message)
	case InstallSnapshot:
		m.install(now, message)
	case TimeoutNow:
		m.stand(now, Candidate, Message{Handover: true})
	}
}

// answerOutdated tells an older leader of the newer term.
func (m *Node) answerOutdated(message Message) {
	if message.Kind == AppendRequest || message.Kind == InstallSnapshot {
		m.send(Message{Kind: AppendResponse, To: message.From, Reject: true, Index: m.log.last()})
	}
}

// stand begins an election, or the vote before it. The claim says why promises do not count.
func (m *Node) stand(now time.Duration, role Role, claim Message) {
	if !m.Membership().IsVoter(m.id) {
		return
	}
	term, kind := m.state.Term+1, PreVoteRequest
	if role == Candidate {
		m.setState(term, m.id)
		kind = VoteRequest
	}
	m.role, m.leader, m.peers = role, "", nil
	m.votes = map[string]bool{m.id: true}
	m.rest(now)
	for _, member := range m.Membership().AllMembers() {
		if member.ID == m.id || !m.Membership().IsVoter(member.ID) {
			continue
		}
		m.sendAfterSync(Message{Kind: kind, To: member.ID, Term: term, Index: m.log.last(), LogTerm: m.log.term(m.log.last()), Handover: claim.Handover, Fresh: claim.Fresh, Life: m.fresh.now[member.ID].Life})
	}
	m.countVotes(now)
}

// promised tells whether a leader was heard so lately that no other may be helped.
func (m *Node) promised(now time.Duration, message Message) bool {
	if message.Handover || message.Fresh && !m.heardOnce && message.Life == m.life {
		return false
	}
	return m.role == Leader && now < m.lease+m.timing.MinElectionTimeout-m.timing.LeaseDuration || now < m.lastHeard+m.timing.MinElectionTimeout
}

func (m *Node) upToDate(message Message) bool {
	last := m.log.last()
	lastTerm := m.log.term(last)
	return message.LogTerm > lastTerm || message.LogTerm == lastTerm && message.Index >= last
}

func (m *Node) answerCandidate(now time.Duration, message Message) {
	if m.promised(now, message) {
		return
	}
	if message.Kind == PreVoteRequest {
		m.answerPreVote(message)
		return
	}
	if message.Term < m.state.Term {
		return
	}
	if message.Term > m.state.Term {
		m.setState(message.Term, "")
		m.follow(now, "")
	}
	free := m.state.Vote == "" || m.state.Vote == message.From
	if !free || !m.upToDate(message) {
		return
	}
	if m.state.Vote == "" {
		m.setState(m.state.Term, message.From)
	}
	m.rest(now)
	m.sendAfterSync(Message{Kind: VoteResponse, To: message.From})
}

// answerPreVote tells a candidate of an older term the newer one: without it, a candidate
// with the better log could wait for ever on a voter with the newer term.
func (m *Node) answerPreVote(message Message) {
	switch {
	case message.Term <= m.state.Term:
		m.send(Message{Kind: PreVoteResponse, To: message.From, Reject: true})
	case m.upToDate(message):
		m.send(Message{Kind: PreVoteResponse, To: message.From, Term: message.Term})
	}
}

func (m *Node) countPreVote(now time.Duration, message Message) {
	if message.Reject {
		if message.Term > m.state.Term {
			m.setState(message.Term, "")
			m.follow(now, "")
		}
		return
	}
	if m.role != PreCandidate || message.Term != m.state.Term+1 {
		return
	}
	m.votes[message.From] = true
	m.countVotes(now)
}

func (m *Node) countVote(now time.Duration, message Message) {
	if m.role != Candidate {
		return
	}
	m.votes[message.From] = true
	m.countVotes(now)
}

func (m *Node) countVotes(now time.Duration) {
	won := m.Membership().quorum(func(id string) int64 {
		if m.votes[id] {
			return 1
		}
		return 0
	})
	if won == 0 {
		return
	}
	if m.role == PreCandidate {
		m.stand(now, Candidate, Message{})
		return
	}
	m.becomeLeader(now)
}

func (m *Node) becomeLeader(now time.Duration) {
	m.role, m.leader, m.votes, m.heardOnce = Leader, m.id, nil, true
	m.lease, m.leading, m.handingOver = 0, now, ""
	m.peers = map[string]*progress{}
	m.followMembers(now)
	m.firstOwn = m.lead(now, Entry{Kind: EntryNoop})
	m.heartbeatAt = now + m.timing.HeartbeatInterval
}

// followMembers keeps a progress for each other member.
func (m *Node) followMembers(now time.Duration) {
	members := m.Membership()
	for _, member := range members.AllMembers() {
		if member.ID != m.id && m.peers[member.ID] == nil {
			m.peers[member.ID] = &progress{next: m.log.last() + 1, sentAt: now}
		}
	}
	for id := range m.peers {
		if _, ok := members.Find(id); !ok {
			delete(m.peers, id)
		}
	}
}

// others lists the other members in a fixed order, so that a run can be repeated.
func (m *Node) others() []string {
	var ids []string
	for _, member := range m.Membership().AllMembers() {
		if m.peers[member.ID] != nil {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// lead appends an entry of this leader's and sends it on.
func (m *Node) lead(now time.Duration, entry Entry) uint64 {
	entry.Index, entry.Term = m.log.last()+1, m.state.Term
	m.record([]Entry{entry})
	if entry.Kind == EntryMembership {
		m.followMembers(now)
	}
	for _, id := range m.others() {
		m.replicate(now, id, false)
	}
	return entry.Index
}

func (m *Node) record(entries []Entry) {
	m.log.append(entries)
	m.out.Entries = cutAndAppend(m.out.Entries, entries)
}

// cutAndAppend adds entries to what is yet to be written, whose tail they may replace.
func cutAndAppend(waiting, entries []Entry) []Entry {
	for len(waiting) > 0 && waiting[len(waiting)-1].Index >= entries[0].Index {
		waiting = waiting[:len(waiting)-1]
	}
	return append(waiting, entries...)
}

// replicate sends a member what it lacks; an empty message is sent as a heartbeat only.
func (m *Node) replicate(now time.Duration, id string, heartbeat bool) {
	peer := m.peers[id]
	if peer.next <= m.log.last() && peer.next > peer.match+1 && now > peer.sentAt+resendAfter {
		peer.next = peer.match + 1
	}
	if now-max(peer.answeredAt, m.leading) > m.timing.MinElectionTimeout {
		m.probe(now, id, heartbeat)
		return
	}
	before := peer.next - 1
	if before != 0 && m.log.term(before) == 0 || peer.next < m.log.first {
		m.sendSnapshot(now, id, heartbeat)
		return
	}
	entries := m.log.batch(peer.next)
	if len(entries) == 0 && !heartbeat {
		return
	}
	if len(entries) > 0 {
		peer.sentAt = now
		peer.next = entries[len(entries)-1].Index + 1
	}
	m.send(Message{Kind: AppendRequest, To: id, Index: before, LogTerm: m.log.term(before), Commit: m.commit, Entries: entries, SentAt: now, Addresses: m.introduction(peer)})
}

// probe sends a member that does not answer heartbeats only: what it lacks is not piled up.
func (m *Node) probe(now time.Duration, id string, heartbeat bool) {
	if !heartbeat {
		return
	}
	peer := m.peers[id]
	m.send(Message{Kind: AppendRequest, To: id, Index: m.commit, LogTerm: m.log.term(m.commit), SentAt: now, Addresses: m.introduction(peer)})
}

// introduction names the members to one that has never answered.
func (m *Node) introduction(peer *progress) []Member {
	if peer.match > 0 {
		return nil
	}
	return m.Membership().AllMembers()
}

// sendSnapshot asks the driver, by an empty snapshot, to send its newest one.
func (m *Node) sendSnapshot(now time.Duration, id string, heartbeat bool) {
	peer := m.peers[id]
	if peer.snapshotAt != 0 && now < peer.snapshotAt+resendAfter {
		if heartbeat {
			m.send(Message{Kind: AppendRequest, To: id, Index: m.commit, LogTerm: m.log.term(m.commit), SentAt: now, Addresses: m.introduction(peer)})
		}
		return
	}
	peer.snapshotAt = now
	m.send(Message{Kind: InstallSnapshot, To: id, SentAt: now, Snapshot: &Snapshot{}})
}

func (m *Node) takeAppend(now time.Duration, message Message) {
	if m.role != Follower || m.leader != message.From {
		m.follow(now, message.From)
	}
	m.lastHeard, m.heardOnce = now, true
	m.rest(now)
	answer := Message{Kind: AppendResponse, To: message.From, SentAt: message.SentAt}
	if !m.log.has(message.Index, message.LogTerm) {
		answer.Reject, answer.Index = true, min(m.log.last(), m.log.beforeTermOf(message.Index))
		m.send(answer)
		return
	}
	end := message.Index + uint64(len(message.Entries))
	if fresh := m.log.conflict(message.Entries); len(fresh) > 0 {
		m.record(fresh)
	}
	m.commit = max(m.commit, min(message.Commit, end, m.log.last()))
	answer.Index = end
	if end <= m.log.stable {
		m.send(answer)
		return
	}
	if len(message.Entries) == 0 {
		answer.Index = min(end, m.log.stable)
		m.send(answer)
		return
	}
	m.sendAfterSync(answer)
}

func (m *Node) takeAnswer(now time.Duration, message Message) {
	peer := m.peers[message.From]
	if m.role != Leader || peer == nil {
		return
	}
	peer.heardAt = max(peer.heardAt, message.SentAt)
	peer.answeredAt = now
	m.renewLease(now)
	if message.Reject {
		peer.next = max(peer.match+1, min(message.Index+1, m.log.last()+1))
		m.replicate(now, message.From, false)
		return
	}
	peer.match = max(peer.match, message.Index)
	peer.next = max(peer.next, peer.match+1)
	m.advance(now)
	if m.peers[message.From] != peer {
		return // the change of membership that this answer completed has removed it
	}
	if peer.next <= m.log.last() {
		m.replicate(now, message.From, false)
	}
	m.handOverIfReady()
}

func (m *Node) renewLease(now time.Duration) {
	heard := m.Membership().quorum(func(id string) int64 {
		if id == m.id {
			return 1<<63 - 1
		}
		if peer := m.peers[id]; peer != nil {
			return int64(peer.heardAt)
		}
		return 0
	})
	if heard == 1<<63-1 { // it is alone
		m.lease = max(m.lease, now+m.timing.LeaseDuration)
		return
	}
	if heard > 0 {
		m.lease = max(m.lease, time.Duration(heard)+m.timing.LeaseDuration)
	}
}

// advance commits what a majority has on disk, and ends a change of membership.
func (m *Node) advance(now time.Duration) {
	reached := uint64(m.Membership().quorum(func(id string) int64 {
		if id == m.id {
			return int64(m.log.stable)
		}
		if peer := m.peers[id]; peer != nil {
			return int64(peer.match)
		}
		return 0
	}))
	if reached <= m.commit || m.log.term(reached) != m.state.Term {
		return
	}
	m.commit = reached
	if m.Membership().IsJoint() && m.log.membershipIndex() <= m.commit {
		m.lead(now, Entry{Kind: EntryMembership, Membership: pointer(m.Membership().LeaveJoint())})
		return
	}
	if m.log.membershipIndex() <= m.commit && !m.Membership().IsVoter(m.id) {
		m.follow(now, "")
	}
}

func pointer[T any](value T) *T { return &value }

func (m *Node) install(now time.Duration, message Message) {
	if m.role != Follower || m.leader != message.From {
		m.follow(now, message.From)
	}
	m.lastHeard, m.heardOnce = now, true
	m.rest(now)
	answer := Message{Kind: AppendResponse, To: message.From, SentAt: message.SentAt, Index: message.Snapshot.Index}
	if message.Snapshot.Index <= m.commit {
		answer.Index = min(m.commit, m.log.stable)
		m.send(answer)
		return
	}
	if m.log.term(message.Snapshot.Index) == message.Snapshot.Term {
		m.keepTail(message.Snapshot.Index, answer)
		return
	}
	m.log.reset(*message.Snapshot)
	m.log.stable = 0 // until it is synced
	m.commit, m.applied = message.Snapshot.Index, message.Snapshot.Index
	m.out.Entries, m.out.CommittedEntries = nil, nil
	m.out.MessagesAfterSync = withoutAnswers(m.out.MessagesAfterSync)
	m.out.Snapshot = message.Snapshot
	m.sendAfterSync(answer)
}

// withoutAnswers drops the answers that told of entries which an installed snapshot replaces.
func withoutAnswers(messages []Message) []Message {
	return slices.DeleteFunc(messages, func(m Message) bool { return m.Kind == AppendResponse })
}

// keepTail takes from a snapshot only that its entries are committed: the log holds them all,
// and what follows them may be needed for a majority.
func (m *Node) keepTail(committed uint64, answer Message) {
	m.commit = max(m.commit, committed)
	answer.Index = min(committed, m.log.stable)
	m.send(answer)
}
