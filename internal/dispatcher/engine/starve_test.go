package engine

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
)

// TestTimersLeaveEventsTheirTurn: a timer that is due again as soon as it has come,
// as of work that takes longer than the time to its next, keeps no event waiting.
// The policy's own times count from when it asks for them, not from the event.
func TestTimersLeaveEventsTheirTurn(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	c, err := New(policy.Settings{Instances: 1, Limits: policy.Limits{MaxAttempts: 1}, Classes: []policy.Class{
		{Name: "notice", Effect: policy.Idempotent, LatencyTarget: time.Second, TargetPerWork: 2, ClientTimeout: time.Minute, Value: 1, Kind: -1},
	}}, &tape{t: t}, nil, log)
	require.NoError(t, err)
	laps, heard := 0, 0
	var again func()
	again = func() {
		if laps++; laps == 1 {
			c.post(func() { heard = laps })
		}
		if laps < 100 {
			c.timers.schedule(time.Now(), again)
		}
	}
	c.timers.schedule(time.Now(), again)
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	defer cancel()
	c.Do(func() {})
	for done := false; !done; {
		c.Do(func() { done = laps == 100 })
	}
	require.LessOrEqual(t, heard, 2, "an event waited for so many timers")

	c.Do(func() {
		c.now = time.Now().Add(-time.Minute) // the event has taken a minute so far
		host{c}.Timer(time.Second, "tick")
		require.Positive(t, c.timers.untilNext(time.Now()))
	})
}
