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

// Report is the state of a running dispatcher's ledger, audits and journal. It is sent as
// JSON, under the names of its fields.
type Report struct {
	Name    string // of the dispatcher
	Started time.Time
	Account accounting.Snapshot
	Audit   AuditState
	Journal *JournalState `json:",omitempty"` // nil: the dispatcher keeps no journal
}

// JournalState is the state of the job journal. It is sent as JSON, under the names of its
// fields.
type JournalState struct {
	Epoch   uint32 // the number of this start of the dispatcher
	Written int64  // records
	Stopped bool   // nothing more is written
	Why     string // the reason why it stopped
}

// Exporter serves the ledger on the operator's listener: /metrics for Prometheus,
// /figures as JSON, and /audit, which runs an audit now and answers with its state.
type Exporter struct {
	Name     string // of the dispatcher
	Started  time.Time
	Recorder *Recorder
	Engine   Engine
	Auditor  *Auditor
	Journal  *journal.Journal // nil: none
}

// Limits of the exporter's HTTP server.
const (
	maxScrapes     = 2 // at a time
	readTimeout    = 2 * time.Second
	writeTimeout   = 10 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
)

// Report returns the current report. It reads the whole ledger at one moment.
func (x *Exporter) Report() Report {
	r := Report{Name: x.Name, Started: x.Started, Audit: x.Auditor.State()}
	x.Engine.Do(func() { r.Account = x.Recorder.Ledger.Snapshot(time.Now()) })
	if x.Journal != nil {
		r.Journal = &JournalState{Epoch: x.Journal.Recovery().Epoch, Written: x.Journal.Written()}
		r.Journal.Stopped, r.Journal.Why = x.Journal.Stopped()
	}
	return r
}

// Serve serves HTTP on the listener until the context ends, and closes the listener.
func (x *Exporter) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler: x.handler(), ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() {
		_ = server.Close() // server.Serve returns in any case
	})
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving metrics: %w", err)
	}
	return nil
}

func (x *Exporter) handler() http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{x}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
	mux.HandleFunc("GET /figures", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, x.Report()) })
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, _ *http.Request) {
		x.Auditor.Audit()
		writeJSON(w, x.Auditor.State())
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a client that has disconnected needs no answer
}
