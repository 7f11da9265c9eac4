package replica

import (
	"time"

	"basaltloft/coord/replica/progress"
)

// Propose appends a command at the leader. It returns the index and term that the command will have if
// it is committed, and false if this node is not the leader or is transferring its leadership.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, ok bool) {
	if n.role != Leader || n.transferee != "" {
		return 0, 0, false
	}
	return n.appendAsLeader(now, Entry{Kind: EntryCommand, Data: data}), n.hardState.Term, true
}

// Match returns the highest index that a member is known to have on its disk. It returns 0 if this node
// is not the leader.
func (n *Node) Match(id string) uint64 {
	if peer := n.progress[id]; peer != nil {
		return peer.Match
	}
	return 0
}

// Lag returns how many entries of this node's log are not known to be on a member's disk.
func (n *Node) Lag(id string) uint64 {
	onDisk := n.Match(id)
	if id == n.id {
		onDisk = n.log.stable
	}
	return n.log.last() - min(onDisk, n.log.last())
}

// CaughtUp reports whether a member is known to lack at most maxLag committed entries. It returns false if
// this node is not the leader.
func (n *Node) CaughtUp(id string, maxLag uint64) bool {
	peer := n.progress[id]
	return n.role == Leader && peer != nil && peer.Match > 0 && peer.Match+maxLag >= n.commit
}

// UnresponsiveFor returns the time since a member last responded to this leader, or since the leader's
// term began if it has not responded yet. It returns 0 for a member that is not tracked.
func (n *Node) UnresponsiveFor(id string, now time.Duration) time.Duration {
	peer := n.progress[id]
	if peer == nil {
		return 0
	}
	return peer.UnresponsiveFor(n.leaderSince, now)
}

// trackMembers adds a progress for each new member and removes those of former members.
func (n *Node) trackMembers(now time.Duration) {
	if n.progress == nil {
		n.progress = map[string]*progress.Progress{}
	}
	members := n.Membership()
	for _, member := range members.AllMembers() {
		if member.ID != n.id && n.progress[member.ID] == nil {
			n.progress[member.ID] = progress.New(n.log.last()+1, now)
		}
	}
	for id := range n.progress {
		if _, ok := members.Find(id); !ok {
			delete(n.progress, id)
		}
	}
}

// trackedMembers returns the IDs of the other members in a fixed order, so that runs are reproducible.
func (n *Node) trackedMembers() []string {
	var ids []string
	for _, member := range n.Membership().AllMembers() {
		if n.progress[member.ID] != nil {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// appendAsLeader appends an entry of this leader's term and replicates it. The entry is sent before it
// is on the leader's own disk (dissertation 10.2.1).
func (n *Node) appendAsLeader(now time.Duration, entry Entry) (index uint64) {
	entry.Index, entry.Term = n.log.last()+1, n.hardState.Term
	n.appendToLog([]Entry{entry})
	if entry.Kind == EntryMembership {
		n.trackMembers(now)
	}
	for _, id := range n.trackedMembers() {
		n.replicate(now, id, sendEntries)
	}
	return entry.Index
}

// appendToLog appends entries in memory and adds them to the Ready to be written.
func (n *Node) appendToLog(entries []Entry) {
	n.log.append(entries)
	n.ready.Entries = truncateAndAppend(n.ready.Entries, entries)
}

// truncateAndAppend appends entries to the pending ones, which are not written yet. Pending entries from
// the first new one's index on are replaced.
func truncateAndAppend(pending, entries []Entry) []Entry {
	for len(pending) > 0 && pending[len(pending)-1].Index >= entries[0].Index {
		pending = pending[:len(pending)-1]
	}
	return append(pending, entries...)
}

// sendReason is the reason for which a leader sends to a member. It decides whether a message is sent
// even without entries.
type sendReason uint8

const (
	// sendEntries means that there may be entries to replicate. If there are none, nothing is sent.
	sendEntries sendReason = iota
	// sendHeartbeat means that a heartbeat is due. A message is sent in any case.
	sendHeartbeat
)

// replicate sends a member the entries that it lacks, or requests a snapshot if the log does not have
// them any more. If there is nothing to send, it sends a heartbeat if one is due.
func (n *Node) replicate(now time.Duration, id string, reason sendReason) {
	peer := n.progress[id]
	peer.RewindIfLost(n.log.last(), now)
	if peer.UnresponsiveFor(n.leaderSince, now) > n.timing.MinElectionTimeout {
		n.probe(now, id, reason) // entries would only accumulate in the network
		return
	}
	previous := peer.Next - 1
	if previous != 0 && n.log.term(previous) == 0 || peer.Next < n.log.first {
		n.requestSnapshot(now, id, reason)
		return
	}
	entries := n.log.batch(peer.Next)
	if len(entries) == 0 && reason != sendHeartbeat {
		return
	}
	if len(entries) > 0 {
		peer.RecordSent(entries[len(entries)-1].Index, now)
	}
	n.send(Message{
		Kind:      AppendRequest,
		To:        id,
		Index:     previous,
		LogTerm:   n.log.term(previous),
		Commit:    n.commit,
		Entries:   entries,
		SentAt:    now,
		Addresses: n.memberAddressesFor(peer),
	})
}

// probe sends a heartbeat without entries, if one is due. The heartbeat leaves the receiver's commit
// index unchanged, since the receiver's log may not reach the heartbeat's index.
func (n *Node) probe(now time.Duration, id string, reason sendReason) {
	if reason != sendHeartbeat {
		return
	}
	n.send(Message{
		Kind:      AppendRequest,
		To:        id,
		Index:     n.commit,
		LogTerm:   n.log.term(n.commit),
		SentAt:    now,
		Addresses: n.memberAddressesFor(n.progress[id]),
	})
}

// memberAddressesFor returns all members if the peer has acknowledged nothing yet, since its log may not
// contain them, and nil otherwise.
func (n *Node) memberAddressesFor(peer *progress.Progress) []Member {
	if peer.Match > 0 {
		return nil
	}
	return n.Membership().AllMembers()
}

// requestSnapshot asks the driver to send the newest snapshot, by a message with an empty one. If one was
// requested recently, it only sends the heartbeat that is due.
func (n *Node) requestSnapshot(now time.Duration, id string, reason sendReason) {
	peer := n.progress[id]
	if peer.SnapshotPending(now) {
		n.probe(now, id, reason)
		return
	}
	peer.RecordSnapshotRequest(now)
	n.send(Message{Kind: InstallSnapshot, To: id, SentAt: now, Snapshot: &Snapshot{}})
}

// handleAppendRequest appends the leader's entries to a follower's log (paper, figure 2, AppendEntries).
func (n *Node) handleAppendRequest(now time.Duration, request Message) {
	n.acceptLeader(now, request.From)
	response := Message{Kind: AppendResponse, To: request.From, SentAt: request.SentAt}
	if !n.log.matches(request.Index, request.LogTerm) {
		response.Reject, response.Index = true, min(n.log.last(), n.log.indexBeforeTermOf(request.Index))
		n.send(response)
		return
	}
	end := request.Index + uint64(len(request.Entries))
	if newEntries := n.log.missing(request.Entries); len(newEntries) > 0 {
		n.appendToLog(newEntries)
	}
	n.commit = max(n.commit, min(request.Commit, end, n.log.last()))
	switch {
	case end <= n.log.stable:
		response.Index = end
		n.send(response)
	case len(request.Entries) == 0: // the lease depends on a heartbeat's response: it must not wait for the disk
		response.Index = min(end, n.log.stable)
		n.send(response)
	default:
		response.Index = end
		n.sendAfterSync(response)
	}
}

// handleAppendResponse updates the leader's lease, its commit index and the member's progress, and sends
// the entries that the member lacks.
func (n *Node) handleAppendResponse(now time.Duration, response Message) {
	peer := n.progress[response.From]
	if n.role != Leader || peer == nil {
		return
	}
	peer.RecordResponse(response.SentAt, now)
	n.renewLease(now)
	if response.Reject {
		peer.Reject(response.Index, n.log.last())
		n.replicate(now, response.From, sendEntries)
		return
	}
	peer.Acknowledge(response.Index)
	n.advanceCommit(now)
	if n.progress[response.From] != peer {
		return // the membership change that this response committed has removed the member
	}
	if peer.Next <= n.log.last() {
		n.replicate(now, response.From, sendEntries)
	}
	n.sendTimeoutNowIfReady()
}

// advanceCommit commits the entries that a majority has on disk. Entries of earlier terms are committed
// only together with one of the current term (paper, section 5.4.2).
func (n *Node) advanceCommit(now time.Duration) {
	reached := majority(n.Membership(), func(id string) uint64 {
		if id == n.id {
			return n.log.stable
		}
		return n.Match(id)
	})
	if reached <= n.commit || n.log.term(reached) != n.hardState.Term {
		return
	}
	n.commit = reached
	n.finishMembershipChange(now)
}
