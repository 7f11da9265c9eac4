package scheduler

import (
	"time"

	"basaltloft/internal/shared/admission"
)

// A task runs at a runner only while its lease lasts there. One renewal, which is also a poll,
// renews the leases of all of a runner's tasks, and the runner replies with a report of its runs
// once one of them ends, or when it was told to reply at the latest.

const (
	// leaseDuration is how long leases last from each renewal on: longer than a change of the
	// leader, or a restart of the whole control plane, takes, and no longer, since what ran at a
	// runner that is unresponsive is known to be over only then.
	leaseDuration = 3300 * time.Millisecond
	// leaseMargin is how much less than the longest lease that a runner grants is asked for.
	leaseMargin = 150 * time.Millisecond

	// maxPollWaitMs is how long a runner may wait for an end before it replies, in milliseconds;
	// minPollWaitMs where many renewals get no reply.
	maxPollWaitMs = 700
	minPollWaitMs = 150
	// lossRateWeight: the wait is halved where one renewal in so many gets no reply.
	lossRateWeight = 100
	// lossWindow is the window, in renewals, of the average of those that get no reply.
	lossWindow = 150
	// startDeadlineMarginMs: so much after the deadline of an order that has no reply the runner
	// is to report, in milliseconds of its clock.
	startDeadlineMarginMs = 5

	// renewalTimeout: a renewal whose reply is overdue by so much counts as lost, and another one
	// is sent. Where all replies are late it is up to maxRenewalTimeout.
	renewalTimeout    = 200 * time.Millisecond
	maxRenewalTimeout = 500 * time.Millisecond
	// renewalBackoff is the pause before the second renewal after a lost one; it rises by as much
	// with each further one, up to maxRenewalBackoff.
	renewalBackoff    = 150 * time.Millisecond
	maxRenewalBackoff = 900 * time.Millisecond
	// commitTimeout: the next renewal waits for the commitment of the ends that were reported, but
	// no longer than this.
	commitTimeout = time.Second

	// startReplyTimeout is how long the reply to an order to start is waited for before its
	// runner counts as unresponsive. Where all replies are late it is up to maxStartReplyTimeout: later
	// the order is not carried out.
	startReplyTimeout    = 120 * time.Millisecond
	maxStartReplyTimeout = startDeadlineMs * time.Millisecond
)

// leaseManager renews the task leases at all runners. It decides when the next renewal leaves, for
// how long it asks, and how long its reply is waited for.
type leaseManager struct {
	maxLease time.Duration     // what runners grant at the most
	sequence *sequence         // numbers the renewals
	lossRate admission.Average // share of renewals that get no reply
	delay    replyDelay
}

// duration returns for how long leases are asked.
func (m *leaseManager) duration() time.Duration { return min(m.maxLease-leaseMargin, leaseDuration) }

// renewIfDue returns the next renewal where it is due and none is pending. A runner that is not in
// contact is polled without its leases being renewed: else what it runs could never be known to
// be over. So is one that has not yet replied to this leader: its first report, which says what it
// runs, comes at once.
func (m *leaseManager) renewIfDue(now time.Duration, runner *runnerSession) (order Order, due bool) {
	lease, contact := &runner.lease, &runner.contact
	if lease.pending || lease.fencedOff || runner.ended || now < lease.dueAt || !runner.listed && len(runner.load.runs) == 0 && contact.fenced {
		return Order{}, false
	}
	order = Order{Kind: OrderRenewLease, Runner: runner.id, Address: runner.address, AckedThrough: lease.ackedThrough, Sequence: m.sequence.next()}
	if contact.fenced && contact.inContact(now) {
		order.DeadlineMs = contact.clockAt(now) + m.duration().Milliseconds()
		if !lease.replyAtOnce {
			order.WaitMs = m.pollWaitMs(now, runner)
		}
		lease.replyAtOnce = false
		runner.granted(order.DeadlineMs)
	}
	lease.pending, lease.sequence = true, order.Sequence
	lease.replyDeadline = now + time.Duration(order.WaitMs)*time.Millisecond + m.delay.overdueAfter(renewalTimeout, maxRenewalTimeout)
	return order, true
}

// startOverdue tells whether an order to start should have had a reply by now.
func (m *leaseManager) startOverdue(now time.Duration, r *run) bool {
	return r.phase == phaseOrdered && now-r.orderedAt > m.delay.overdueAfter(startReplyTimeout, maxStartReplyTimeout)
}

// pollWaitMs returns how long a runner may wait for an end before it replies, in milliseconds:
// less where replies get lost, and no longer than until the deadline of an order to start that has
// no reply is past.
func (m *leaseManager) pollWaitMs(now time.Duration, runner *runnerSession) int64 {
	wait := max(minPollWaitMs, int64(maxPollWaitMs/(1+lossRateWeight*m.lossRate.Value)))
	for _, r := range runner.load.runs {
		if m.startOverdue(now, r) {
			wait = min(wait, max(0, r.orderDeadlineMs+startDeadlineMarginMs-runner.contact.clockAt(now)))
		}
	}
	return wait
}

// checkOverdue gives up a pending renewal whose reply is overdue, and lets the next one fall due.
func (m *leaseManager) checkOverdue(now time.Duration, runner *runnerSession) {
	lease, contact := &runner.lease, &runner.contact
	if !lease.pending || now < lease.replyDeadline {
		return
	}
	lease.pending = false
	contact.missedPolls++
	if contact.missedPolls == 1 {
		m.lossRate.Add(1, lossWindow)
	}
	lease.dueAt = now + renewalPause(contact.missedPolls-1)
}

// renewalPause returns the pause before a renewal that follows so many without a reply.
func renewalPause(missed int) time.Duration {
	return min(maxRenewalBackoff, time.Duration(missed)*renewalBackoff)
}

// pollForOverdueStarts lets a renewal fall due at once where an order to start that has no reply
// is past its deadline: the report will say whether it was carried out.
func (m *leaseManager) pollForOverdueStarts(now time.Duration, runner *runnerSession) {
	lease, contact := &runner.lease, &runner.contact
	if !lease.pending || !contact.fenced || contact.missedPolls > 0 {
		return
	}
	for _, r := range runner.load.runs {
		if r.phase == phaseOrdered && !r.startPolled && contact.clockAt(now) > r.orderDeadlineMs {
			r.startPolled = true
			lease.pending, lease.dueAt = false, now
		}
	}
}

// renewalResult says what the reply to a renewal means.
type renewalResult uint8

const (
	renewalFailed    renewalResult = iota // another one follows after a pause, unless the runner refuses the token
	incarnationEnded                      // another incarnation runs at the address
	reportArrived                         // the runner's report is to be reconciled
	reportOvertaken                       // a later report of the runner arrived first
)

// replied takes in the reply to a renewal. One that was given up, since it was overdue, counts all
// the same, but for the pause before the next one.
func (m *leaseManager) replied(now time.Duration, runner *runnerSession, sequence uint64, reply LeaseReply, reportMs int64) renewalResult {
	lease, contact := &runner.lease, &runner.contact
	current := lease.sequence == sequence && lease.pending
	if current {
		lease.pending = false
	}
	switch reply {
	case LeaseOtherIncarnation:
		return incarnationEnded
	case LeaseFenced:
		lease.fencedOff = true
		return renewalFailed
	case LeaseNoReply:
		if current {
			contact.missedPolls++
			lease.dueAt = now + renewalPause(contact.missedPolls)
		}
		return renewalFailed
	case LeaseRenewed:
	}
	if contact.missedPolls == 0 {
		m.lossRate.Add(0, lossWindow)
	}
	if reportMs < contact.clockMs && contact.fenced {
		return reportOvertaken
	}
	return reportArrived
}

// pollIfDue sends a runner its next renewal, if that is due.
func (s *Scheduler) pollIfDue(runner *runnerSession) {
	if order, due := s.leases.renewIfDue(s.now, runner); due {
		s.outbox.send(order)
	}
}

// LeaseReplied takes in the reply to a renewal of leases. The report counts with LeaseRenewed only.
func (s *Scheduler) LeaseReplied(now time.Duration, order Order, reply LeaseReply, report RunnerReport) {
	s.now = now
	runner := s.runners.byID[order.Runner]
	if runner == nil {
		return
	}
	switch s.leases.replied(now, runner, order.Sequence, reply, report.ClockMs) {
	case incarnationEnded:
		s.endIncarnation(runner)
	case reportArrived:
		s.reconcile(runner, report)
	case renewalFailed, reportOvertaken:
	}
}
