// Package adminapi is the admin API of one dispatcher process: a small HTTP/1.1 server with one
// request per connection. On-call staff use it to check whether the process can serve, take
// runners out of service and put them back, and drain the dispatcher. A process that belongs to a
// fleet also serves the calls of the fleet (see Fleet). docs/operations.md describes the calls.
//
// The API never waits for the engine's backlog of jobs: changes by operators take effect at once.
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

// ErrUnknownRunner is returned by TakeOut and PutBack for a runner that no discovery list has contained.
var ErrUnknownRunner = errors.New("no runner of this id is known")

// Operations is what the API controls in its process. Its methods may be called concurrently.
type Operations interface {
	// Serving reports whether this process can serve.
	Serving() bool
	// TakeOut takes a runner out of service. It returns ErrUnknownRunner if the runner is unknown.
	TakeOut(id string) error
	// PutBack puts a runner back into service. It returns ErrUnknownRunner if the runner is unknown.
	PutBack(id string) error
	// Drain starts to drain the dispatcher.
	Drain()
	// Undrain ends the drain.
	Undrain()
	// HandleForwardedUpdate handles a runner's update of a job that another process of this
	// dispatcher received and forwarded.
	HandleForwardedUpdate(body []byte) error
}

// MaxConnections is the maximum number of open connections; further ones wait to be accepted.
const MaxConnections = 32

const (
	// requestTimeout limits the time to read a request, which is a few bytes, so that the connections
	// of callers that send nothing, or an incomplete request, are soon closed.
	requestTimeout = 400 * time.Millisecond
	// responseTimeout limits the time to write a response. The time that an operation takes does not
	// count, so that every operation that was done is answered.
	responseTimeout = 400 * time.Millisecond
	maxHeaderBytes  = 4 << 10
	// maxUpdateBytes is the same limit as at the clients' address: a result of the maximum size,
	// escaped in JSON.
	maxUpdateBytes = 2*pipeline.MaxBody + 1024
)

// Server serves the admin API.
type Server struct {
	operations Operations
	log        *slog.Logger
	server     *http.Server
	fleet      Fleet // nil if this process belongs to no fleet
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

// Serve serves on l until ctx is canceled, and then returns nil, or until the listener fails.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() /* Serve returns even after an error */ })
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

// healthCheck responds with whether the process can serve.
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

// forwardedUpdate handles a runner's update that another process of this dispatcher received for a
// job of this process.
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

// beginResponse sets the write deadline of a response, however long the operation before it took:
// the server's own deadline counts from the request.
func beginResponse(w http.ResponseWriter) {
	// Fails if the connection is closed, as the write then does.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseTimeout))
}

// respondLine responds with one line of text. Write errors are ignored: the operation has been done,
// whether or not the caller reads the response.
func respondLine(w io.Writer, text string) { _, _ = fmt.Fprintln(w, text) }

// reject logs a rejected request and responds with an error.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, status int, text string) {
	s.log.Debug("admin API request rejected", "method", r.Method, "path", r.URL.Path, "status", status)
	http.Error(w, text, status)
}
