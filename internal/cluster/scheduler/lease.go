package scheduler

import (
	"time"

	"basaltloft/internal/shared/admission"
	"basaltloft/internal/shared/saturating"
)

// A task may run at a runner only as long as its lease there is valid. A lease renewal, which is
// also a poll, renews the leases of all tasks at a runner. The runner replies with a report of its
// runs when one of them ends, or after the wait time that the renewal allows.

const (
	// leaseDuration is the duration of leases, counted from each renewal. It is longer than a
	// change of the leader or a restart of the whole control plane takes. It is not longer than
	// that because the runs of an unresponsive runner are only known to be over once their leases
	// have expired.
	leaseDuration = 3300 * time.Millisecond
	// leaseMargin is how much shorter the requested leases are than the longest lease that runners
	// grant.
	leaseMargin = 150 * time.Millisecond

	// maxPollWaitMs is how long a runner may wait for the end of a run before it replies, in
	// milliseconds. The wait is reduced down to minPollWaitMs if many renewals get no reply.
	maxPollWaitMs = 700
	minPollWaitMs = 150
	// lossRateWeight determines how much lost replies reduce the wait: it is halved if one of
	// lossRateWeight renewals gets no reply.
	lossRateWeight = 100
	// lossWindow is the window, in renewals, of the average rate of renewals without a reply.
	lossWindow = 150
	// startDeadlineMarginMs is how long after the deadline of an order to start without a reply the
	// runner has to report, in milliseconds of its clock.
	startDeadlineMarginMs = 5

	// renewalTimeout is how long a reply to a renewal may be overdue before the renewal counts as
	// lost and another one is sent. If the replies of all runners are late, the timeout is extended
	// up to maxRenewalTimeout.
	renewalTimeout    = 200 * time.Millisecond
	maxRenewalTimeout = 500 * time.Millisecond
	// renewalBackoff is the pause before the second renewal after a lost one. The pause grows by
	// the same amount for each further renewal, up to maxRenewalBackoff.
	renewalBackoff    = 150 * time.Millisecond
	maxRenewalBackoff = 900 * time.Millisecond
	// commitTimeout is the maximum time for which the next renewal is delayed until the reported
	// ends are committed.
	commitTimeout = time.Second

	// startReplyTimeout is how long the reply to an order to start may take before the runner
	// counts as unresponsive. If the replies of all runners are late, the timeout is extended up to
	// maxStartReplyTimeout, after which the runner no longer carries out the order.
	startReplyTimeout    = 120 * time.Millisecond
	maxStartReplyTimeout = startDeadlineMs * time.Millisecond
)

// leaseManager renews the task leases at all runners. It decides when the next renewal is sent,
// which lease duration it requests and when its reply is overdue.
type leaseManager struct {
	maxLease time.Duration     // longest lease that runners grant
	sequence *sequence         // numbers of the renewals
	lossRate admission.Average // fraction of renewals without a reply
	delay    replyDelay
}

// duration returns the lease duration to request.
func (m *leaseManager) duration() time.Duration { return min(m.maxLease-leaseMargin, leaseDuration) }

// renewIfDue returns the next renewal if it is due and none is pending. A runner that is out of
// contact is polled without a renewal of its leases; otherwise its runs could never be known to be
// over. A runner that has not yet replied to this leader is also polled without a renewal and
// without a wait, so that its first report, which lists its runs, arrives immediately.
func (m *leaseManager) renewIfDue(now time.Duration, runner *runnerSession) (order Order, due bool) {
	lease, contact := &runner.lease, &runner.contact
	if lease.pending || lease.rejectsToken || runner.ended || now < lease.dueAt || !runner.listed && len(runner.load.runs) == 0 && contact.tokenAccepted {
		return Order{}, false
	}
	order = Order{Kind: OrderRenewLease, Runner: runner.id, Address: runner.address, AckedThrough: lease.ackedThrough, Sequence: m.sequence.next()}
	if contact.tokenAccepted && contact.inContact(now) {
		order.DeadlineMs = contact.clockAt(now) + m.duration().Milliseconds()
		if !lease.replyAtOnce {
			order.WaitMs = m.pollWaitMs(now, runner)
		}
		lease.replyAtOnce = false
		runner.recordGrant(order.DeadlineMs)
	}
	lease.pending, lease.sequence = true, order.Sequence
	lease.replyDeadline = now + time.Duration(order.WaitMs)*time.Millisecond + m.delay.overdueAfter(renewalTimeout, maxRenewalTimeout)
	return order, true
}

// startOverdue reports whether the reply to an order to start is overdue.
func (m *leaseManager) startOverdue(now time.Duration, r *run) bool {
	return r.phase == phaseOrdered && now-r.orderedAt > m.delay.overdueAfter(startReplyTimeout, maxStartReplyTimeout)
}

// pollWaitMs returns how long a runner may wait for the end of a run before it replies, in
// milliseconds. The wait is shorter if replies get lost, and it ends shortly after the deadline of
// the first order to start whose reply is overdue.
func (m *leaseManager) pollWaitMs(now time.Duration, runner *runnerSession) int64 {
	wait := max(minPollWaitMs, saturating.Int64(maxPollWaitMs/(1+float64(lossRateWeight*m.lossRate.Value))))
	for _, r := range runner.load.runs {
		if m.startOverdue(now, r) {
			wait = min(wait, max(0, r.orderDeadlineMs+startDeadlineMarginMs-runner.contact.clockAt(now)))
		}
	}
	return wait
}

// checkOverdue gives up the pending renewal if its reply is overdue, and schedules the next one.
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

// renewalPause returns the pause before a renewal that follows the given number of renewals without
// a reply.
func renewalPause(missed int) time.Duration {
	return min(maxRenewalBackoff, time.Duration(missed)*renewalBackoff)
}

// pollForOverdueStarts makes a renewal due immediately if an order to start has no reply and its
// deadline has passed: the report then shows whether the runner carried it out.
func (m *leaseManager) pollForOverdueStarts(now time.Duration, runner *runnerSession) {
	lease, contact := &runner.lease, &runner.contact
	if !lease.pending || !contact.tokenAccepted || contact.missedPolls > 0 {
		return
	}
	for _, r := range runner.load.runs {
		if r.phase == phaseOrdered && !r.startPolled && contact.clockAt(now) > r.orderDeadlineMs {
			r.startPolled = true
			lease.pending, lease.dueAt = false, now
		}
	}
}

// renewalResult is the result of a renewal, according to the reply.
type renewalResult uint8

const (
	renewalFailed    renewalResult = iota // retried after a pause, unless the runner rejects the token
	incarnationEnded                      // another incarnation runs at the address
	reportArrived                         // the runner's report has to be reconciled
	reportOvertaken                       // a later report of the runner has already arrived
)

// replied processes the reply to a renewal. The reply to a renewal that was given up as overdue is
// still valid, but it doesn't delay the next renewal.
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
		lease.rejectsToken = true
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
	if reportMs < max(contact.clockMs, contact.reportMs) && contact.tokenAccepted {
		return reportOvertaken
	}
	return reportArrived
}

// pollIfDue sends a runner its next renewal if it is due.
func (s *Scheduler) pollIfDue(runner *runnerSession) {
	if order, due := s.leases.renewIfDue(s.now, runner); due {
		s.outbox.send(order)
	}
}

// LeaseReplied processes the reply to a lease renewal. The report is used only if the reply is
// LeaseRenewed.
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
