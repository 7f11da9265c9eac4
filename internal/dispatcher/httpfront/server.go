// Package httpfront is the client side of the platform's HTTP protocol:
// it takes jobs in, gives the one answer to each, takes the pool members'
// callbacks and answers health checks.
package httpfront

import (
	"bytes"
	"context"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/pipeline"

	"github.com/sirupsen/logrus"
)

// Engine is what the virtual server needs of the engine.
type Engine interface {
	Submit(*engine.Transaction)
	ClientLeft(*engine.Transaction)
	HandleJobUpdate(engine.JobUpdate) bool
	Ready() bool
}

// TransactionFactory makes transactions of arrivals.
type TransactionFactory interface {
	NewTransaction(a pipeline.Submission, now time.Time, client engine.Client) (*engine.Transaction, error)
}

const (
	headerTimeout  = 20 * time.Second // a client may take so long to write a header, where its place is not needed
	requestTimeout = 25 * time.Second // and a whole request
	answerTimeout  = 5 * time.Second  // and to take its answer
	idleTimeout    = 5 * time.Minute  // and keep an idle connection so long
	maxHeaderBytes = 16 << 10
)

// Front is what this front's jobs are counted under.
const Front = "http"

// Server is the HTTP front.
type Server struct {
	Counters     accounting.FrontCounters // its own book
	engine       Engine
	factory      TransactionFactory
	log          logrus.FieldLogger
	proxy        *httputil.ReverseProxy
	server       *http.Server
	draining     atomic.Bool
	closingIdle  atomic.Bool // see CloseIdleConnections
	inFlight     atomic.Int64
	listener     atomic.Pointer[limitedListener] // what is served; nil: nothing yet
	jobBodies    bodyMemory                      // bodies of jobs
	updateBodies bodyMemory                      // and of callbacks, which jobs must not shut out
	// ForwardUpdate hands on news of a job that is not in progress here: with a socket
	// shared by two processes of one dispatcher, a member's callback may reach
	// the other one. Nil: none.
	ForwardUpdate func(text []byte)
}

// New returns a front that is not serving yet.
func New(hub Engine, intake TransactionFactory, log *logrus.Logger) *Server {
	s := &Server{Counters: accounting.FrontCounters{Front: Front}, engine: hub, factory: intake, log: log}
	quiet := stdlog.New(debugWriter{log}, "", 0) // what clients do wrong is theirs
	s.proxy = &httputil.ReverseProxy{
		// The query goes on as it came: ReverseProxy drops from it what it
		// cannot parse, and the members are owed every byte.
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
		Handler: s, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: quiet, DisableGeneralOptionsHandler: true, // it would tell OPTIONS * that all is well
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return s
}

// debugWriter is a writer to the log: logrus's own has a goroutine that never ends.
type debugWriter struct{ log logrus.FieldLogger }

func (d debugWriter) Write(text []byte) (int, error) {
	d.log.Debug(strings.TrimSpace(string(text)))
	return len(text), nil
}

// SetBodyMemory bounds the memory that bodies of jobs take at a time, in bytes, and those of
// callbacks to half as much beside them. It is called before Serve.
func (s *Server) SetBodyMemory(bytes int) {
	s.jobBodies.max, s.updateBodies.max = int64(bytes), int64(bytes/2)
}

// Serve serves up to so many connections at a time until Shutdown.
func (s *Server) Serve(l net.Listener, most int) error {
	limited := newLimited(l, most)
	limited.closingIdle = &s.closingIdle
	s.server.ConnState = limited.state
	s.listener.Store(limited)
	if err := s.server.Serve(limited); err != http.ErrServerClosed && !limited.isClosed() {
		return fmt.Errorf("serving %s: %w", l.Addr(), err)
	}
	return nil
}

// Drain turns the ready check off. Clients that have not heard yet, or hold a
// connection, are served on.
func (s *Server) Drain() { s.draining.Store(true) }

// Undrain ends a drain that was not the end of the program: the ready check is
// on and connections are kept again.
func (s *Server) Undrain() {
	s.draining.Store(false)
	s.closingIdle.Store(false)
}

// CloseIdleConnections closes connections between requests from here on. The listener stays
// open for the callbacks that still bring results. net/http's own way to do so,
// SetKeepAlivesEnabled, also closes one whose next request has just been read.
func (s *Server) CloseIdleConnections() {
	s.closingIdle.Store(true)
	if l := s.listener.Load(); l != nil {
		l.closeIdle()
	}
}

// InFlight is how many jobs are being taken in or wait for their answer.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Shutdown closes the listener and waits for connections in use. It shuts
// callbacks out first, so it may be called only once nothing is in progress. What
// still comes on open connections is answered: net/http's own Shutdown closes a
// connection without a word on which it reads a request from then on, so it is
// never called. Connections end by themselves, each when nothing is owed on it.
func (s *Server) Shutdown(ctx context.Context) error {
	if l := s.listener.Load(); l != nil {
		l.Close()
		s.CloseIdleConnections()
		defer time.AfterFunc(partialRequestWait, l.closePartial).Stop()
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for last := time.Now().Add(partialRequestWait + 2*answerTimeout); l.holds() > 0 && time.Now().Before(last); {
			select {
			case <-ctx.Done():
				return fmt.Errorf("shutting the virtual server down: %w", ctx.Err())
			case <-tick.C:
			}
		}
	}
	s.server.Close() // what is left does not take its answer
	return nil
}

// partialRequestWait is how long an end waits for requests that come in pieces.
const partialRequestWait = 5 * time.Second

// connKey is a request's way to its connection.
type connKey struct{}

// wholeRequest is what was read of one that is whole.
type wholeRequest struct {
	arrived time.Time
	body    []byte
}

type requestKey struct{}

// ServeHTTP implements http.Handler. What is asked is served only once it is
// whole, and in the time a client has for that.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	most, serve, room, ctx := int64(0), s.serveReady, &s.updateBodies, r.Context()
	switch r.URL.Path {
	case "/health/ready":
	case "/health/live":
		serve = s.serveLive
	case "/_jobs/news":
		most, serve = maxUpdateBytes, s.serveJobUpdate
	default:
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		most, serve, room = pipeline.MaxBody, s.serveJob, &s.jobBodies
	}
	// Whoever does not take what is said on the way to the answer is not waited for.
	http.NewResponseController(w).SetWriteDeadline(arrived.Add(requestTimeout + answerTimeout))
	body, ok := readWhole(w, r, most, room)
	defer room.release(cap(body))
	if !ok {
		return
	}
	if c, ok := ctx.Value(connKey{}).(*limitedConn); ok {
		if !c.serve(most > 0) {
			panic(http.ErrAbortHandler) // closed for another's sake: nobody is there
		}
		var leave context.CancelFunc
		ctx, leave = context.WithCancel(ctx)
		defer leave()
		defer c.watchClient(nil)
		if !c.watchClient(leave) {
			leave()
		}
	}
	// The server goes on reading to learn whether the client leaves: with the
	// deadline still set it would take a patient one for gone.
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout))
	r.Body = io.NopCloser(bytes.NewReader(body))
	serve(w, r.WithContext(context.WithValue(ctx, requestKey{}, wholeRequest{arrived, body})))
}

// readWhole reads a request's body, or answers what is wrong with it; what it returns
// holds room either way. A body in
// chunks is read whole, up to most, and goes on to members with a length of its
// own. Where a Content-Length came beside the chunks, net/http has deleted it
// and reads the chunks, as RFC 9112 asks; the connection is closed after the
// answer, so that no request that one reader would find and another not can
// follow on it.
func readWhole(w http.ResponseWriter, r *http.Request, most int64, room *bodyMemory) ([]byte, bool) {
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength > most {
		rejectInput(w, http.StatusRequestEntityTooLarge, pipeline.ErrTooLarge.Error())
		return nil, false
	}
	if r.ContentLength == 0 {
		return nil, true
	}
	body, fits, err := room.read(r.Body, r.ContentLength, most)
	switch {
	case !fits && most == maxUpdateBytes: // a member repeats what is not answered
		room.release(cap(body))
		panic(http.ErrAbortHandler)
	case !fits: // the rest is read by net/http, piece by piece, and dropped
		room.release(cap(body))
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no room for the body now", http.StatusServiceUnavailable)
		return nil, false
	case err != nil:
		rejectInput(w, http.StatusBadRequest, "the body could not be read")
		return body, false
	case int64(len(body)) > most:
		rejectInput(w, http.StatusRequestEntityTooLarge, pipeline.ErrTooLarge.Error())
		return body, false
	}
	return body, true
}

// prepareAnswer is told of a job's answer before it is written. Bad input ends its
// connection, and whoever does not take its answer is not waited for.
func (s *Server) prepareAnswer(resp *http.Response) error {
	if s.announceClose(resp.Header); isClientError(resp.StatusCode) {
		resp.Header.Set("Connection", "close")
	}
	if c, ok := resp.Request.Context().Value(connKey{}).(net.Conn); ok {
		c.SetWriteDeadline(time.Now().Add(answerTimeout))
	}
	return nil
}

// announceClose tells the client, with an answer, if its connection ends with that.
func (s *Server) announceClose(h http.Header) {
	if s.closingIdle.Load() {
		h.Set("Connection", "close")
	}
}

func isClientError(status int) bool { return status >= 400 && status < 500 }

func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	s.serveHealth(w, r, s.engine.Ready() && !s.draining.Load())
}

func (s *Server) serveLive(w http.ResponseWriter, r *http.Request) { s.serveHealth(w, r, true) }

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request, well bool) {
	s.announceClose(w.Header())
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		w.Header().Set("Allow", "GET, HEAD")
		rejectInput(w, http.StatusMethodNotAllowed, "health checks are read with GET")
	case well:
		fmt.Fprintln(w, "ok")
	default:
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

func rejectInput(w http.ResponseWriter, status int, text string) {
	if status == http.StatusMethodNotAllowed && w.Header().Get("Allow") == "" {
		w.Header().Set("Allow", http.MethodPost)
	}
	w.Header().Set("Connection", "close") // what comes next on it can't be trusted, and it holds a place
	http.Error(w, text, status)
}

// logClientLeft handles a job without an answer: its client has gone.
func (s *Server) logClientLeft(w http.ResponseWriter, _ *http.Request, err error) {
	s.log.WithError(err).Debug("a client left before its answer")
	w.WriteHeader(http.StatusBadGateway)
}
