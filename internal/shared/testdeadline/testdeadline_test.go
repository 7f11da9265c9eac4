package testdeadline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRemaining(t *testing.T) {
	now := time.Unix(1000, 0)
	require.Equal(t, 9*time.Minute, remaining(now, now.Add(10*time.Minute), true))
	require.Equal(t, minWait, remaining(now, now.Add(reserve), true), "a run that is almost over")
	require.Equal(t, withoutDeadline, remaining(now, time.Time{}, false))
	require.Positive(t, Remaining(t))
}

func TestContextEndsWithTheTest(t *testing.T) {
	var ended <-chan struct{}
	t.Run("a test", func(t *testing.T) { ended = Context(t).Done() })
	require.Eventually(t, func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	}, Remaining(t), time.Millisecond)
}
