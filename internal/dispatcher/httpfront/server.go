// Package httpfront is the client side of the platform's HTTP protocol: it takes jobs, gives each its one
// answer, takes the callbacks of pool members and answers health checks.
//
// Server embeds a reverse proxy whose transport is the engine (job.go). Its listener bounds the number of
// connections (listener.go, eviction.go, conn.go) and reads ahead of a request that is served to notice a
// client that leaves (readahead.go).
package httpfront

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/pipeline"
)

// Engine is what the front needs of engine.Engine.
type Engine interface {
	Submit(*engine.Transaction)
	ClientLeft(*engine.Transaction)
	HandleJobUpdate(engine.JobUpdate) bool
	Ready() bool
}

// TransactionFactory makes transactions of submissions; pipeline.Pipeline implements it.
type TransactionFactory interface {
	NewTransaction(a pipeline.Submission, now time.Time, client engine.Client) (*engine.Transaction, error)
}

const (
	headerTimeout  = 20 * time.Second // for a client to send a header, unless its place is needed
	requestTimeout = 25 * time.Second // and a whole request
	answerTimeout  = 5 * time.Second  // and to read its answer
	idleTimeout    = 5 * time.Minute  // for which an idle connection is kept
	maxHeaderBytes = 16 << 10
)

// Front is the name that this front's jobs are counted by.
const Front = "http"

// Server is the HTTP front. Its exported methods may be called by any goroutine.
type Server struct {
	Counters     accounting.FrontCounters // the front's own, for audits
	engine       Engine
	factory      TransactionFactory
	log          *slog.Logger
	proxy        *httputil.ReverseProxy
	server       *http.Server
	draining     atomic.Bool
	closingIdle  atomic.Bool // see CloseIdleConnections
	inFlight     atomic.Int64
	listener     atomic.Pointer[limitedListener] // nil: it does not serve yet
	jobBodies    bodyMemory                      // of jobs
	updateBodies bodyMemory                      // of callbacks, which jobs must not shut out
	// ForwardUpdate hands on an update of a job that is not open here: with a socket shared by two
	// processes of one dispatcher, a member's callback may reach the other one. Nil: there is none. It
	// must be set before Serve.
	ForwardUpdate func(text []byte)
	// SilentTimeout is how long a client may send nothing while its request is not whole. It must be set
	// before Serve.
	SilentTimeout time.Duration
}

// New returns a front that does not serve yet.
func New(e Engine, factory TransactionFactory, log *slog.Logger) *Server {
	s := &Server{Counters: accounting.FrontCounters{Front: Front}, engine: e, factory: factory, log: log, SilentTimeout: defaultSilentTimeout}
	quiet := slog.NewLogLogger(log.Handler(), slog.LevelDebug) // clients' errors are not this program's
	s.proxy = &httputil.ReverseProxy{
		// The query is passed on as it came: ReverseProxy drops from it what it cannot parse, and the
		// members must get every byte.
		Rewrite: func(p *httputil.ProxyRequest) {
			p.Out.URL.Scheme, p.Out.URL.Host = "http", "pool"
			p.Out.URL.RawQuery = p.In.URL.RawQuery
		},
		ModifyResponse: s.prepareAnswer,
		Transport:      engineRoundTripper{s},
		ErrorHandler:   s.logClientLeft,
		ErrorLog:       quiet,
	}
	s.server = &http.Server{
		Handler:                      s,
		ReadHeaderTimeout:            headerTimeout,
		ReadTimeout:                  requestTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		ErrorLog:                     quiet,
		DisableGeneralOptionsHandler: true, // it would answer OPTIONS * with 200
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return s
}

// SetBodyMemory bounds the memory that bodies of jobs take at a time, in bytes, and those of
// callbacks to half as much beside them. It is called before Serve.
func (s *Server) SetBodyMemory(bytes int) {
	s.jobBodies.max, s.updateBodies.max = int64(bytes), int64(bytes/2)
}

// Serve serves up to maxConns connections at a time until Shutdown.
func (s *Server) Serve(l net.Listener, maxConns int) error {
	limited := newLimitedListener(l, maxConns)
	limited.silentTimeout = s.SilentTimeout
	limited.closingIdle = &s.closingIdle
	s.server.ConnState = limited.connState
	s.listener.Store(limited)
	if err := s.server.Serve(limited); !errors.Is(err, http.ErrServerClosed) && !limited.isClosed() {
		return fmt.Errorf("serving %s: %w", l.Addr(), err)
	}
	return nil
}

// Drain turns the ready check off. Clients that have not noticed yet, or hold a connection, are still served.
func (s *Server) Drain() { s.draining.Store(true) }

// Undrain ends a drain after which the process goes on: the ready check is on and connections are kept
// again.
func (s *Server) Undrain() {
	s.draining.Store(false)
	s.closingIdle.Store(false)
}

// CloseIdleConnections closes connections between requests from now on. The listener stays open for the
// callbacks that still bring results. net/http's own way, SetKeepAlivesEnabled, also closes a connection
// whose next request has just been read.
func (s *Server) CloseIdleConnections() {
	s.closingIdle.Store(true)
	if l := s.listener.Load(); l != nil {
		l.closeIdle()
	}
}

// InFlight returns how many jobs are being read or wait for their answer.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Shutdown closes the listener and waits for the connections. Callbacks are shut out, so that it may be
// called only once no job is open. What still comes on open connections is answered: net/http's own
// Shutdown closes a connection without an answer on which it reads a request from then on, so that it is
// never called. Each connection ends when nothing is owed on it.
func (s *Server) Shutdown(ctx context.Context) error {
	if l := s.listener.Load(); l != nil {
		_ = l.Close() // it was closed before, or is now
		s.CloseIdleConnections()
		defer time.AfterFunc(partialRequestWait, l.closePartial).Stop()
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for last := time.Now().Add(partialRequestWait + 2*answerTimeout); l.openConns() > 0 && time.Now().Before(last); {
			select {
			case <-ctx.Done():
				return fmt.Errorf("shutting the HTTP front down: %w", ctx.Err())
			case <-tick.C:
			}
		}
	}
	_ = s.server.Close() // clients that are left do not read their answer
	return nil
}

// partialRequestWait is how long Shutdown waits for requests that come in pieces.
const partialRequestWait = 5 * time.Second

// connKey is the context key of a request's connection.
type connKey struct{}

// ServeHTTP implements http.Handler. A request is served once it is whole, which it must be in
// requestTimeout.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	maxBytes, serve, bodies, ctx := int64(0), s.serveReady, &s.updateBodies, r.Context()
	switch r.URL.Path {
	case "/health/ready":
	case "/health/live":
		serve = s.serveLive
	case "/_jobs/news":
		maxBytes, serve = maxUpdateBytes, s.serveJobUpdate
	default:
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		maxBytes, serve, bodies = pipeline.MaxBody, s.serveJob, &s.jobBodies
	}
	// A client that does not read what is written before the answer is not waited for. Deadlines can't be
	// set on a connection that is closed, on which what follows fails too.
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(arrived.Add(requestTimeout + answerTimeout))
	body, ok := readComplete(w, r, maxBytes, bodies)
	defer bodies.release(cap(body))
	if !ok {
		return
	}
	if c, ok := ctx.Value(connKey{}).(*limitedConn); ok {
		if !c.serve(maxBytes > 0) {
			panic(http.ErrAbortHandler) // it was evicted: nobody is there
		}
		var leave context.CancelFunc
		ctx, leave = context.WithCancel(ctx)
		defer leave()
		defer c.watchClient(nil)
		if !c.watchClient(leave) {
			leave()
		}
	}
	// The server goes on reading to notice a client that leaves: with the deadline still set it would
	// take one that waits for gone.
	_ = controller.SetReadDeadline(time.Time{})
	_ = controller.SetWriteDeadline(time.Now().Add(answerTimeout))
	r.Body = io.NopCloser(bytes.NewReader(body))
	serve(w, r.WithContext(context.WithValue(ctx, requestKey{}, completeRequest{arrived, body})))
}

// prepareAnswer is the proxy's hook before an answer is written. Bad input ends its connection, and a
// client that does not read its answer is not waited for.
func (s *Server) prepareAnswer(resp *http.Response) error {
	if s.announceClose(resp.Header); isClientError(resp.StatusCode) {
		resp.Header.Set("Connection", "close")
	}
	if c, ok := resp.Request.Context().Value(connKey{}).(net.Conn); ok {
		_ = c.SetWriteDeadline(time.Now().Add(answerTimeout)) // it fails on one that is closed, as the write does
	}
	return nil
}

// announceClose tells the client with an answer that its connection ends, if it does.
func (s *Server) announceClose(h http.Header) {
	if s.closingIdle.Load() {
		h.Set("Connection", "close")
	}
}

// isClientError reports whether a status blames the request.
func isClientError(status int) bool { return status >= 400 && status < 500 }

// rejectInput answers input that is wrong. Its connection ends with that: what comes next on it can't be
// trusted, and it holds a place.
func rejectInput(w http.ResponseWriter, status int, text string) {
	if status == http.StatusMethodNotAllowed && w.Header().Get("Allow") == "" {
		w.Header().Set("Allow", http.MethodPost)
	}
	w.Header().Set("Connection", "close")
	http.Error(w, text, status)
}

// logClientLeft handles a job without an answer: its client has gone.
func (s *Server) logClientLeft(w http.ResponseWriter, _ *http.Request, err error) {
	s.log.Debug("a client left before its answer", "error", err)
	w.WriteHeader(http.StatusBadGateway)
}
