package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/demo"
	"basaltloft/internal/dispatcher/fakes"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func ms(n int) time.Time { return time.UnixMilli(1_000_000 + int64(n)) }

// TestOverspent compares Overspent with a count over all windows, and checks that it finds a
// token bucket that admits one event too many.
func TestOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var events []Span
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			from := rapid.IntRange(0, 50).Draw(t, "from")
			events = append(events, Span{ms(from), ms(from + rapid.IntRange(0, 20).Draw(t, "for"))})
		}
		rate, burst := float64(rapid.IntRange(1, 500).Draw(t, "rate")), 3.0
		want := -burst
		for _, a := range events {
			for _, b := range events {
				n := 0.0
				for _, e := range events {
					if !e.Start.Before(a.Start) && !e.End.After(b.End) {
						n++
					}
				}
				if !a.Start.After(b.End) {
					want = max(want, n-rate*b.End.Sub(a.Start).Seconds()-burst)
				}
			}
		}
		got, _ := Overspent(events, rate, burst)
		require.InDelta(t, want, got, 1e-9)
	})
	var even []Span // 100 a second, after an accumulated burst of 5
	for n := range 100 {
		even = append(even, Span{ms(max(0, n-4) * 10), ms(max(0, n-4) * 10)})
	}
	by, _ := Overspent(even, 100, 5)
	require.InDelta(t, 0, by, 1e-9)
	by, window := Overspent(append(even, Span{ms(500), ms(500)}), 100, 5)
	require.InDelta(t, 1, by, 1e-9)
	require.False(t, window.Start.After(ms(500)) || window.End.Before(ms(500)), window)
	// Events that may have taken place outside the window don't count.
	by, _ = Overspent(append(even, Span{Start: ms(500)}, Span{ms(400), ms(5000)}), 100, 5)
	require.InDelta(t, 0, by, 1e-9)
}

// TestChecks checks that each check finds the errors planted for it, and nothing in correct data.
func TestChecks(t *testing.T) {
	require.Equal(t, 2, MaxConcurrent([]Span{{ms(0), ms(10)}, {ms(10), ms(20)}, {ms(5), ms(15)}, {ms(15), ms(15)}}))
	require.Equal(t, 3, MaxConcurrent([]Span{{ms(0), ms(10)}, {ms(9), ms(20)}, {Start: ms(1)}}))

	e := CompareOutcomes([]string{"a", "b", "c", "d"}, []FinalAnswer{{"a", "sold"}, {"b", "sold"}, {"b", "sold"}, {"c", "sold"}, {"c", "gave up"}, {"x", "sold"}})
	require.Equal(t, Outcomes{Once: []string{"a", "b"}, Never: []string{"d"}, Repeated: []string{"b"}, Contradictory: []string{"c: gave up | sold"}, Unrequested: []string{"x"}}, e)

	ticket, hold := "group-ticket", "place-hold"
	log := []fakes.Arrival{
		{ID: "1-0", LogicalID: "1", Class: ticket, Dispatcher: "n1", ArrivedAt: ms(0), Rejected: true},
		{ID: "1-1", LogicalID: "1", Class: ticket, Dispatcher: "n2", ArrivedAt: ms(1), StartedAt: ms(2), EndedAt: ms(5)},
		{ID: "2-0", LogicalID: "2", Class: ticket, Dispatcher: "n1", ArrivedAt: ms(1), StartedAt: ms(2)},
		{ID: "3-0", LogicalID: "3", Class: hold, Dispatcher: "n1", ArrivedAt: ms(1), StartedAt: ms(2)},
		{ID: "3-1", LogicalID: "3", Class: hold, Dispatcher: "n1", ArrivedAt: ms(1), StartedAt: ms(2)},
	}
	calls := []fakes.Call{{ID: "1-0", Class: ticket, Status: 503}, {ID: "1-1", Class: ticket, Status: 200, Ended: ms(9)}, {ID: "3-0", Class: hold, Status: 503}, {ID: "2-0", Class: ticket}}
	require.Empty(t, RunTwice(log, demo.AtMostOnce))
	require.Empty(t, UnfoundedAnswers(calls, log, demo.AtMostOnce))
	again := append(slices.Clone(log), fakes.Arrival{ID: "2-1", LogicalID: "2", Class: ticket, Dispatcher: "n2", StartedAt: ms(9)})
	require.Equal(t, []string{"2"}, RunTwice(again, demo.AtMostOnce))
	wrong := append(slices.Clone(calls), fakes.Call{ID: "2-0", Class: ticket, Status: 503}, fakes.Call{ID: "4-0", Status: 200}, fakes.Call{ID: "3-0", Status: 200, Ended: ms(1)})
	require.Equal(t, []string{"2-0", "4-0", "3-0"}, UnfoundedAnswers(wrong, log, demo.AtMostOnce))
	n1 := func(a fakes.Arrival) bool { return a.Dispatcher == "n1" }
	require.Equal(t, []Span{{ms(0), ms(0)}, {ms(1), ms(1)}, {ms(1), ms(1)}, {ms(1), ms(1)}}, StartPoints(Spans(log, n1)))
	require.Equal(t, Span{ms(0), ms(0)}, Spans(log, n1)[0])

	r := &Cluster{calls: []fakes.Call{{ID: "1", Addr: "a", Sent: ms(0), Ended: ms(10)}, {ID: "2", Addr: "a", Sent: ms(0), Ended: ms(30)},
		{ID: "3", Addr: "b", Sent: ms(0), Ended: ms(30)}, {ID: "4", Addr: "a", Sent: ms(41), Ended: ms(50)}, {ID: "5", Addr: "b", Sent: ms(50), Ended: ms(60), Status: 502},
		{ID: "6", Addr: "a", Sent: ms(70), Ended: ms(90)}}, outages: []outage{{"a", Span{ms(20), ms(40)}}, {"a", Span{Start: ms(80)}}}}
	require.Equal(t, []string{"1", "3", "4"}, r.LostCalls())

	missing, extra, back := CompareRecords([]string{"a", "b", "c"}, []string{"p", "q"}, []string{"a", "c", "q", "x", "c"})
	require.Equal(t, [][]string{{"b"}, {"x", "c"}, {"q"}}, [][]string{missing, extra, back})
}

// TestHistories checks that possible histories pass and that each planted violation is found.
func TestHistories(t *testing.T) {
	type call struct{ in, out any } // out nil: it was never answered
	const s = time.Second
	acquire := func(holder string, out any) call { return call{LeaseCall{"coach", holder, 0}, out} }
	renew := func(holder string, fence uint64, out any) call { return call{LeaseCall{"coach", holder, fence}, out} }
	granted := func(fence uint64, at time.Duration) LeaseAnswer { return LeaseAnswer{true, fence, at, at + 3*s} }
	refused := func(at time.Duration) LeaseAnswer { return LeaseAnswer{At: at} }
	held := []call{acquire("n1", granted(1, 0)), acquire("n2", refused(1*s)), renew("n1", 1, granted(1, 2*s))}
	for name, c := range map[string]struct {
		calls []call
		good  bool
	}{
		"held, renewed, ended, taken":     {append(held, renew("n1", 1, refused(5*s)), acquire("n2", granted(2, 5*s)), renew("n1", 1, refused(6*s))), true},
		"a restart fences its old self":   {append(held, acquire("n1", granted(2, 3*s)), renew("n1", 1, refused(4*s))), true},
		"an unanswered renewal may count": {append(held, renew("n1", 1, nil), acquire("n2", refused(5500*time.Millisecond))), true},
		"an unanswered grant may count":   {append(held, acquire("n2", nil), renew("n2", 2, granted(2, 6*s))), true},
		"two names":                       {append(held, call{LeaseCall{"price", "n2", 0}, granted(1, 1*s)}), true},
		"granted to two":                  {append(held, acquire("n2", granted(2, 3*s))), false},
		"the same number twice":           {append(held, acquire("n2", granted(1, 5*s))), false},
		"renewed after its end":           {append(held, renew("n1", 1, granted(1, 6*s))), false},
		"renewed with an old number":      {append(held, acquire("n2", granted(2, 5*s)), renew("n1", 1, granted(1, 6*s))), false},
		"refused though free":             {append(held, acquire("n2", refused(5*s))), false},
		"time ran backward":               {append(held, acquire("n2", refused(1*s))), false},
		"a run ends once": {[]call{{RunCall{"r", ""}, ""}, {RunCall{"r", "sold"}, "sold"}, {RunCall{"r", "gave up"}, "sold"}, {RunCall{"r", ""}, "sold"},
			{RunCall{"q", "gave up"}, "gave up"}}, true},
		"an unanswered end may count": {[]call{{RunCall{"r", "sold"}, nil}, {RunCall{"r", "gave up"}, "sold"}}, true},
		"an unanswered end may not":   {[]call{{RunCall{"r", "sold"}, nil}, {RunCall{"r", "gave up"}, "gave up"}, {RunCall{"r", ""}, "gave up"}}, true},
		"a run ends twice":            {[]call{{RunCall{"r", "sold"}, "sold"}, {RunCall{"r", "gave up"}, "gave up"}}, false},
		"an end is forgotten":         {[]call{{RunCall{"r", "sold"}, "sold"}, {RunCall{"r", ""}, ""}}, false},
	} {
		h := NewHistory()
		for n, one := range c.calls {
			if answered := h.Call(n, one.in); one.out != nil {
				answered(one.out)
			}
		}
		model := LeaseModel()
		if _, ok := c.calls[0].in.(RunCall); ok {
			model = RunModel()
		}
		err := h.Check(model, time.Now().Add(10*time.Second))
		require.Equal(t, c.good, err == nil, "%s: %v", name, err)
	}
}

// TestDigests checks that raft nodes whose digests differ at one index of the log are found, also
// when they are equal again later, and that an error is returned for raft nodes that never reach
// the same index.
func TestDigests(t *testing.T) {
	r := new(Cluster)
	responses := make([]string, 2)
	for i := range responses {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, responses[i]) }))
		defer s.Close()
		r.Processes = append(r.Processes, &Process{Name: fmt.Sprintf("n%d", i+1), addrs: map[string]string{"admin": s.Listener.Addr().String()}})
	}
	keeper := func(index int, digest string) string {
		return fmt.Sprintf(`{"Process":"n","Keeper":{"Index":%d,"Digests":{"members":%q}}}`, index, digest)
	}
	var d DigestMonitor
	for _, c := range []struct {
		one, two string
		differ   int
	}{{keeper(5, "aa"), keeper(5, "aa"), 0}, {keeper(7, "bb"), keeper(7, "cc"), 1}, {keeper(8, "dd"), keeper(8, "dd"), 1}} {
		responses[0], responses[1] = c.one, c.two
		got, err := d.WaitConverged(r, 2, time.Now().Add(transitionTimeout))
		require.NoError(t, err)
		require.Len(t, got, c.differ)
	}
	responses[1] = keeper(9, "ee")
	_, err := d.WaitConverged(r, 2, time.Now().Add(50*time.Millisecond))
	require.Error(t, err)
	responses[1] = `{"Process":"n"}` // not a raft node: it reports no digests
	_, err = new(DigestMonitor).WaitConverged(r, 2, time.Now().Add(50*time.Millisecond))
	require.Error(t, err)
}

// delayedProcess is a process that shows records late: until the record of its last call has been
// requested lag times, that record and the one before it wait to be written, and its spool
// counts neither as unsent.
type delayedProcess struct {
	lag     int
	last    string // the last call; empty: none yet
	records []string
}

func (k *delayedProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, one := strings.CutPrefix(r.URL.Path, "/records/")
	switch {
	case r.Method == http.MethodPost:
		k.last = r.Header.Get("X-Call-Id")
		k.records = append(k.records, k.last)
	case r.URL.Path == "/fleet":
		_, _ = io.WriteString(w, `{"spool":{"unsent":0}}`)
	case one && id == k.last && k.lag == 0:
	case one:
		k.lag--
		http.NotFound(w, r)
	default:
		shown := k.records
		if k.lag > 0 {
			shown = shown[:len(shown)-min(len(shown), 2)]
		}
		var page struct{ Records []struct{ ID string } }
		for _, id := range shown {
			page.Records = append(page.Records, struct{ ID string }{id})
		}
		_ = json.NewEncoder(w).Encode(page)
	}
}

// TestRetentionMonitorWaits checks that RetentionMonitor waits for records that are not yet
// written when the load ends, although no spool counts them as unsent, and that it finds a
// record that never arrives and one without a call.
func TestRetentionMonitorWaits(t *testing.T) {
	const tenant = "hrad"
	for name, c := range map[string]struct {
		records        []string
		missing, extra []string
	}{
		"all come":           {records: []string{"1", "2", "3"}},
		"one is lost":        {records: []string{"1", "3"}, missing: []string{"2"}},
		"one more":           {records: []string{"1", "2", "4", "3"}, extra: []string{"4"}},
		"one twice":          {records: []string{"1", "2", "2", "3"}, extra: []string{"2"}},
		"a plan's stage run": {records: []string{"1", "2", "plan-4", "3"}},
	} {
		t.Run(name, func(t *testing.T) {
			keeper := &delayedProcess{lag: 3, records: c.records}
			server := httptest.NewServer(keeper)
			defer server.Close()
			addr := server.Listener.Addr().String()
			r := &Cluster{random: rand.New(rand.NewPCG(1, 1)), Processes: []*Process{{Name: "n1", addrs: map[string]string{"admin": addr, "listen": addr}}}}
			for _, id := range []string{"1", "2", "3"} {
				r.calls = append(r.calls, fakes.Call{ID: id, Tenant: tenant, Addr: addr, Status: 200, Ended: time.Now()})
			}
			m := &RetentionMonitor{KeptTenants: []string{tenant}}
			require.NoError(t, m.Check(r))
			require.Equal(t, c.missing, m.missing)
			require.Equal(t, c.extra, m.extra)
		})
	}
}
