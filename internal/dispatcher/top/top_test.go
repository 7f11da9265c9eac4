package top

import (
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/faktory/client"
	"basaltloft/internal/dispatcher/metrics"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/stretchr/testify/require"
)

func newSample(at time.Time, served int64) Sample {
	r := Sample{At: at, Figures: &metrics.Report{Name: "n0", Started: at.Add(-time.Minute)}, Faktory: &client.Info{}}
	row := accounting.Row{RowKey: accounting.RowKey{Front: "http", Class: "place-hold", Tenant: "a", Group: "cell 0"}, Entered: served + 1, Open: 1}
	row.Ends[accounting.Answered] = served
	a := &r.Figures.Account
	a.At, a.Rows = at, []accounting.Row{row}
	a.Totals = accounting.Totals{Taken: served + 1, Open: 1, Ends: row.Ends}
	a.Times = map[string]accounting.LatencySnapshots{"place-hold": {}}
	a.Flows = []accounting.FlowCounts{{Class: "place-hold", Group: "cell 0", Sent: 2, Out: 1}}
	r.Faktory.Faktory.Queues = map[string]int{"holds": 3}
	r.Faktory.Faktory.Paused = []string{"holds"}
	r.Faktory.Faktory.Pushed = int(2 * served)
	r.Workers = []client.Worker{{ID: "w1", Host: "till", HeldJobs: 2, Quiet: true, Queues: []string{"holds"}}}
	return r
}

// TestView: the view shows totals, the rates between two samples, and all tables.
func TestView(t *testing.T) {
	m := New(Source{}, time.Second)
	require.Equal(t, "reading ...\n", m.View())
	at := time.Date(2026, 7, 4, 12, 0, 0, 0, time.UTC)
	m.Update(newSample(at, 10))
	_, next := m.Update(newSample(at.Add(2*time.Second), 30))
	require.NotNil(t, next, "the next read is scheduled")
	for _, want := range []string{
		"taken 31 = served 30 + refused 0 + failed 0 + open 1", "taken 10.0, served 10.0", "pushed 20.0",
		"cell 0 1", "paused", "w1 (quiet)", "place-hold",
	} {
		require.Contains(t, m.View(), want)
	}
	// After a restart the counts are lower: the rates are 0, not negative.
	m.Update(newSample(at.Add(4*time.Second), 0))
	require.Contains(t, m.View(), "taken 0.0, served 0.0")
	m.Update(tea.KeyMsg{Type: tea.KeyTab})
	require.Contains(t, m.View(), "class  taken")
	m.Update(tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune("p")})
	_, next = m.Update(tick{})
	require.Nil(t, next, "stopped")
	require.Contains(t, m.View(), "(stopped)")
	m.Update(tea.WindowSizeMsg{Width: 80, Height: 5})
	require.Equal(t, 4, strings.Count(m.View(), "\n"))
	_, end := m.Update(tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune("q")})
	require.Equal(t, tea.Quit(), end())
}

// TestUnreachable: the view shows which parts of an unreachable dispatcher could not be read.
func TestUnreachable(t *testing.T) {
	m := New(Source{MetricsAddr: "127.0.0.1:1", FaktoryAddr: "127.0.0.1:1"}, time.Second)
	m.Update(m.Init()())
	require.Contains(t, m.View(), "! figures: ")
	require.Contains(t, m.View(), "! faktory: no Faktory server there")
}
