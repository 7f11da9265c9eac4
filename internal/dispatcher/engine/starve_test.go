package engine

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
)

// TestTimersDoNotStarveEvents checks that a timer that is due again as soon as it has run, as when its work
// takes longer than its interval, does not starve events. The delay of the policy's timers counts from the
// call of Timer, not from the beginning of the event.
func TestTimersDoNotStarveEvents(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	c, err := New(policy.Settings{Instances: 1, Limits: policy.Limits{MaxAttempts: 1}, Classes: []policy.Class{
		{Name: "notice", Effect: policy.Idempotent, LatencyTarget: time.Second, TargetPerWork: 2, ClientTimeout: time.Minute, Value: 1, Kind: -1},
	}}, &recorder{t: t}, nil, log)
	require.NoError(t, err)
	timerRuns, runsAtEvent := 0, 0
	var again func()
	again = func() {
		if timerRuns++; timerRuns == 1 {
			c.post(func() { runsAtEvent = timerRuns })
		}
		if timerRuns < 100 {
			c.timers.schedule(time.Now(), again)
		}
	}
	c.timers.schedule(time.Now(), again)
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	defer cancel()
	c.Do(func() {})
	for done := false; !done; {
		c.Do(func() { done = timerRuns == 100 })
	}
	require.LessOrEqual(t, runsAtEvent, 2, "number of timers that ran before the event")

	c.Do(func() {
		c.now = time.Now().Add(-time.Minute) // the event began a minute ago
		host{c}.Timer(time.Second, "tick")
		require.Positive(t, c.timers.untilNext(time.Now()))
	})
}
