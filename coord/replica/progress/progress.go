// Package progress is a leader's view of one other member: how much of the log it has, what was sent
// to it, and when it last responded (paper, figure 2: matchIndex and nextIndex). Times are of the
// leader's monotonic clock.
package progress

import "time"

// ResendAfter is how long a leader waits for a response before it sends entries, or asks for a
// snapshot, again.
const ResendAfter = 600 * time.Millisecond

// Progress is a leader's view of one member. Match < Next holds at all times. It must not be used
// concurrently.
type Progress struct {
	Match uint64 // highest index known to be on the member's disk; 0: it has acknowledged nothing yet
	Next  uint64 // index of the next entry to send; entries in between are in flight

	ackedSentAt         time.Duration // when the newest message that the member responded to was sent
	lastResponse        time.Duration // when its last response came; 0: none has
	entriesSentAt       time.Duration // when entries were last sent
	snapshotRequestedAt time.Duration // when a snapshot was last asked for; 0: never
}

// New returns the progress of a member about which only the index of the next entry is assumed.
func New(next uint64, now time.Duration) *Progress {
	return &Progress{Next: next, entriesSentAt: now}
}

// RecordResponse records that a response came to a message that was sent at a time; 0: the time is
// not known.
func (p *Progress) RecordResponse(sentAt, now time.Duration) {
	p.ackedSentAt = max(p.ackedSentAt, sentAt)
	p.lastResponse = now
}

// AckedSentAt returns when the newest message that the member responded to was sent. The member's
// contact to the leader is not older, so that a lease may count from it.
func (p *Progress) AckedSentAt() time.Duration { return p.ackedSentAt }

// UnresponsiveFor returns how long no response came, counted at most from the beginning of the
// leader's term.
func (p *Progress) UnresponsiveFor(leaderSince, now time.Duration) time.Duration {
	return now - max(p.lastResponse, leaderSince)
}

// Acknowledge records that the member has the log up to an index on disk. Responses may overtake one
// another: Match never falls.
func (p *Progress) Acknowledge(index uint64) {
	p.Match = max(p.Match, index)
	p.Next = max(p.Next, p.Match+1)
}

// Reject goes back to the index that the member proposes, where the entry before Next differs at the
// member (paper, end of section 5.3).
func (p *Progress) Reject(proposed, lastIndex uint64) {
	p.Next = max(p.Match+1, min(proposed+1, lastIndex+1))
}

// RecordSent records that entries up to an index were sent: the next ones follow without waiting for
// the response (dissertation 10.2.2).
func (p *Progress) RecordSent(index uint64, now time.Duration) {
	p.entriesSentAt = now
	p.Next = index + 1
}

// RewindIfLost goes back to the first entry that is not acknowledged where no response has come for
// ResendAfter and more entries wait behind. Where none wait, a heartbeat finds the loss: the member
// rejects it.
func (p *Progress) RewindIfLost(lastIndex uint64, now time.Duration) {
	if p.Next <= lastIndex && p.Next > p.Match+1 && now > p.entriesSentAt+ResendAfter {
		p.Next = p.Match + 1
	}
}

// SnapshotPending reports whether a snapshot was asked for within ResendAfter, so that none is due.
func (p *Progress) SnapshotPending(now time.Duration) bool {
	return p.snapshotRequestedAt != 0 && now < p.snapshotRequestedAt+ResendAfter
}

// RecordSnapshotRequest records that the driver was asked to send a snapshot.
func (p *Progress) RecordSnapshotRequest(now time.Duration) { p.snapshotRequestedAt = now }
