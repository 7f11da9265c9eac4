package metrics

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/journal"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Report is all that the running program tells of its account.
type Report struct {
	Name    string
	Started time.Time
	Account accounting.Snapshot
	Audit   AuditState
	Journal *JournalState `json:",omitempty"`
}

// JournalState is how the journal is.
type JournalState struct {
	Epoch   uint32
	Written int64
	Stopped bool
	Why     string
}

// Exporter tells the account on a listener of the operator's: /metrics for
// Prometheus, /figures as JSON, /audit runs an audit now.
type Exporter struct {
	Name     string
	Started  time.Time
	Recorder *Recorder
	Engine   Engine
	Auditor  *Auditor
	Journal  *journal.Journal // nil: off
}

// Report reads the account at one moment.
func (x *Exporter) Report() Report {
	r := Report{Name: x.Name, Started: x.Started, Audit: x.Auditor.State()}
	x.Engine.Do(func() { r.Account = x.Recorder.Ledger.Snapshot(time.Now()) })
	if x.Journal != nil {
		r.Journal = &JournalState{Epoch: x.Journal.Recovery().Epoch, Written: x.Journal.Written()}
		r.Journal.Stopped, r.Journal.Why = x.Journal.Stopped()
	}
	return r
}

// Serve serves until the context ends.
func (x *Exporter) Serve(ctx context.Context, l net.Listener) error {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{x}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2}))
	mux.HandleFunc("GET /figures", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, x.Report()) })
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, _ *http.Request) {
		x.Auditor.Audit()
		writeJSON(w, x.Auditor.State())
	})
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 2 * time.Second, WriteTimeout: 10 * time.Second,
		IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving figures: %w", err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v) // who asked may have left: that is theirs
}

// collector tells the account to Prometheus. It reads it anew for each scrape,
// at one moment, so that a scrape is in balance too.
type collector struct{ x *Exporter }

var (
	jobLabels = []string{"front", "class", "tenant", "group"}
	taken     = desc("jobs_taken_total", "Jobs taken, by where they are or were last.", jobLabels...)
	came      = desc("jobs_came_total", "Jobs that were sent to this group, having been elsewhere.", jobLabels...)
	went      = desc("jobs_went_total", "Jobs that were sent to another group.", jobLabels...)
	ended     = desc("jobs_ended_total", "Jobs with their one final answer.", append(jobLabels, "outcome", "reason")...)
	open      = desc("jobs_open", "Jobs without a final answer.", jobLabels...)
	flows     = desc("flows_sent_total", "Server-side flows: attempts.", "class", "group")
	flowsDone = desc("flows_ended_total", "Server-side flows that ended.", "class", "group", "status")
	flowsOut  = desc("flows_out", "Server-side flows that are out.", "class", "group")
	asksNew   = desc("asks_total", "What clients asked for, retries not counted.")
	asksAgain = desc("retries_total", "Tries of an ask that was known.", "kind")
	asksOpen  = desc("asks_open", "Asks of which a try is open.")
	asksEnded = desc("asks_standing", "Asks by what they have come to so far.", "outcome")
	audits    = desc("audits_total", "Audits of the account.")
	differ    = desc("audit_differences_total", "Differences that audits have found.", "audit")
	wrong     = desc("account_adds_up", "1 unless an audit has found a difference since the start.")
	stopped   = desc("journal_stopped", "1 if the journal of figures has stopped writing.")
	written   = desc("journal_records_total", "Records written to the journal of figures.")
	seconds   = desc("job_seconds", "Spans of ended jobs: wait until the last send, run from there, whole.", "class", "span")
)

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("basaltloft_"+name, help, labels, nil)
}

// Describe implements prometheus.Collector.
func (c collector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

// Collect implements prometheus.Collector.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	r := c.x.Report()
	count := func(d *prometheus.Desc, n int64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), labels...)
	}
	gauge := func(d *prometheus.Desc, n int64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(n), labels...)
	}
	for i := range r.Account.Rows {
		row := &r.Account.Rows[i]
		at := []string{row.Front, row.Class, row.Tenant, row.Group}
		count(taken, row.Entered, at...)
		count(came, row.Came, at...)
		count(went, row.Went, at...)
		gauge(open, row.Open, at...)
		for reason, n := range row.Ends {
			if n > 0 {
				reason := accounting.Reason(reason)
				count(ended, n, append(at[:4:4], reason.Outcome().String(), reason.String())...)
			}
		}
	}
	for i := range r.Account.Flows {
		f := &r.Account.Flows[i]
		count(flows, f.Sent, f.Class, f.Group)
		gauge(flowsOut, f.Out, f.Class, f.Group)
		for s, n := range f.Ends {
			if n > 0 {
				count(flowsDone, n, f.Class, f.Group, accounting.StatusNameAt(s))
			}
		}
	}
	a := &r.Account.Asks
	count(asksNew, a.Asked)
	count(asksAgain, a.Retries, "known")
	count(asksAgain, a.Strays, "stray")
	gauge(asksOpen, a.Open)
	for o := range accounting.Outcomes {
		gauge(asksEnded, a.Final(o), o.String())
	}
	count(audits, r.Audit.Audits)
	addsUp := int64(1)
	for audit, n := range r.Audit.Found {
		count(differ, n, audit)
		if n > 0 {
			addsUp = 0
		}
	}
	gauge(wrong, addsUp)
	if j := r.Journal; j != nil {
		count(written, j.Written)
		gauge(stopped, map[bool]int64{true: 1}[j.Stopped])
	}
	for class, t := range r.Account.Times {
		for span, d := range map[string]accounting.Distribution{"wait": t.Wait, "run": t.Run, "whole": t.Whole} {
			buckets := make(map[float64]uint64, len(d.Buckets))
			for _, edge := range accounting.BucketEdges {
				buckets[edge.Seconds()] = uint64(d.Buckets[edge])
			}
			ch <- prometheus.MustNewConstHistogram(seconds, uint64(d.Count), d.Sum.Seconds(), buckets, class, span)
		}
	}
}
