package accounting

import (
	"fmt"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 7, 4, 11, 59, 30, 0, time.UTC)

// smallLimits returns limits that a few jobs exceed.
func smallLimits() Limits {
	return Limits{MaxNames: 3, MaxRows: 12, MaxLogicalRequests: 8, LogicalRequestRetention: time.Minute}
}

// TestCheckBalance applies random events to a ledger. After each of them every sum must hold, and the ledger
// must agree with a table of open jobs that the test keeps.
//
//nolint:funlen // one property with events of a few lines each
func TestCheckBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(smallLimits()), start
		type job struct {
			entry *Entry
			front string
		}
		var open []job
		out := map[[2]string]int{}
		var ended, flows int64
		pick := func(names ...string) string { return rapid.SampledFrom(names).Draw(t, "name") }
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				j := Job{
					Front: pick("http", "faktory"), Class: pick("hold", "ticket"), Tenant: pick("a", "b", "c", "d", "e"),
					Key: pick("", "", "k1", "k2", "k3", "k4", "k5", "k6"), Retry: rapid.Bool().Draw(t, "retry"),
				}
				open = append(open, job{b.JobAccepted(j, now), j.Front})
			},
			"send": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				j := rapid.SampledFrom(open).Draw(t, "job")
				group := pick("cell 0", "cell 1", "faktory")
				b.FlowSent(j.entry, group, now)
				out[[2]string{j.entry.Job.Class, group}]++
				flows++
			},
			"flow ends": func(t *rapid.T) { // also of a job that has ended
				for at, n := range out {
					if n > 0 {
						out[at]--
						flows--
						b.FlowEnded(at[0], at[1], policy.Status(rapid.IntRange(0, flowStatuses-1).Draw(t, "status")))
						return
					}
				}
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "job")
				b.JobEnded(open[i].entry, Reason(rapid.IntRange(0, int(Reasons)-1).Draw(t, "reason")), now)
				open = append(open[:i], open[i+1:]...)
				ended++
			},
			"time": func(t *rapid.T) { // it may also go backward
				now = now.Add(time.Duration(rapid.IntRange(-90, 4000).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				require.Empty(t, b.CheckBalance())
				engineOpen := OpenCounts{}
				for _, j := range open {
					engineOpen[[2]string{j.front, j.entry.Job.Class}]++
				}
				require.Empty(t, b.CompareEngine(engineOpen, flows))
				require.EqualValues(t, len(open), b.Totals().Open)
				require.EqualValues(t, int64(len(open))+ended, b.Totals().Taken)
				require.LessOrEqual(t, len(b.rows), 12+2*2*4, "rows are bounded, except the shared ones")
				require.LessOrEqual(t, len(b.requests.tracked), 8+len(open)+1)
			},
		})
	})
}

// TestLogicalRequests checks that tries with the same class and key count as one logical request, on either
// front and also after the first try was answered.
func TestLogicalRequests(t *testing.T) {
	try := func(b *Ledger, front, key string, retry bool, r Reason) {
		b.JobEnded(b.JobAccepted(Job{Front: front, Class: "hold", Key: key, Retry: retry}, start), r, start)
	}
	for name, c := range map[string]struct {
		do   func(b *Ledger)
		want LogicalRequests
	}{
		"a refused try, then a served one on the other front": {func(b *Ledger) {
			try(b, "http", "k", false, Declined)
			try(b, "faktory", "k", false, Answered)
		}, LogicalRequests{Asked: 1, Retries: 1, Reopened: [Outcomes]int64{Refused: 1}, Ends: [Outcomes]int64{Served: 1, Refused: 1}}},
		"a retry after the first try was served": {func(b *Ledger) {
			try(b, "http", "k", false, Answered)
			try(b, "http", "k", true, GivenUp)
		}, LogicalRequests{Asked: 1, Retries: 1, Echoes: 1, Ends: [Outcomes]int64{Served: 1}}},
		"two tries at once, of which the first is served": {func(b *Ledger) {
			one := b.JobAccepted(Job{Class: "hold", Key: "k"}, start)
			two := b.JobAccepted(Job{Class: "hold", Key: "k"}, start)
			b.JobEnded(one, Answered, start)
			b.JobEnded(two, GivenUp, start)
		}, LogicalRequests{Asked: 1, Retries: 1, Ends: [Outcomes]int64{Served: 1}}},
		"without a key each try is a logical request": {func(b *Ledger) {
			try(b, "http", "", false, Answered)
			try(b, "http", "", false, GivenUp)
		}, LogicalRequests{Asked: 2, Ends: [Outcomes]int64{Served: 1, Failed: 1}}},
		"a marked retry without a key counts as no logical request": {func(b *Ledger) {
			try(b, "http", "", true, Answered)
		}, LogicalRequests{Strays: 1}},
		"the same key in another class": {func(b *Ledger) {
			try(b, "http", "k", false, Answered)
			b.JobEnded(b.JobAccepted(Job{Class: "ticket", Key: "k"}, start), Answered, start)
		}, LogicalRequests{Asked: 2, Ends: [Outcomes]int64{Served: 2}}},
		"a logical request is forgotten after the retention": {func(b *Ledger) {
			try(b, "http", "k", false, Declined)
			b.JobEnded(b.JobAccepted(Job{Class: "hold", Key: "other"}, start.Add(2*time.Minute)), Answered, start)
			try(b, "http", "k", false, Answered)
		}, LogicalRequests{Asked: 3, Ends: [Outcomes]int64{Served: 2, Refused: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(smallLimits())
			c.do(b)
			require.Equal(t, c.want, b.requests.LogicalRequests)
			require.Empty(t, b.CheckBalance())
		})
	}
}

// TestWindows checks that the counts of a minute, hour or day are dropped with its window, and that no job is
// lost if the clock goes backward.
func TestWindows(t *testing.T) {
	b := New(smallLimits())
	one := func(at time.Time) { b.JobEnded(b.JobAccepted(Job{Front: "http", Class: "hold"}, at), Answered, at) }
	latest := func(at time.Time) (minute, hour, day uint32) {
		l := b.Snapshot(at).Lines[0]
		return l.Minute.Accepted, l.Hour.Accepted, l.Day.Accepted
	}
	one(start)
	one(start.Add(time.Minute))     // another hour
	one(start.Add(-24 * time.Hour)) // the clock was set back
	m, h, d := latest(start.Add(time.Minute))
	require.Equal(t, []uint32{2, 2, 3}, []uint32{m, h, d})
	l := b.Snapshot(start.Add(59 * time.Minute)).Lines[0]
	require.EqualValues(t, 0, l.Minute.Accepted)
	require.EqualValues(t, 3, l.Hour60.Accepted)
	require.EqualValues(t, 3, l.Hour60.Ends[Served])
	require.EqualValues(t, 2, b.Snapshot(start.Add(60 * time.Minute)).Lines[0].Hour60.Accepted)
	require.EqualValues(t, 0, b.Snapshot(start.Add(240 * time.Hour)).Lines[0].Day24.Accepted)
	require.Empty(t, b.CheckBalance())
}

// TestAuditsFindFaults falsifies one count in each case, and checks that the audit of that count finds it.
func TestAuditsFindFaults(t *testing.T) {
	begin := func() (*Ledger, *Entry, OpenCounts) {
		b := New(smallLimits())
		b.JobEnded(b.JobAccepted(Job{Front: "http", Class: "hold", Key: "a"}, start), Answered, start)
		e := b.JobAccepted(Job{Front: "http", Class: "hold"}, start)
		b.FlowSent(e, "cell 0", start)
		return b, e, OpenCounts{{"http", "hold"}: 1}
	}
	sums := func(b *Ledger, _ *Entry) []Difference { return b.CheckBalance() }
	for name, c := range map[string]struct {
		fault func(b *Ledger, e *Entry)
		audit func(b *Ledger, e *Entry) []Difference
	}{
		"a row's open":                 {func(_ *Ledger, e *Entry) { e.row.Open++ }, sums},
		"a row's end":                  {func(_ *Ledger, e *Entry) { e.row.Ends[GivenUp]++ }, sums},
		"a row's jobs from other rows": {func(_ *Ledger, e *Entry) { e.row.Came--; e.row.Open-- }, sums},
		"the total":                    {func(b *Ledger, _ *Entry) { b.totals.Taken++ }, sums},
		"a whole job counted twice":    {func(_ *Ledger, e *Entry) { e.row.Entered++; e.row.Ends[Answered]++ }, sums},
		"a job ended twice":            {func(b *Ledger, e *Entry) { b.JobEnded(e, GivenUp, start); b.JobEnded(e, GivenUp, start) }, sums},
		"a flow":                       {func(b *Ledger, _ *Entry) { b.flowCounts("hold", "cell 0").Ends[policy.Rejected]++ }, sums},
		"a flow, sent and out":         {func(b *Ledger, _ *Entry) { f := b.flowCounts("hold", "cell 0"); f.Sent++; f.Out++ }, sums},
		"a logical request's end":      {func(b *Ledger, _ *Entry) { b.requests.Ends[Served]++ }, sums},
		"a job the engine lost": {func(_ *Ledger, _ *Entry) {}, func(b *Ledger, _ *Entry) []Difference {
			return b.CompareEngine(OpenCounts{}, 1)
		}},
		"a flow the engine lost": {func(_ *Ledger, _ *Entry) {}, func(b *Ledger, _ *Entry) []Difference {
			return b.CompareEngine(OpenCounts{{"http", "hold"}: 1}, 0)
		}},
		"a job of a front": {func(_ *Ledger, _ *Entry) {}, func(b *Ledger, _ *Entry) []Difference {
			r := FrontCountersSnapshot{Started: 3, Submitted: 3, Answers: [Outcomes]int64{Served: 1}}
			return b.CompareFront("http", r, r)
		}},
		"an answer of a front": {func(_ *Ledger, _ *Entry) {}, func(b *Ledger, _ *Entry) []Difference {
			r := FrontCountersSnapshot{Started: 2, Submitted: 2, Answers: [Outcomes]int64{Served: 2}}
			return b.CompareFront("http", r, r)
		}},
		"a client that never left": {func(b *Ledger, e *Entry) { b.JobEnded(e, ClientLeft, start) }, func(b *Ledger, _ *Entry) []Difference {
			r := FrontCountersSnapshot{Started: 2, Submitted: 2, Answers: [Outcomes]int64{Served: 1}}
			return b.CompareFront("http", r, r)
		}},
		"the journal": {func(_ *Ledger, _ *Entry) {}, func(b *Ledger, _ *Entry) []Difference {
			return b.Totals().Compare(AuditJournal, Totals{Taken: 2, Open: 2})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			b, e, engineOpen := begin()
			good := FrontCountersSnapshot{Started: 2, Submitted: 2, Answers: [Outcomes]int64{Served: 1}}
			require.Empty(t, b.CheckBalance())
			require.Empty(t, b.CompareEngine(engineOpen, 1))
			require.Empty(t, b.CompareFront("http", good, good))
			require.Empty(t, b.Totals().Compare(AuditJournal, b.Totals()))
			c.fault(b, e)
			d := c.audit(b, e)
			require.NotEmpty(t, d)
			require.NotEmpty(t, d[0].String())
		})
	}
}

// TestBounds checks that the ledger's size is bounded however many names and keys clients send.
func TestBounds(t *testing.T) {
	b := New(Limits{Tenants: []string{"known"}, MaxRows: 64, MaxLogicalRequests: 16, LogicalRequestRetention: time.Hour})
	for n := range 10000 {
		j := Job{Front: "http", Class: "hold", Tenant: fmt.Sprint("t", n), Key: fmt.Sprint("k", n)}
		e := b.JobAccepted(j, start)
		b.FlowSent(e, fmt.Sprint("cell ", n), start)
		b.FlowEnded("hold", fmt.Sprint("cell ", n), policy.OK)
		b.JobEnded(e, Answered, start)
	}
	require.Empty(t, b.CheckBalance())
	require.LessOrEqual(t, len(b.rows), 66)
	require.LessOrEqual(t, len(b.flows), 65)
	require.Len(t, b.series, 1)
	require.LessOrEqual(t, len(b.requests.tracked), 16)
}

// BenchmarkJob measures the ledger's cost of one job with one flow.
func BenchmarkJob(b *testing.B) {
	ledger := New(DefaultLimits())
	keys := make([]string, 4096)
	for i := range keys {
		keys[i] = fmt.Sprintf("5c0f6e1a2b3d4c59a8b7c6d5e4f3%04x", i)
	}
	now := start
	one := func(n int) {
		e := ledger.JobAccepted(Job{Front: "http", Class: "place-hold", Tenant: "hrad-kamenec", Key: keys[n%len(keys)]}, now)
		ledger.FlowSent(e, "cell 0", now)
		ledger.FlowEnded("place-hold", "cell 0", policy.OK)
		ledger.JobEnded(e, Answered, now.Add(time.Second))
		now = now.Add(time.Millisecond)
	}
	for n := range 20000 { // warm-up
		one(n)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		one(n)
	}
}
