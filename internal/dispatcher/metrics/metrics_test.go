package metrics

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/journal"
	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is an engine with the real pipeline and recorder. The test takes the place of the
// fronts, the pool members and the member list.
type fixture struct {
	engine   *engine.Engine
	recorder *Recorder
	auditor  *Auditor
	journal  *journal.Journal
	dir      string
	ledger   *faultyLedger
	fronts   []*accounting.FrontCounters
	log      *logtest.Recorder
	end      func()

	mu    sync.Mutex
	flows []*engine.Flow
}

// faultyLedger passes calls on to the recorder, except those that it is set to drop.
type faultyLedger struct {
	*Recorder
	dropsAccepted, dropsSent, dropsEnded bool
}

func (f *faultyLedger) JobAccepted(t *engine.Transaction, now time.Time) {
	if !f.dropsAccepted {
		f.Recorder.JobAccepted(t, now)
	}
}

func (f *faultyLedger) FlowSent(flow *engine.Flow, now time.Time) {
	if !f.dropsSent {
		f.Recorder.FlowSent(flow, now)
	}
}

func (f *faultyLedger) JobEnded(t *engine.Transaction, a engine.Answer, now time.Time) {
	if !f.dropsEnded {
		f.Recorder.JobEnded(t, a, now)
	}
}

// lossyJournal is a job journal that, if so set, drops the calls that count jobs.
type lossyJournal struct {
	JobJournal
	drops bool
}

func (l *lossyJournal) JobAccepted(n uint64, j accounting.Job, at time.Time) {
	if !l.drops {
		l.JobJournal.JobAccepted(n, j, at)
	}
}

func (l *lossyJournal) JobEnded(n uint64, group string, r accounting.Reason, at time.Time) {
	if !l.drops {
		l.JobJournal.JobEnded(n, group, r, at)
	}
}

func (r *fixture) Start(f *engine.Flow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flows = append(r.flows, f)
}
func (r *fixture) Abandon(*engine.Flow)        {}
func (r *fixture) Recall(*engine.Flow)         {}
func (r *fixture) EndedOutOfBand(*engine.Flow) {}
func (r *fixture) Probe(*engine.Member)        {}
func (r *fixture) Watch(bool)                  {}
func (r *fixture) Fetch()                      {}

// take removes one of the started flows and returns it, or returns nil if there is none. n
// selects the flow.
func (r *fixture) take(n int) *engine.Flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.flows) == 0 {
		return nil
	}
	i := n % len(r.flows)
	f := r.flows[i]
	r.flows = append(r.flows[:i], r.flows[i+1:]...)
	return f
}

func newFixture(t require.TestingT, dir string) *fixture {
	settings := policy.Settings{
		Instances: 1, ReportsStart: true, Limits: policy.Limits{MaxAttempts: 3, Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second},
		Classes: []policy.Class{
			{Name: "hold", Effect: policy.Deduplicated, DedupScope: policy.DedupCell, DedupWindow: 15 * time.Second, LatencyTarget: time.Second, TargetPerWork: 2, ClientTimeout: 10 * time.Second, Value: 10, Kind: -1},
			{Name: "ticket", Effect: policy.AtMostOnce, LatencyTarget: time.Second, TargetPerWork: 2, ClientTimeout: 25 * time.Second, Value: 2, Kind: -1},
		},
	}
	log, recorder := logtest.New()
	r := &fixture{recorder: NewRecorder(accounting.DefaultLimits()), log: recorder}
	r.ledger = &faultyLedger{Recorder: r.recorder}
	chain := pipeline.New(settings, pipeline.Limits{MaxOpen: 20, MaxBodyBytes: 1 << 20}, r.ledger, log)
	var err error
	r.engine, err = engine.New(settings, chain, nil, log)
	require.NoError(t, err)
	r.engine.SetLister(r)
	for _, front := range []string{"http", "faktory"} {
		r.fronts = append(r.fronts, &accounting.FrontCounters{Front: front})
	}
	r.auditor = NewAuditor(r.recorder, r.engine, r.fronts, log)
	if dir != "" {
		r.dir = dir
		f, err := journal.OpenDirectory(dir)
		require.NoError(t, err)
		r.journal, err = journal.Open(f, journal.Settings{SegmentBytes: 4096, MaxBytes: 1 << 30, MaxAge: time.Hour}, time.Now(), log, r.auditor.ReportDifferences)
		require.NoError(t, err)
		r.recorder.SetJobJournal(r.journal)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); r.engine.Run(ctx) }()
	r.end = func() {
		cancel()
		<-done
		if r.journal != nil {
			_ = r.journal.Close() // an error is expected where a test stops the journal by a fault
		}
	}
	var members []*engine.Member
	for i := range 4 {
		members = append(members, &engine.Member{ID: fmt.Sprint("m", i), Cell: i / 2, Group: fmt.Sprint("cell ", i/2), Transport: r})
	}
	r.engine.UpdateMembers("test", policy.ListRestored, members)
	return r
}

// client counts its answer in the counters of a front.
type client struct{ counters *accounting.FrontCounters }

func (c client) Answer(a engine.Answer) { c.counters.JobAnswered(a.Verdict.Outcome()) }

func (r *fixture) submit(front int, id, class, key string) *engine.Transaction {
	counters := r.fronts[front]
	now := time.Now()
	t := &engine.Transaction{
		ID: id, Front: counters.Front, Class: class, Tenant: "a", Key: key, Arrived: now, Deadline: now.Add(10 * time.Second),
		Hint: 50 * time.Millisecond, Slots: 1, Client: client{counters},
	}
	counters.JobStarted()
	r.engine.Submit(t)
	counters.JobSubmitted()
	return t
}

// TestEngineMatchesLedger drives the engine with random events of clients and members. After
// each event an audit must find no difference, and at the end the journal must match too.
func TestEngineMatchesLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "figures")
		require.NoError(t, err)
		defer func() { require.NoError(t, os.RemoveAll(dir)) }()
		r := newFixture(t, dir)
		ended := false
		defer func() {
			if !ended {
				r.end()
			}
		}()
		var all []*engine.Transaction
		var endedFlows []*engine.Flow
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				n++
				id := fmt.Sprint("t", n)
				if len(all) > 0 && rapid.IntRange(0, 5).Draw(t, "same id") == 0 { // also by the other front
					id = rapid.SampledFrom(all).Draw(t, "other").ID
				}
				all = append(all, r.submit(rapid.IntRange(0, 1).Draw(t, "front"), id, rapid.SampledFrom([]string{"hold", "ticket"}).Draw(t, "class"),
					rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(t, "key")))
			},
			"leave": func(t *rapid.T) { // also after the answer
				if len(all) == 0 {
					t.Skip()
				}
				tx := rapid.SampledFrom(all).Draw(t, "transaction")
				for _, d := range r.fronts {
					if d.Front == tx.Front {
						d.ClientLeft()
					}
				}
				r.engine.ClientLeft(tx)
			},
			"flow ends": func(t *rapid.T) {
				f := r.take(rapid.IntRange(0, 100).Draw(t, "flow"))
				if f == nil {
					t.Skip()
				}
				r.engine.EndFlow(f, policy.Status(rapid.IntRange(0, int(policy.InvalidRequest)).Draw(t, "status")), nil)
				endedFlows = append(endedFlows, f)
			},
			"an ended flow ends again": func(t *rapid.T) {
				if len(endedFlows) == 0 {
					t.Skip()
				}
				r.engine.EndFlow(rapid.SampledFrom(endedFlows).Draw(t, "flow"), policy.OK, nil)
			},
			"": func(t *rapid.T) { require.Empty(t, r.auditor.Audit()) },
		})
		var totals accounting.Totals
		r.engine.Do(func() { totals = r.recorder.Ledger.Totals() })
		r.end()
		ended = true
		require.True(t, r.auditor.Balanced(), "%v", r.auditor.State())
		requireJournal(t, dir, totals)
	})
}

// requireJournal checks that a journal is consistent and has these totals.
func requireJournal(t require.TestingT, dir string, totals accounting.Totals) {
	f, err := journal.ReadDirectory(dir)
	require.NoError(t, err)
	v, err := journal.Verify(f)
	require.NoError(t, err)
	require.Empty(t, v.Inconsistencies)
	require.Empty(t, totals.Compare(accounting.AuditJournal, v.Totals))
}

// TestEachAudit breaks one count at a time in a running dispatcher. The audit that is meant
// to detect it must find a difference and log it as an error.
func TestEachAudit(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(r *fixture)
		want  string
	}{
		"the ledger loses an entry": {func(r *fixture) {
			r.ledger.dropsAccepted = true
			r.submit(0, "x", "hold", "")
		}, accounting.AuditEngine},
		"the ledger loses an end": {func(r *fixture) {
			r.ledger.dropsEnded = true
			r.engine.Do(func() {})
			f := r.take(0)
			r.engine.EndFlow(f, policy.OK, nil)
		}, accounting.AuditEngine},
		"the ledger loses a flow": {func(r *fixture) {
			r.ledger.dropsSent = true
			r.submit(0, "x", "hold", "")
		}, accounting.AuditEngine},
		"a front loses an answer": {func(r *fixture) { r.fronts[0].JobAnswered(accounting.Served) }, accounting.AuditFronts},
		"a front counts a submission that never arrives": {func(r *fixture) {
			r.fronts[1].JobStarted()
			r.fronts[1].JobSubmitted()
		}, accounting.AuditFronts},
		"the journal loses a job": {func(r *fixture) {
			r.engine.Do(func() { r.recorder.journal = &lossyJournal{r.journal, true} })
			r.submit(0, "x", "hold", "")
		}, accounting.AuditJournal},
		"a row counts the end of a job twice": {func(r *fixture) {
			r.engine.Do(func() {
				e := r.recorder.Ledger.JobAccepted(accounting.Job{Front: "nowhere", Class: "hold"}, time.Now())
				r.recorder.Ledger.JobEnded(e, accounting.Answered, time.Now())
				r.recorder.Ledger.JobEnded(e, accounting.Answered, time.Now())
			})
		}, accounting.AuditBalance},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, filepath.Join(t.TempDir(), "figures"))
			for n := range 4 {
				r.submit(n%2, fmt.Sprint("t", n), "hold", "")
			}
			require.Empty(t, r.auditor.Audit())
			require.True(t, r.auditor.Balanced())
			c.fault(r)
			r.auditor.Audit()
			r.end() // closes the journal, which has then processed the checkpoint
			s := r.auditor.State()
			require.NotZero(t, s.Found[c.want], "%v", s)
			require.False(t, r.auditor.Balanced())
			records := r.log.Records()
			require.NotEmpty(t, records)
			require.Equal(t, slog.LevelError, records[len(records)-1].Level)
		})
	}
}

// httpGet returns the body of an answer, which must be a 200, and its content type.
func httpGet(t *testing.T, client *http.Client, url string) (text, contentType string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	require.NoError(t, err)
	resp, err := client.Do(req)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, errors.Join(err, resp.Body.Close()))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	return string(body), resp.Header.Get("Content-Type")
}

// TestExport checks that the counts exported to Prometheus balance, and so do the tables.
func TestExport(t *testing.T) {
	r := newFixture(t, filepath.Join(t.TempDir(), "figures"))
	defer r.end()
	r.submit(0, "t1", "hold", "k")
	r.submit(1, "t2", "hold", "k")
	r.engine.Do(func() {})
	r.engine.EndFlow(r.take(0), policy.OK, nil)
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	x := &Exporter{Name: "n0", Recorder: r.recorder, Engine: r.engine, Auditor: r.auditor, Journal: r.journal}
	go func() { done <- x.Serve(ctx, l) }()
	defer func() {
		http.DefaultClient.CloseIdleConnections()
		cancel()
		require.NoError(t, <-done)
	}()
	get := func(path string) string {
		text, _ := httpGet(t, http.DefaultClient, "http://"+l.Addr().String()+path)
		return text
	}
	metrics := get("/metrics")
	for _, line := range []string{
		`basaltloft_jobs_taken_total{class="hold",front="http",group="-",tenant="a"} 1`,
		`basaltloft_jobs_ended_total{class="hold",front="`, `outcome="served",reason="answered",tenant="a"} 1`,
		`basaltloft_asks_total 1`, `basaltloft_retries_total{kind="known"} 1`, `basaltloft_account_adds_up 1`,
		`basaltloft_job_seconds_count{class="hold",span="whole"} 1`, `basaltloft_audit_differences_total{audit="journal"} 0`,
	} {
		require.Contains(t, metrics, line)
	}
	require.Contains(t, get("/audit"), `"differences":[]`)
	var report Report
	require.NoError(t, json.Unmarshal([]byte(get("/figures")), &report))
	requireTables(t, report)
}

// requireTables checks the totals and the tables of the report of TestExport.
func requireTables(t *testing.T, report Report) {
	t.Helper()
	require.EqualValues(t, 2, report.Account.Totals.Taken)
	require.EqualValues(t, 1, report.Account.Totals.Open)
	var table strings.Builder
	require.NoError(t, Table(&table, report, []string{"front", "class", "group"}))
	require.Contains(t, table.String(), "2 taken = 1 served + 0 refused + 0 failed + 1 open; 1 audits found nothing")
	table.Reset()
	require.NoError(t, WindowTable(&table, report, "hour"))
	require.Regexp(t, `http +hold +a +0 +1 +`, table.String())
	report.Audit.Differences = []accounting.Difference{{Audit: "sums", What: "taken", Ledger: 1, Other: 2}}
	table.Reset()
	require.NoError(t, Table(&table, report, nil))
	require.Contains(t, table.String(), "DOES NOT ADD UP:\n  sums: taken: 1 in the account, 2 on the other side")
}
