package fakes

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Faults are the probabilities, from 0 to 1, of the faults of a member or worker.
type Faults struct {
	Reject       float64 // it responds that it is full
	Fail         float64 // it runs the job and reports it as failed
	Break        float64 // it closes the connection after it has run the job
	DuplicateEnd float64 // it reports the end of a job twice
	HandBack     float64 // it accepts the job and returns it without starting it
	ReportLost   float64 // it runs the job and reports it as lost
	Hang         float64 // it accepts the job or does not respond, and never reports
}

// MemberSettings are the settings of a member.
type MemberSettings struct {
	ID             string
	Zone           string // empty: hall
	Kind           string // empty: std
	Cell           int
	Slots          int                              // jobs that run concurrently; 0: 1
	Run            func(class string) time.Duration // how long a job runs
	Faults         Faults
	ReportTo       func() string // the address of the dispatcher that jobs are reported to
	RunLog         *RunLog
	Outcome        func(class, logicalID string, body []byte) (state, result string) // of a job; then faults may change the state; nil: done
	AtMostOnce     func(class string) bool                                           // classes that must not run twice
	NoStartReports bool                                                              // starts of jobs are not reported
	Seed           uint64
}

// Member is an HTTP pool member: it queues jobs, runs as many concurrently as it has slots,
// and reports each start and end to the dispatcher that the job came from.
type Member struct {
	MemberSettings
	listener net.Listener
	server   *http.Server
	queue    chan memberJob
	ctx      context.Context // ends when the member is closed
	stop     context.CancelFunc
	running  sync.WaitGroup
	client   http.Client

	mu        sync.Mutex
	random    *rand.Rand
	endpoints map[string]endpoint // by the member's address that a job is sent to
}

// endpoint is the address of a member for one dispatcher.
type endpoint struct {
	dispatcher string
	reportTo   func() string
}

type memberJob struct {
	id, class, logicalID string
	body                 []byte
	arrival              int // its index in the run log
	reportTo             func() string
}

// report is what a member reports about a job.
type report struct{ state, result string }

const (
	maxQueued      = 64
	reportTimeout  = 2 * time.Second
	maxReports     = 10 // how many times one state is reported until the dispatcher accepts it
	reportInterval = 20 * time.Millisecond
)

// NewMember starts a member on a loopback address.
func NewMember(s MemberSettings) (*Member, error) {
	l, err := listenLoopback()
	if err != nil {
		return nil, fmt.Errorf("fake member: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &Member{
		MemberSettings: s, listener: l, queue: make(chan memberJob, maxQueued), ctx: ctx, stop: stop,
		random: rand.New(rand.NewPCG(s.Seed, 7)), client: http.Client{Timeout: reportTimeout},
		endpoints: map[string]endpoint{l.Addr().String(): {"", s.ReportTo}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health/live", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("DELETE /jobs/{id}", func(_ http.ResponseWriter, r *http.Request) { // a job that has started continues
		m.RunLog.abandon(r.PathValue("id"), m.ID)
	})
	mux.HandleFunc("POST /", m.submit)
	m.server = &http.Server{Handler: mux}
	m.serve(l)
	for range max(1, s.Slots) {
		m.running.Go(m.runQueue)
	}
	return m, nil
}

func (m *Member) serve(l net.Listener) {
	m.running.Go(func() { _ = m.server.Serve(l) }) // until Close
}

// Instance returns the member's entry for discovery's list.
func (m *Member) Instance() Instance {
	return Instance{
		ID: m.ID, Addr: m.listener.Addr().String(), Zone: cmp.Or(m.Zone, "hall"), Kind: cmp.Or(m.Kind, "std"), Cell: m.Cell,
		Lifecycle: "active", Weight: 1,
	}
}

// OpenFor opens another address of the member for one more dispatcher. Jobs that are sent to this
// address are reported to that dispatcher. It returns the member's entry for that dispatcher's list.
func (m *Member) OpenFor(dispatcher string, reportTo func() string) (Instance, error) {
	l, err := listenLoopback()
	if err != nil {
		return Instance{}, fmt.Errorf("fake member's address for %s: %w", dispatcher, err)
	}
	addr := l.Addr().String()
	m.mu.Lock()
	m.endpoints[addr] = endpoint{dispatcher, reportTo}
	m.mu.Unlock()
	m.serve(l)
	instance := m.Instance()
	instance.Addr = addr
	return instance, nil
}

// Close stops the member and all jobs that it runs at once.
func (m *Member) Close() {
	m.stop()
	_ = m.server.Close() // errors concern only listeners that are not used any more
	m.running.Wait()
	m.client.CloseIdleConnections()
}

// chance returns true with probability p.
func (m *Member) chance(p float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64() < p
}

func (m *Member) endpointOf(r *http.Request) endpoint {
	addr := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.endpoints[addr]
}

// submit accepts or rejects a job, or simulates a fault.
func (m *Member) submit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil { // an attempt counts only once its last byte has arrived
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Call-Id")
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if id == "" {
		http.Error(w, "a job has an id", http.StatusNotFound)
		return
	}
	from, logicalID := m.endpointOf(r), r.URL.Query().Get("sid")
	arrival := m.RunLog.addArrival(Arrival{
		ArrivedAt: time.Now(), ID: id, Class: class, Key: r.Header.Get("Idempotency-Key"), Tenant: r.Header.Get("X-Caller"),
		LogicalID: logicalID, Dispatcher: from.dispatcher, Member: m.ID,
	})
	if m.chance(m.Faults.Reject) {
		m.reject(w, arrival)
		return
	}
	if m.chance(m.Faults.Break) {
		m.RunLog.RecordRun(id, m.AtMostOnce(class))
		m.RunLog.updateArrival(arrival, func(a *Arrival) { a.StartedAt, a.EndedAt, a.SettledAt = a.ArrivedAt, time.Now(), time.Now() })
		panic(http.ErrAbortHandler)
	}
	if m.Faults.Hang > 0 && m.chance(m.Faults.Hang) {
		m.hang(w, r, arrival)
		return
	}
	select {
	case m.queue <- memberJob{id, class, logicalID, body, arrival, from.reportTo}:
		w.WriteHeader(http.StatusAccepted)
	default:
		m.reject(w, arrival)
	}
}

// reject responds that the member is full.
func (m *Member) reject(w http.ResponseWriter, arrival int) {
	m.RunLog.updateArrival(arrival, func(a *Arrival) { a.Rejected, a.SettledAt = true, time.Now() })
	w.Header().Set("X-Rejected", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// hang accepts the job and drops it, or does not respond until the client has disconnected.
func (m *Member) hang(w http.ResponseWriter, r *http.Request, arrival int) {
	if m.chance(0.5) {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	select {
	case <-r.Context().Done():
		m.RunLog.updateArrival(arrival, func(a *Arrival) { a.SettledAt = time.Now() })
	case <-m.ctx.Done():
	}
	panic(http.ErrAbortHandler)
}

func (m *Member) runQueue() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case j := <-m.queue:
			m.run(j)
		}
	}
}

// run runs a job. Its reports are sent by another goroutine, so that a dispatcher that does not
// respond delays only the reports of this job.
func (m *Member) run(j memberJob) {
	reports := make(chan report, 3) // a job has at most three reports
	defer close(reports)
	m.running.Go(func() {
		for r := range reports {
			m.report(j, r)
		}
	})
	if m.Faults.HandBack > 0 && m.chance(m.Faults.HandBack) {
		m.RunLog.updateArrival(j.arrival, func(a *Arrival) { a.Rejected, a.SettledAt = true, time.Now() })
		reports <- report{state: "returned"}
		return
	}
	if !m.NoStartReports {
		reports <- report{state: "started"}
	}
	m.RunLog.RecordRun(j.id, m.AtMostOnce(j.class))
	m.RunLog.updateArrival(j.arrival, func(a *Arrival) { a.StartedAt = time.Now() })
	select {
	case <-m.ctx.Done():
		return
	case <-time.After(m.Run(j.class)):
	}
	m.RunLog.updateArrival(j.arrival, func(a *Arrival) { a.EndedAt = time.Now() })
	end := m.end(j)
	m.RunLog.updateArrival(j.arrival, func(a *Arrival) { a.SettledAt = time.Now() })
	reports <- end
	if m.chance(m.Faults.DuplicateEnd) {
		reports <- report{end.state, "again"}
	}
}

// end returns the final report of a job.
func (m *Member) end(j memberJob) report {
	r := report{"done", "ok from " + m.ID}
	if m.Outcome != nil {
		r.state, r.result = m.Outcome(j.class, j.logicalID, j.body)
	}
	if m.chance(m.Faults.Fail) {
		r.state = "failed"
	}
	if m.Faults.ReportLost > 0 && m.chance(m.Faults.ReportLost) {
		r.state = "lost"
	}
	return r
}

// report sends a report to the dispatcher until it is accepted, at most maxReports times.
func (m *Member) report(j memberJob, r report) {
	text, err := json.Marshal(map[string]string{"id": j.id, "from": m.ID, "state": r.state, "result": r.result})
	if err != nil { // encoding a map of strings does not fail
		panic(err)
	}
	for range maxReports {
		req, err := http.NewRequestWithContext(m.ctx, http.MethodPost, "http://"+j.reportTo()+"/_jobs/news", bytes.NewReader(text))
		if err != nil {
			return
		}
		if resp, err := m.client.Do(req); err == nil {
			discard(resp.Body)
			if resp.StatusCode < http.StatusMultipleChoices {
				return
			}
		}
		select {
		case <-m.ctx.Done():
			return
		case <-time.After(reportInterval):
		}
	}
}
