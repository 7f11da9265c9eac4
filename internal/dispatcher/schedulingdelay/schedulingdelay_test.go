package schedulingdelay_test

import (
	"testing"
	"time"

	"basaltloft/internal/dispatcher/schedulingdelay"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestDetector(t *testing.T) {
	type event struct{ at, waited time.Duration }
	for name, c := range map[string]struct {
		events     []event
		overloaded bool
	}{
		"nothing seen":              {nil, false},
		"a burst":                   {[]event{{0, 90 * ms}, {50 * ms, 60 * ms}, {99 * ms, 51 * ms}}, false},
		"late for as long":          {[]event{{0, 90 * ms}, {50 * ms, 60 * ms}, {100 * ms, 51 * ms}}, true},
		"one in time between":       {[]event{{0, 90 * ms}, {50 * ms, 50 * ms}, {100 * ms, 51 * ms}}, false},
		"late, and then in time":    {[]event{{0, 90 * ms}, {100 * ms, 90 * ms}, {101 * ms, 10 * ms}}, false},
		"in time, and late at once": {[]event{{0, 90 * ms}, {100 * ms, 90 * ms}, {101 * ms, 10 * ms}, {102 * ms, 90 * ms}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			detector, begin := schedulingdelay.New(schedulingdelay.Bounds{Target: 50 * ms, Interval: 100 * ms}), time.Now()
			for _, e := range c.events {
				detector.Observe(e.waited, begin.Add(e.at))
			}
			require.Equal(t, c.overloaded, detector.Overloaded())
		})
	}
	var off schedulingdelay.Detector
	off.Observe(time.Hour, time.Now())
	off.Observe(time.Hour, time.Now().Add(time.Hour))
	require.False(t, off.Overloaded())
	require.Equal(t, 2*time.Hour, off.RetryDelay(2*time.Hour))
	require.Equal(t, time.Hour, off.RetryDelay(ms))
}

// TestOverloadedMeansLateThroughout: for any sequence of events, the detector reports an overload exactly
// if all events of a period of at least Interval, which ends with the last event, were late.
func TestOverloadedMeansLateThroughout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		detector, now := schedulingdelay.New(schedulingdelay.Bounds{Target: 10, Interval: 50}), time.Unix(1, 0)
		var late []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "apart")))
			waited := time.Duration(rapid.IntRange(0, 20).Draw(t, "waited"))
			detector.Observe(waited, now)
			if waited <= 10 {
				late = nil
			} else {
				late = append(late, now)
			}
			require.Equal(t, len(late) > 0 && now.Sub(late[0]) >= 50, detector.Overloaded())
		}
	})
}
