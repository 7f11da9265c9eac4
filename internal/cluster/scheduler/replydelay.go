package scheduler

import (
	"time"

	"basaltloft/internal/shared/admission"
	"basaltloft/internal/shared/saturating"
)

const (
	// replyDelayWindow is the window, in replies, of the mean delay.
	replyDelayWindow = 64
	// minReplies is the number of replies from which on the mean delay is used.
	minReplies = 16
	// overdueDelays is the multiple of the mean delay after which a reply is overdue.
	overdueDelays = 3
)

// replyDelay is the recent mean delay of replies to orders to start, over all runners that reply.
// If it is long, the cause is this node and not a runner, so the timeouts after which a runner
// counts as unresponsive are extended. Otherwise an overloaded node would consider its runners lost
// and add polls and speculative attempts to its load. The zero value has no measured delay.
type replyDelay struct{ seconds admission.Average }

// replied records how long a reply took. The value is capped at the longest timeout, so that a
// single pause of this node doesn't dominate the mean.
func (d *replyDelay) replied(took time.Duration) {
	d.seconds.Add(min(took, maxRenewalTimeout).Seconds(), replyDelayWindow)
}

// overdueAfter returns the timeout for a reply: minimum, or a longer one, up to maximum, if all
// replies are late.
func (d *replyDelay) overdueAfter(minimum, maximum time.Duration) time.Duration {
	if d.seconds.Count < minReplies {
		return minimum
	}
	delay := saturating.Duration(overdueDelays * d.seconds.Value * float64(time.Second))
	return min(max(minimum, delay), maximum)
}
