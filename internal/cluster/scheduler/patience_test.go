package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRackPatience(t *testing.T) {
	group, policy := groupExpecting(10), rackPatience{remoteSlowdown: 1.5}
	require.True(t, policy.waits(testNow+2499*time.Millisecond, group), "half of the five seconds that are lost by running remote")
	require.False(t, policy.waits(testNow+2500*time.Millisecond, group))
	group.job.Extension = 1.5
	require.True(t, policy.waits(testNow+499*time.Millisecond, group))
	require.False(t, policy.waits(testNow+500*time.Millisecond, group), "an urgent job waits less")
}
