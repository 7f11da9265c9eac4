package replica

import (
	"slices"
	"time"
)

// handleInstallSnapshot replaces the log with a leader's snapshot, unless the log has its entries already
// (paper, section 7).
func (n *Node) handleInstallSnapshot(now time.Duration, request Message) {
	n.acceptLeader(now, request.From)
	snapshot := request.Snapshot
	response := Message{Kind: AppendResponse, To: request.From, SentAt: request.SentAt}
	if snapshot.Index <= n.commit {
		response.Index = min(n.commit, n.log.stable)
		n.send(response)
		return
	}
	if n.log.term(snapshot.Index) == snapshot.Term {
		// The log has all entries that the snapshot covers; only the commit index is new. The entries
		// after them stay, because this replica may count in the majority that has them.
		n.commit = max(n.commit, snapshot.Index)
		response.Index = min(snapshot.Index, n.log.stable)
		n.send(response)
		return
	}
	n.log.reset(*snapshot)
	n.log.stable = 0 // nothing is on disk until the snapshot is synced
	n.commit = snapshot.Index
	n.applied = snapshot.Index
	n.ready.Entries = nil
	n.ready.CommittedEntries = nil
	n.ready.MessagesAfterSync = withoutAppendResponses(n.ready.MessagesAfterSync)
	n.ready.Snapshot = snapshot
	response.Index = snapshot.Index
	n.sendAfterSync(response)
}

// withoutAppendResponses removes the acknowledgements of entries that an installed snapshot has replaced.
func withoutAppendResponses(messages []Message) []Message {
	return slices.DeleteFunc(messages, func(m Message) bool { return m.Kind == AppendResponse })
}
