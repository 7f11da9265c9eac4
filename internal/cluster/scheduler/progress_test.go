package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRemainingTime(t *testing.T) {
	r := &run{expected: 1, orderedAt: testNow}
	_, known := r.remaining()
	require.False(t, known)
	r.recordProgress(testNow+100*time.Millisecond, 10)
	_, known = r.remaining()
	require.False(t, known, "the span is too short")
	r.recordProgress(testNow+200*time.Millisecond, 20)
	remaining, known := r.remaining()
	require.True(t, known)
	require.Equal(t, 800*time.Millisecond, remaining)
	require.InDelta(t, 0.7, r.slowness(testNow+200*time.Millisecond), 1e-9, "the tolerance is subtracted")

	resumed := &run{expected: 1, orderedAt: testNow, resumed: true}
	resumed.recordProgress(testNow+100*time.Millisecond, 60)
	resumed.recordProgress(testNow+300*time.Millisecond, 80)
	remaining, known = resumed.remaining()
	require.True(t, known)
	require.Equal(t, 200*time.Millisecond, remaining, "progress before the resume doesn't count")
}
