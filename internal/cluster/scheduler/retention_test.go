package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestJobsThatAreOverAreKeptForAWhile(t *testing.T) {
	queue := newRetentionQueue(2 * time.Minute)
	require.True(t, queue.add("a", 1000))
	require.False(t, queue.add("a", 2000))
	require.True(t, queue.add("b", 3000))
	limit := int64(1000 + 120_000 + 30_000)
	require.Empty(t, queue.expired(limit))
	require.Equal(t, []string{"a"}, queue.expired(limit+1))
	require.Empty(t, queue.expired(limit+1), "once")
	require.Equal(t, []string{"b"}, queue.expired(limit+2001))
}
