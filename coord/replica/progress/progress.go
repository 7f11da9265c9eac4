// Package progress tracks a leader's view of one other member: how much of the log it has, which entries
// were sent to it, and when it last responded (paper, figure 2: matchIndex and nextIndex). All times are
// readings of the leader's monotonic clock.
package progress

import "time"

// ResendAfter is the time that a leader waits for a response before it sends entries, or requests a
// snapshot, again.
const ResendAfter = 600 * time.Millisecond

// Progress is a leader's view of one member. Match < Next holds at all times. It must not be used
// concurrently.
type Progress struct {
	Match uint64 // highest index known to be on the member's disk; 0 if it has acknowledged nothing yet
	Next  uint64 // index of the next entry to send; entries between Match and Next are in flight

	ackedSentAt         time.Duration // send time of the newest message that the member responded to
	lastResponse        time.Duration // arrival time of the last response; 0 if there is none
	entriesSentAt       time.Duration // time at which entries were last sent
	snapshotRequestedAt time.Duration // time at which a snapshot was last requested; 0 means never
}

// New returns the progress of a member that has acknowledged nothing yet. Next is the assumed index of
// the first entry to send.
func New(next uint64, now time.Duration) *Progress {
	return &Progress{Next: next, entriesSentAt: now}
}

// RecordResponse records a response to a message that was sent at sentAt, which is 0 if not known.
func (p *Progress) RecordResponse(sentAt, now time.Duration) {
	p.ackedSentAt = max(p.ackedSentAt, sentAt)
	p.lastResponse = now
}

// AckedSentAt returns the send time of the newest message that the member responded to. The member's
// contact to the leader is not earlier, so that a lease may count from this time.
func (p *Progress) AckedSentAt() time.Duration { return p.ackedSentAt }

// UnresponsiveFor returns the time since the last response, or since leaderSince if that is later.
func (p *Progress) UnresponsiveFor(leaderSince, now time.Duration) time.Duration {
	return now - max(p.lastResponse, leaderSince)
}

// Acknowledge records that the member has the log up to an index on disk. Match never decreases, since
// responses may arrive out of order.
func (p *Progress) Acknowledge(index uint64) {
	p.Match = max(p.Match, index)
	p.Next = max(p.Next, p.Match+1)
}

// Reject sets Next back to follow the index that the member proposes, after the member has rejected a
// message because its log differs at the entry before Next (paper, end of section 5.3).
func (p *Progress) Reject(proposed, lastIndex uint64) {
	p.Next = max(p.Match+1, min(proposed+1, lastIndex+1))
}

// RecordSent records that entries up to an index were sent. Later entries are sent without waiting for
// the response (dissertation 10.2.2).
func (p *Progress) RecordSent(index uint64, now time.Duration) {
	p.entriesSentAt = now
	p.Next = index + 1
}

// RewindIfLost sets Next back to the first entry that is not acknowledged, if entries are in flight, the
// last ones were sent more than ResendAfter ago, and more entries are waiting to be sent. If none are
// waiting, the next heartbeat detects a loss, because the member rejects it.
func (p *Progress) RewindIfLost(lastIndex uint64, now time.Duration) {
	if p.Next <= lastIndex && p.Next > p.Match+1 && now > p.entriesSentAt+ResendAfter {
		p.Next = p.Match + 1
	}
}

// SnapshotPending reports whether a snapshot was requested within ResendAfter, so that none is due.
func (p *Progress) SnapshotPending(now time.Duration) bool {
	return p.snapshotRequestedAt != 0 && now < p.snapshotRequestedAt+ResendAfter
}

// RecordSnapshotRequest records that the driver was asked to send a snapshot.
func (p *Progress) RecordSnapshotRequest(now time.Duration) { p.snapshotRequestedAt = now }
