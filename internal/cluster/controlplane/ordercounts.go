package controlplane

import (
	"log/slog"
	"sync/atomic"
)

// orderCounts counts a shard's orders to runners since the last report. Its methods may be called
// concurrently.
type orderCounts struct {
	starts    orderCount
	renewals  orderCount
	stops     orderCount
	neverSent atomic.Int64 // orders that were dropped because the leader's lease was lost before the send
	cycles    atomic.Int64 // cycles of the scheduler
}

// orderCount counts the orders of one kind.
type orderCount struct {
	sent       atomic.Int64
	unanswered atomic.Int64
}

// add counts one sent order.
func (c *orderCount) add(answered bool) {
	c.sent.Add(1)
	if !answered {
		c.unanswered.Add(1)
	}
}

// log logs the counts and resets them. If no orders were sent, it logs nothing and resets only the cycles.
func (c *orderCounts) log(log *slog.Logger, shard int) {
	starts, renewals, stops := c.starts.sent.Swap(0), c.renewals.sent.Swap(0), c.stops.sent.Swap(0)
	cycles := c.cycles.Swap(0)
	if starts+renewals+stops == 0 {
		return
	}
	log.Info("shard load", "shard", shard,
		"starts", starts, "starts_unanswered", c.starts.unanswered.Swap(0),
		"polls", renewals, "polls_unanswered", c.renewals.unanswered.Swap(0),
		"stops", stops, "stops_unanswered", c.stops.unanswered.Swap(0),
		"never_sent", c.neverSent.Swap(0), "cycles", cycles)
}
