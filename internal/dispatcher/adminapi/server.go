// Package adminapi is the admin API of one dispatcher process: a small HTTP/1.1 server, one
// request to a connection, with which on-call staff ask whether the process can serve, take
// runners out of service and put them back, and drain the dispatcher. A process of a fleet
// answers for the fleet too (see Fleet). docs/operations.md describes the calls.
//
// It never waits for the engine's backlog of jobs: what operators set is in force at once.
package adminapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/pipeline"
)

// ErrUnknownRunner is the error of TakeOut and PutBack for a runner that no list has named.
var ErrUnknownRunner = errors.New("no runner of this id is known")

// Operations is what the API controls in its process. Its methods are called concurrently.
type Operations interface {
	// Serving tells whether this process can serve.
	Serving() bool
	// TakeOut takes a runner out of service, or returns ErrUnknownRunner.
	TakeOut(id string) error
	// PutBack puts a runner back into service, or returns ErrUnknownRunner.
	PutBack(id string) error
	// Drain starts to drain the dispatcher, and Undrain ends that.
	Drain()
	Undrain()
	// HandleForwardedUpdate handles a runner's update of a job, which another process of
	// this dispatcher received and forwarded.
	HandleForwardedUpdate(body []byte) error
}

// MaxConnections is how many connections are open at a time; further ones wait to be accepted.
const MaxConnections = 32

const (
	// requestTimeout bounds the reading of a request, which is a few bytes, so that callers
	// that send nothing, or half a request, soon free their connection.
	requestTimeout = 400 * time.Millisecond
	// responseTimeout bounds the writing of a response. The time that an operation takes does not
	// count: what was done is answered.
	responseTimeout = 400 * time.Millisecond
	maxHeaderBytes  = 4 << 10
	// maxUpdateBytes is as much as the clients' address takes: a result of the greatest size,
	// escaped in JSON.
	maxUpdateBytes = 2*pipeline.MaxBody + 1024
)

// Server serves the admin API.
type Server struct {
	operations Operations
	log        *slog.Logger
	server     *http.Server
	fleet      Fleet // nil: this process is in no fleet
}

// New returns a server that is not serving yet.
func New(operations Operations, log *slog.Logger) *Server {
	s := &Server{operations: operations, log: log}
	s.server = &http.Server{
		Handler: s, ReadHeaderTimeout: requestTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout + responseTimeout,
		IdleTimeout: requestTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		DisableGeneralOptionsHandler: true,
	}
	s.server.SetKeepAlivesEnabled(false)
	return s
}

// Serve serves on l until the context ends, when it returns nil, or the listener fails.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() /* Serve returns in any case */ })
	defer stop()
	if err := s.server.Serve(newLimitedListener(l, MaxConnections)); !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		return fmt.Errorf("the admin API at %s: %w", l.Addr(), err)
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	path := r.URL.Path
	switch {
	case path == "/healthcheck":
		s.healthCheck(w, r)
	case path == "/healthcheck/fail":
		s.setDraining(w, r, true)
	case path == "/healthcheck/ok":
		s.setDraining(w, r, false)
	case strings.HasPrefix(path, "/runners/"):
		s.setRunner(w, r, strings.TrimPrefix(path, "/runners/"))
	case path == "/_jobs/news":
		s.forwardedUpdate(w, r)
	case s.serveFleet(w, r):
	default:
		s.reject(w, r, http.StatusNotFound, "no such call")
	}
}

// healthCheck answers whether the process can serve.
func (s *Server) healthCheck(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.reject(w, r, http.StatusMethodNotAllowed, "read with GET")
		return
	}
	if !s.operations.Serving() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
		return
	}
	respondLine(w, "ok")
}

// setDraining starts or ends the drain of the dispatcher.
func (s *Server) setDraining(w http.ResponseWriter, r *http.Request, drain bool) {
	if r.Method != http.MethodPost {
		s.reject(w, r, http.StatusMethodNotAllowed, "drains are told with POST")
		return
	}
	if drain {
		s.operations.Drain()
		beginResponse(w)
		s.log.Info("the operators drain this dispatcher")
		respondLine(w, "draining")
		return
	}
	s.operations.Undrain()
	beginResponse(w)
	s.log.Info("the operators end the drain")
	respondLine(w, "serving")
}

// setRunner takes a runner out of service or puts it back: ID/maint or ID/ready.
func (s *Server) setRunner(w http.ResponseWriter, r *http.Request, path string) {
	id, state, ok := strings.Cut(path, "/")
	if !ok || id == "" || (state != "maint" && state != "ready") {
		s.reject(w, r, http.StatusNotFound, "no such call")
		return
	}
	if r.Method != http.MethodPost {
		s.reject(w, r, http.StatusMethodNotAllowed, "runners are taken out and put back with POST")
		return
	}
	set, reply, message := s.operations.TakeOut, "out", "the operators put a runner out"
	if state == "ready" {
		set, reply, message = s.operations.PutBack, "back", "the operators put a runner back"
	}
	err := set(id)
	beginResponse(w)
	switch {
	case errors.Is(err, ErrUnknownRunner):
		s.reject(w, r, http.StatusNotFound, err.Error())
	case err != nil:
		s.log.Error("the operators' call failed", "error", err, "runner", id)
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		s.log.Info(message, "runner", id)
		respondLine(w, reply)
	}
}

// forwardedUpdate takes a runner's update that another process of this dispatcher received for a
// job of this one.
func (s *Server) forwardedUpdate(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		s.reject(w, r, http.StatusMethodNotAllowed, "news is told with POST")
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxUpdateBytes+1))
	switch {
	case err != nil:
		s.reject(w, r, http.StatusBadRequest, "the news could not be read")
		return
	case len(body) > maxUpdateBytes:
		s.reject(w, r, http.StatusRequestEntityTooLarge, "news too large")
		return
	}
	err = s.operations.HandleForwardedUpdate(body)
	beginResponse(w)
	if err != nil {
		s.reject(w, r, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// beginResponse gives the writing of a response its time, however long the operation before it
// took: the server's own deadline counts from the request.
func beginResponse(w http.ResponseWriter) {
	// It fails on a connection that is closed, as the write does.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseTimeout))
}

// respondLine responds with one line of text. What was asked for has been done, whether or not
// the caller still reads the response.
func respondLine(w io.Writer, text string) { _, _ = fmt.Fprintln(w, text) }

// reject responds with an error.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, status int, text string) {
	s.log.Debug("admin API request rejected", "method", r.Method, "path", r.URL.Path, "status", status)
	http.Error(w, text, status)
}
