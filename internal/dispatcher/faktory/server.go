package faktory

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/settings"
)

const (
	// helloGrace is how long a connection may take to send HELLO before it may be evicted for
	// another one.
	helloGrace = 250 * time.Millisecond
	// defaultRetryAfter is the retry-after time of a refusal that names none.
	defaultRetryAfter = time.Second
)

// FrontName is the name under which accounting counts this front's jobs.
const FrontName = "faktory"

// TransactionFactory makes the engine's transactions from submissions; the pipeline implements it.
type TransactionFactory interface {
	// NewTransaction fails for a submission that can't be served, such as one of an
	// unknown class or one whose deadline has passed.
	NewTransaction(a pipeline.Submission, now time.Time, client engine.Client) (*engine.Transaction, error)
	// Effect returns what running a job of the class twice would do, and false for a
	// class that is not configured.
	Effect(class string) (policy.Effect, bool)
}

// Server is the Faktory front.
type Server struct {
	Counters accounting.FrontCounters // the jobs that this front has started and answered

	engine       Engine
	transactions TransactionFactory
	config       *settings.Faktory
	log          *slog.Logger
	backlog      *backlog
	workers      *workers // the backlog's
	startedAt    time.Time

	connectionSlots chan struct{} // holds one item for each open connection
	draining        atomic.Bool
	commandCount    atomic.Int64
	goroutines      sync.WaitGroup // of Serve, which waits for them

	mu                   sync.Mutex
	openConnections      map[net.Conn]time.Time // when it was accepted, while HELLO is awaited; else zero
	connectionsByAddress map[string]int         // open ones, by the peer's address without its port
}

// New returns a front that is not serving yet.
func New(eng Engine, transactions TransactionFactory, config *settings.Faktory, log *slog.Logger) *Server {
	s := &Server{
		Counters: accounting.FrontCounters{Front: FrontName}, engine: eng, transactions: transactions, config: config, log: log,
		startedAt: time.Now(), connectionSlots: make(chan struct{}, config.Connections),
		openConnections: make(map[net.Conn]time.Time), connectionsByAddress: make(map[string]int),
	}
	s.backlog = newBacklog(eng, transactions, config, &s.Counters, log)
	s.workers = s.backlog.workers
	return s
}

// SetPlans lets jobs name a plan that they are run as. It must be called before Serve.
func (s *Server) SetPlans(p PlanStarter) { s.backlog.plans = p }

// Serve serves connections until the context ends, when it returns nil, or the listener
// fails. It returns after all of its goroutines.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { s.closeAll(l) })
	defer stop()
	defer s.goroutines.Wait()
	s.goroutines.Go(func() { s.backlog.runPromotions(ctx) })
	for {
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return fmt.Errorf("serving %s: %w", l.Addr(), err)
		}
		if !s.takeSlot() {
			rejectConnection(conn, "too many connections")
			continue
		}
		address, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
		if !s.register(conn, address) {
			<-s.connectionSlots
			rejectConnection(conn, "too many connections from one address")
			continue
		}
		s.goroutines.Go(func() {
			defer s.unregister(conn, address)
			s.serve(ctx, conn)
		})
	}
}

// closeAll closes the listener and all connections, so that Serve's goroutines return.
func (s *Server) closeAll(l net.Listener) {
	_ = l.Close() // Serve returns in any case
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.openConnections {
		_ = conn.Close() // its goroutine closes it again
	}
}

// takeSlot takes a connection slot. If none is free, it evicts a connection that has not sent
// HELLO, and waits for its slot. It reports false if there is none to evict.
func (s *Server) takeSlot() bool {
	select {
	case s.connectionSlots <- struct{}{}:
		return true
	default:
	}
	if !s.evictUnauthenticated(time.Now()) {
		return false
	}
	s.connectionSlots <- struct{}{}
	return true
}

// register adds an open connection. It reports false if the connection's address already has as
// many as the settings allow.
func (s *Server) register(conn net.Conn, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.PerAddress > 0 && s.connectionsByAddress[address] >= s.config.PerAddress {
		return false
	}
	s.openConnections[conn] = time.Now()
	s.connectionsByAddress[address]++
	return true
}

// unregister removes a connection from the open ones and frees its slot.
func (s *Server) unregister(conn net.Conn, address string) {
	s.mu.Lock()
	delete(s.openConnections, conn)
	if s.connectionsByAddress[address]--; s.connectionsByAddress[address] == 0 {
		delete(s.connectionsByAddress, address)
	}
	s.mu.Unlock()
	<-s.connectionSlots
}

// rejectConnection sends a peer the reason why it is not served, and closes its connection.
func rejectConnection(conn net.Conn, reason string) {
	// The peer is not served whether it reads this or not, so the errors change nothing.
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = fmt.Fprint(conn, errorReply("%s, come back in %v", reason, defaultRetryAfter))
	_ = conn.Close()
}

// evictUnauthenticated closes the connection that has gone longest without its HELLO, if it
// is older than helloGrace: peers that only connect must not take all slots from the others. It
// reports whether there was one.
func (s *Server) evictUnauthenticated(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest net.Conn
	for conn, acceptedAt := range s.openConnections {
		if acceptedAt.IsZero() || now.Sub(acceptedAt) < helloGrace {
			continue
		}
		if oldest == nil || acceptedAt.Before(s.openConnections[oldest]) {
			oldest = conn
		}
	}
	if oldest == nil {
		return false
	}
	s.openConnections[oldest] = time.Time{} // it is evicted once
	_ = oldest.Close()                      // its goroutine closes it again
	return true
}

// Drain makes the server refuse further pushes. Workers go on fetching the jobs that were accepted.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.backlog.drain()
}
