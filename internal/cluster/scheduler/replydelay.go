package scheduler

import (
	"time"

	"basaltloft/internal/shared/admission"
)

const (
	// replyDelayWindow is the window, in replies, of the mean delay.
	replyDelayWindow = 64
	// leastReplies is how many replies must have come before their delay says anything of this node.
	leastReplies = 16
	// overdueDelays: a reply is overdue once it takes so many times the mean delay.
	overdueDelays = 3
)

// replyDelay is how long the replies to orders to start take of late, in the mean of all runners that
// reply. Where that is long it is this node that is late, not a runner: time-outs that blame a runner
// then wait longer. Else a node that has too much to do takes its runners for lost, and adds polls and
// speculative attempts to what it has to do. The zero value knows of no delay.
type replyDelay struct{ seconds admission.Average }

// replied takes in how long a reply took. One spell in which the node stood still counts no more than the
// longest that a reply is waited for.
func (d *replyDelay) replied(took time.Duration) {
	d.seconds.Add(min(took, maxRenewalTimeout).Seconds(), replyDelayWindow)
}

// overdueAfter returns how long a reply is waited for: least, or longer where all are late, up to most.
func (d *replyDelay) overdueAfter(least, most time.Duration) time.Duration {
	if d.seconds.Count < leastReplies {
		return least
	}
	delay := time.Duration(overdueDelays * d.seconds.Value * float64(time.Second))
	return min(max(least, delay), most)
}
