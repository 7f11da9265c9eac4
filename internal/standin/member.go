package standin

import (
	"bytes"
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

// Troubles are what goes wrong at a member, each with a chance from 0 to 1.
type Troubles struct {
	TurnAway float64 // it answers that it is full
	Fail     float64 // it runs the job and calls it failed
	Break    float64 // it breaks the connection after having run the job
	Again    float64 // it tells the end of a job twice
}

// MemberSettings are what a member is.
type MemberSettings struct {
	ID       string
	Cell     int
	Slots    int
	Run      func(class string) time.Duration // how long a job runs
	Troubles Troubles
	Reports  func() string // the address of the dispatcher that is told
	Till     *Till
	Once     func(class string) bool // classes that must not run twice
	Seed     uint64
}

// Member is an HTTP pool member: it takes jobs into a queue, runs so many at a
// time and reports each start and end to its dispatcher.
type Member struct {
	MemberSettings
	listener net.Listener
	server   *http.Server
	queue    chan memberJob
	ctx      context.Context
	end      context.CancelFunc
	all      sync.WaitGroup
	client   http.Client

	mu     sync.Mutex
	random *rand.Rand
}

type memberJob struct{ id, class string }

const mostQueued = 64

// NewMember serves on a loopback address.
func NewMember(s MemberSettings) (*Member, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in member: %w", err)
	}
	ctx, end := context.WithCancel(context.Background())
	m := &Member{
		MemberSettings: s, listener: l, queue: make(chan memberJob, mostQueued), ctx: ctx, end: end,
		random: rand.New(rand.NewPCG(s.Seed, 7)), client: http.Client{Timeout: 2 * time.Second},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health/live", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("DELETE /jobs/{id}", func(http.ResponseWriter, *http.Request) {}) // nothing stops what has begun
	mux.HandleFunc("POST /", m.submit)
	m.server = &http.Server{Handler: mux}
	go m.server.Serve(l)
	for range max(1, s.Slots) {
		m.all.Go(m.work)
	}
	return m, nil
}

// Listed is the member's entry on discovery's list.
func (m *Member) Listed() Listed {
	return Listed{ID: m.ID, Addr: m.listener.Addr().String(), Zone: "hall", Kind: "std", Cell: m.Cell, Lifecycle: "active", Weight: 1}
}

// Close ends the member at once, with all that it runs.
func (m *Member) Close() {
	m.end()
	m.server.Close()
	m.all.Wait()
	m.client.CloseIdleConnections()
}

func (m *Member) chance(p float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64() < p
}

func (m *Member) submit(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Call-Id")
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if id == "" {
		http.Error(w, "a job has an id", http.StatusNotFound)
		return
	}
	full := func() {
		w.Header().Set("X-Rejected", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	if m.chance(m.Troubles.TurnAway) {
		full()
		return
	}
	if m.chance(m.Troubles.Break) {
		m.Till.Run(id, m.Once(class))
		panic(http.ErrAbortHandler)
	}
	select {
	case m.queue <- memberJob{id, class}:
		w.WriteHeader(http.StatusAccepted)
	default:
		full()
	}
}

func (m *Member) work() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case j := <-m.queue:
			m.tell(j.id, "started", "")
			m.Till.Run(j.id, m.Once(j.class))
			select {
			case <-m.ctx.Done():
				return
			case <-time.After(m.Run(j.class)):
			}
			state := "done"
			if m.chance(m.Troubles.Fail) {
				state = "failed"
			}
			m.tell(j.id, state, "ok from "+m.ID)
			if m.chance(m.Troubles.Again) {
				m.tell(j.id, state, "again")
			}
		}
	}
}

// tell reports to the dispatcher until it answers, ten times at the most.
func (m *Member) tell(id, state, result string) {
	text, _ := json.Marshal(map[string]string{"id": id, "from": m.ID, "state": state, "result": result})
	for range 10 {
		req, err := http.NewRequestWithContext(m.ctx, http.MethodPost, "http://"+m.Reports()+"/_jobs/news", bytes.NewReader(text))
		if err != nil {
			return
		}
		resp, err := m.client.Do(req)
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode < 300 {
				return
			}
		}
		select {
		case <-m.ctx.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
