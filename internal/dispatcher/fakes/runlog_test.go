package fakes

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRunTwice checks that RunTwice returns only jobs that must not run twice, each once.
func TestRunTwice(t *testing.T) {
	l := NewRunLog()
	require.Zero(t, l.RecordRun("ticket", true))
	require.Zero(t, l.RecordRun("hold", false))
	require.Equal(t, 1, l.RecordRun("hold", false))
	require.Empty(t, l.RunTwice())
	require.Equal(t, 1, l.RecordRun("ticket", true))
	require.Equal(t, 2, l.RecordRun("ticket", true))
	require.Equal(t, []string{"ticket"}, l.RunTwice())
	require.Equal(t, 2, l.JobCount())
}

// TestArrivals checks that arrivals are kept only after KeepArrivals, and that a cancelled arrival is
// settled once, and only at its member.
func TestArrivals(t *testing.T) {
	l := NewRunLog()
	l.addArrival(Arrival{ID: "lost"})
	require.Empty(t, l.Arrivals())
	l.KeepArrivals()
	l.addArrival(Arrival{ID: "job", Member: "s-1"})
	second := l.addArrival(Arrival{ID: "job", Member: "s-2"})
	started := time.Now()
	l.updateArrival(second, func(a *Arrival) { a.StartedAt = started })
	l.abandon("job", "s-1")
	settled := l.Arrivals()[0].SettledAt
	require.False(t, settled.IsZero())
	l.abandon("job", "s-1")
	all := l.Arrivals()
	require.Len(t, all, 2)
	require.Equal(t, settled, all[0].SettledAt)
	require.Equal(t, started, all[1].StartedAt)
	require.True(t, all[1].SettledAt.IsZero())
}
