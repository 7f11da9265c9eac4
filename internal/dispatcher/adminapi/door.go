// Package adminapi is the operators' door: a small HTTP/1.1 listener, one call to
// a connection, where on-call staff ask whether this process can serve, take
// runners out and put them back, and drain the dispatcher. It never waits for
// the core's backlog of jobs: what it is told is set at once and handed on.
package adminapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/pipeline"

	"github.com/sirupsen/logrus"
)

// ErrUnknownRunner is what Out and Back return for a runner that nobody listed.
var ErrUnknownRunner = errors.New("no runner of this id is known")

// Operations is what the door sets and asks.
type Operations interface {
	Serving() bool                           // this process can serve
	TakeOut(id string) error                 // take a runner out; ErrUnknown
	PutBack(id string) error                 // put a runner back; ErrUnknown
	Drain()                                  // the dispatcher is to drain
	Undrain()                                // the drain ends
	HandleForwardedUpdate(body []byte) error // a pool member's call-back, handed on by the other process of this dispatcher
}

const (
	// A call has this long to be whole, so that callers that send nothing or
	// half a call make room soon; an operator's call is a few bytes.
	requestTimeout = 400 * time.Millisecond
	// and its answer this long to be taken.
	responseTimeout = 400 * time.Millisecond
	// MaxConnections connections held at a time; more wait to be accepted, for callFor at most.
	MaxConnections = 32
	maxHeaderBytes = 4 << 10
	// maxUpdateBytes leaves room for a result of the greatest size, escaped in JSON,
	// as the clients' address does.
	maxUpdateBytes = 2*pipeline.MaxBody + 1024
)

// Server is the listener's server.
type Server struct {
	operations Operations
	log        logrus.FieldLogger
	server     *http.Server
	fleet      Fleet // nil: this process is alone
}

// New returns a door that is not serving yet.
func New(operations Operations, log *logrus.Logger) *Server {
	s := &Server{operations: operations, log: log}
	quiet := stdlog.New(debugWriter{log}, "", 0)
	s.server = &http.Server{
		Handler: s, ReadHeaderTimeout: requestTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout + responseTimeout,
		IdleTimeout: requestTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: quiet, DisableGeneralOptionsHandler: true,
	}
	s.server.SetKeepAlivesEnabled(false)
	return s
}

type debugWriter struct{ log logrus.FieldLogger }

func (d debugWriter) Write(text []byte) (int, error) {
	d.log.Debug(strings.TrimSpace(string(text)))
	return len(text), nil
}

// Serve serves on l until the context ends.
func (d *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { d.server.Close() })
	defer stop()
	if err := d.server.Serve(newLimitedListener(l, MaxConnections)); err != http.ErrServerClosed && ctx.Err() == nil {
		return fmt.Errorf("the operators' door at %s: %w", l.Addr(), err)
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (d *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	path := r.URL.Path
	switch {
	case path == "/healthcheck":
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			d.reject(w, r, http.StatusMethodNotAllowed, "read with GET")
			return
		}
		if !d.operations.Serving() {
			http.Error(w, "not serving", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ok")
	case path == "/healthcheck/fail", path == "/healthcheck/ok":
		if r.Method != http.MethodPost {
			d.reject(w, r, http.StatusMethodNotAllowed, "drains are told with POST")
			return
		}
		if path == "/healthcheck/fail" {
			d.operations.Drain()
			d.log.Info("the operators drain this dispatcher")
			fmt.Fprintln(w, "draining")
		} else {
			d.operations.Undrain()
			d.log.Info("the operators end the drain")
			fmt.Fprintln(w, "serving")
		}
	case strings.HasPrefix(path, "/runners/"):
		d.setRunner(w, r, strings.TrimPrefix(path, "/runners/"))
	case path == "/_jobs/news":
		d.forwardedUpdate(w, r)
	case d.serveFleet(w, r):
	default:
		d.reject(w, r, http.StatusNotFound, "no such call")
	}
}

// setRunner takes a runner out or puts it back.
func (d *Server) setRunner(w http.ResponseWriter, r *http.Request, path string) {
	id, state, ok := strings.Cut(path, "/")
	if !ok || id == "" || (state != "maint" && state != "ready") {
		d.reject(w, r, http.StatusNotFound, "no such call")
		return
	}
	if r.Method != http.MethodPost {
		d.reject(w, r, http.StatusMethodNotAllowed, "runners are taken out and put back with POST")
		return
	}
	set, reply := d.operations.TakeOut, "out"
	if state == "ready" {
		set, reply = d.operations.PutBack, "back"
	}
	switch err := set(id); {
	case errors.Is(err, ErrUnknownRunner):
		d.reject(w, r, http.StatusNotFound, err.Error())
	case err != nil:
		d.log.WithError(err).WithField("runner", id).Error("the operators' call failed")
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		d.log.WithField("runner", id).Info("the operators put a runner " + reply)
		fmt.Fprintln(w, reply)
	}
}

// forwardedUpdate takes a call-back that the other process of this dispatcher got for a
// job of this one.
func (d *Server) forwardedUpdate(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		d.reject(w, r, http.StatusMethodNotAllowed, "news is told with POST")
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxUpdateBytes+1))
	switch {
	case err != nil:
		d.reject(w, r, http.StatusBadRequest, "the news could not be read")
		return
	case len(body) > maxUpdateBytes:
		d.reject(w, r, http.StatusRequestEntityTooLarge, "news too large")
		return
	}
	if err := d.operations.HandleForwardedUpdate(body); err != nil {
		d.reject(w, r, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (d *Server) reject(w http.ResponseWriter, r *http.Request, status int, text string) {
	d.log.WithFields(logrus.Fields{"method": r.Method, "path": r.URL.Path, "status": status}).Debug("the operators' door said no")
	http.Error(w, text, status)
}

// limitedListener holds so many connections at a time; a further one waits to be
// accepted until one of them ends, which each does within callFor and
// answerFor.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

func newLimitedListener(l net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit)}
}

// Accept implements net.Listener.
func (b *limitedListener) Accept() (net.Conn, error) {
	b.slots <- struct{}{}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-b.slots }}, nil
}

type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

func (s *limitedConn) Close() error {
	s.once.Do(s.release)
	return s.Conn.Close()
}
