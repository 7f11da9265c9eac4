package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/placement"
)

func TestUrgency(t *testing.T) {
	for _, test := range []struct {
		name        string
		extension   float64
		targetMs    int64
		longRunning bool
		want        placement.Urgency
	}{
		{"no objective", 0, 250, false, placement.UrgencyNormal},
		{"little time to spare", 1.5, 400, false, placement.UrgencyHigh},
		{"some", 1.5, 500, false, placement.UrgencyNormal},
		{"much", 1.5, 1500, false, placement.UrgencyLow},
		{"long-running", 1.5, 0, true, placement.UrgencyLow},
	} {
		t.Run(test.name, func(t *testing.T) {
			group := groupExpecting(1)
			group.job.Extension, group.job.TargetMs, group.step.LongRunning = test.extension, test.targetMs, test.longRunning
			require.Equal(t, test.want, group.urgency())
		})
	}
}
