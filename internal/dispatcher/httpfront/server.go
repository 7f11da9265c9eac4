// Package httpfront serves the client-facing side of the platform's HTTP protocol: it accepts jobs, answers
// each job once, accepts the callbacks of pool members and answers health checks.
//
// Server embeds a reverse proxy whose transport is the engine (job.go). Its listener bounds the number of
// connections (listener.go, eviction.go, conn.go) and, while a request is served, reads ahead on its
// connection to detect that the client has disconnected (readahead.go).
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

// Engine is the part of engine.Engine that Server uses.
type Engine interface {
	Submit(*engine.Transaction)
	ClientLeft(*engine.Transaction)
	HandleJobUpdate(engine.JobUpdate) bool
	Ready() bool
}

// TransactionFactory creates transactions from submissions; pipeline.Pipeline implements it.
type TransactionFactory interface {
	NewTransaction(a pipeline.Submission, now time.Time, client engine.Client) (*engine.Transaction, error)
}

const (
	headerTimeout  = 20 * time.Second // for a client to send a header; the connection may be evicted sooner
	requestTimeout = 25 * time.Second // for a client to send a complete request
	answerTimeout  = 5 * time.Second  // for a client to read the answer
	idleTimeout    = 5 * time.Minute  // how long an idle connection is kept open
	maxHeaderBytes = 16 << 10
)

// Front is the name under which the jobs of this front are counted.
const Front = "http"

// Server is the HTTP front. Its exported methods may be called by any goroutine.
type Server struct {
	Counters     accounting.FrontCounters // of this front only, for audits
	engine       Engine
	factory      TransactionFactory
	log          *slog.Logger
	proxy        *httputil.ReverseProxy
	server       *http.Server
	draining     atomic.Bool
	closingIdle  atomic.Bool // see CloseIdleConnections
	inFlight     atomic.Int64
	listener     atomic.Pointer[limitedListener] // nil until Serve is called
	jobBodies    bodyMemory                      // of jobs
	updateBodies bodyMemory                      // of callbacks; separate, so that jobs can't use it up
	// ForwardUpdate forwards an update of a job that is not open in this process: when two processes of
	// one dispatcher share a socket, a member's callback may reach the wrong one. It is nil if there is no
	// other process, and must be set before Serve.
	ForwardUpdate func(text []byte)
	// SilentTimeout is how long a client may send nothing while its request is incomplete. It must be set
	// before Serve.
	SilentTimeout time.Duration
}

// New returns a server that is not serving yet.
func New(e Engine, factory TransactionFactory, log *slog.Logger) *Server {
	s := &Server{Counters: accounting.FrontCounters{Front: Front}, engine: e, factory: factory, log: log, SilentTimeout: defaultSilentTimeout}
	quiet := slog.NewLogLogger(log.Handler(), slog.LevelDebug) // errors of clients are no errors of this program
	s.proxy = &httputil.ReverseProxy{
		// The query is forwarded as received: ReverseProxy drops the parts that it can't parse, but the
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

// SetBodyMemory limits the memory that the bodies of jobs use at a time, in bytes. The bodies of callbacks
// may use half as much in addition. It must be called before Serve.
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

// Drain makes the ready check fail. Clients that have not noticed yet, or have an open connection, are still
// served.
func (s *Server) Drain() { s.draining.Store(true) }

// Undrain cancels a drain: the ready check succeeds again, and connections are kept open between requests
// again.
func (s *Server) Undrain() {
	s.draining.Store(false)
	s.closingIdle.Store(false)
}

// CloseIdleConnections closes the connections that are between requests, now and from now on. The listener
// stays open for the callbacks that still deliver results. SetKeepAlivesEnabled of net/http isn't used, since
// it also closes a connection whose next request has just been read.
func (s *Server) CloseIdleConnections() {
	s.closingIdle.Store(true)
	if l := s.listener.Load(); l != nil {
		l.closeIdle()
	}
}

// InFlight returns the number of jobs that are being read or wait for their answer.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Shutdown closes the listener and waits until the connections are closed. Callbacks are no longer accepted,
// so it may only be called once no job is open. Requests that still arrive on open connections are answered;
// Shutdown of net/http is never called, since it closes without an answer a connection on which it reads a
// request from then on. Each connection is closed once no request on it waits for an answer.
func (s *Server) Shutdown(ctx context.Context) error {
	if l := s.listener.Load(); l != nil {
		_ = l.Close() // an error means that it was closed already
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
	_ = s.server.Close() // the remaining clients don't read their answer
	return nil
}

// partialRequestWait is how long Shutdown waits for the rest of incomplete requests.
const partialRequestWait = 5 * time.Second

// connKey is the context key of a request's connection.
type connKey struct{}

// ServeHTTP implements http.Handler. A request is served once it is complete; it must be complete within
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
	// The write deadline covers what is written before the answer, in case the client does not read it. The
	// error is ignored: it means that the connection is closed, and then the following calls fail too.
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(arrived.Add(requestTimeout + answerTimeout))
	body, ok := readComplete(w, r, maxBytes, bodies)
	defer bodies.release(cap(body))
	if !ok {
		return
	}
	if c, ok := ctx.Value(connKey{}).(*limitedConn); ok {
		if !c.serve(maxBytes > 0) {
			panic(http.ErrAbortHandler) // the connection was evicted
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer c.watchClient(nil)
		if !c.watchClient(cancel) {
			cancel()
		}
	}
	// The server keeps reading to detect that the client has disconnected. If the read deadline stayed set,
	// it would treat a client that waits for its answer as disconnected.
	_ = controller.SetReadDeadline(time.Time{})
	_ = controller.SetWriteDeadline(time.Now().Add(answerTimeout))
	r.Body = io.NopCloser(bytes.NewReader(body))
	serve(w, r.WithContext(context.WithValue(ctx, requestKey{}, completeRequest{arrived, body})))
}

// prepareAnswer is the proxy's ModifyResponse hook, called before an answer is written. It closes the
// connection after an answer to bad input, and sets a write deadline in case the client does not read.
func (s *Server) prepareAnswer(resp *http.Response) error {
	if s.announceClose(resp.Header); isClientError(resp.StatusCode) {
		resp.Header.Set("Connection", "close")
	}
	if c, ok := resp.Request.Context().Value(connKey{}).(net.Conn); ok {
		_ = c.SetWriteDeadline(time.Now().Add(answerTimeout)) // fails if c is closed, as the write then does
	}
	return nil
}

// announceClose sets "Connection: close" on an answer if its connection is closed after it.
func (s *Server) announceClose(h http.Header) {
	if s.closingIdle.Load() {
		h.Set("Connection", "close")
	}
}

// isClientError reports whether a status is 4xx.
func isClientError(status int) bool { return status >= 400 && status < 500 }

// rejectInput answers invalid input and closes the connection: what follows on it can't be trusted, and the
// connection counts against the limit.
func rejectInput(w http.ResponseWriter, status int, text string) {
	if status == http.StatusMethodNotAllowed && w.Header().Get("Allow") == "" {
		w.Header().Set("Allow", http.MethodPost)
	}
	w.Header().Set("Connection", "close")
	http.Error(w, text, status)
}

// logClientLeft is the proxy's error handler, called for a job without an answer because its client has
// disconnected.
func (s *Server) logClientLeft(w http.ResponseWriter, _ *http.Request, err error) {
	s.log.Debug("a client left before its answer", "error", err)
	w.WriteHeader(http.StatusBadGateway)
}
