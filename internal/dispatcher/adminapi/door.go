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
	callFor = 400 * time.Millisecond
	// and its answer this long to be taken.
	answerFor = 400 * time.Millisecond
	// MaxConnections connections held at a time; more wait to be accepted, for callFor at most.
	MaxConnections = 32
	mostCall       = 4 << 10
	// mostNews leaves room for a result of the greatest size, escaped in JSON,
	// as the clients' address does.
	mostNews = 2*pipeline.MaxBody + 1024
)

// Server is the listener's server.
type Server struct {
	op     Operations
	log    logrus.FieldLogger
	server *http.Server
	fleet  Fleet // nil: this process is alone
}

// New returns a door that is not serving yet.
func New(op Operations, log *logrus.Logger) *Server {
	d := &Server{op: op, log: log}
	quiet := stdlog.New(debug{log}, "", 0)
	d.server = &http.Server{
		Handler: d, ReadHeaderTimeout: callFor, ReadTimeout: callFor, WriteTimeout: callFor + answerFor,
		IdleTimeout: callFor, MaxHeaderBytes: mostCall, ErrorLog: quiet, DisableGeneralOptionsHandler: true,
	}
	d.server.SetKeepAlivesEnabled(false)
	return d
}

type debug struct{ log logrus.FieldLogger }

func (d debug) Write(text []byte) (int, error) {
	d.log.Debug(strings.TrimSpace(string(text)))
	return len(text), nil
}

// Serve serves on l until the context ends.
func (d *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { d.server.Close() })
	defer stop()
	if err := d.server.Serve(newBounded(l, MaxConnections)); err != http.ErrServerClosed && ctx.Err() == nil {
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
			d.refuse(w, r, http.StatusMethodNotAllowed, "read with GET")
			return
		}
		if !d.op.Serving() {
			http.Error(w, "not serving", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ok")
	case path == "/healthcheck/fail", path == "/healthcheck/ok":
		if r.Method != http.MethodPost {
			d.refuse(w, r, http.StatusMethodNotAllowed, "drains are told with POST")
			return
		}
		if path == "/healthcheck/fail" {
			d.op.Drain()
			d.log.Info("the operators drain this dispatcher")
			fmt.Fprintln(w, "draining")
		} else {
			d.op.Undrain()
			d.log.Info("the operators end the drain")
			fmt.Fprintln(w, "serving")
		}
	case strings.HasPrefix(path, "/runners/"):
		d.runner(w, r, strings.TrimPrefix(path, "/runners/"))
	case path == "/_jobs/news":
		d.news(w, r)
	case d.askFleet(w, r):
	default:
		d.refuse(w, r, http.StatusNotFound, "no such call")
	}
}

// runner takes a runner out or puts it back.
func (d *Server) runner(w http.ResponseWriter, r *http.Request, rest string) {
	id, what, ok := strings.Cut(rest, "/")
	if !ok || id == "" || (what != "maint" && what != "ready") {
		d.refuse(w, r, http.StatusNotFound, "no such call")
		return
	}
	if r.Method != http.MethodPost {
		d.refuse(w, r, http.StatusMethodNotAllowed, "runners are taken out and put back with POST")
		return
	}
	set, word := d.op.TakeOut, "out"
	if what == "ready" {
		set, word = d.op.PutBack, "back"
	}
	switch err := set(id); {
	case errors.Is(err, ErrUnknownRunner):
		d.refuse(w, r, http.StatusNotFound, err.Error())
	case err != nil:
		d.log.WithError(err).WithField("runner", id).Error("the operators' call failed")
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		d.log.WithField("runner", id).Info("the operators put a runner " + word)
		fmt.Fprintln(w, word)
	}
}

// news takes a call-back that the other process of this dispatcher got for a
// job of this one.
func (d *Server) news(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		d.refuse(w, r, http.StatusMethodNotAllowed, "news is told with POST")
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, mostNews+1))
	switch {
	case err != nil:
		d.refuse(w, r, http.StatusBadRequest, "the news could not be read")
		return
	case len(body) > mostNews:
		d.refuse(w, r, http.StatusRequestEntityTooLarge, "news too large")
		return
	}
	if err := d.op.HandleForwardedUpdate(body); err != nil {
		d.refuse(w, r, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (d *Server) refuse(w http.ResponseWriter, r *http.Request, status int, text string) {
	d.log.WithFields(logrus.Fields{"method": r.Method, "path": r.URL.Path, "status": status}).Debug("the operators' door said no")
	http.Error(w, text, status)
}

// bounded holds so many connections at a time; a further one waits to be
// accepted until one of them ends, which each does within callFor and
// answerFor.
type bounded struct {
	net.Listener
	slots chan struct{}
}

func newBounded(l net.Listener, most int) *bounded {
	return &bounded{Listener: l, slots: make(chan struct{}, most)}
}

// Accept implements net.Listener.
func (b *bounded) Accept() (net.Conn, error) {
	b.slots <- struct{}{}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.slots
		return nil, err
	}
	return &slot{Conn: c, free: func() { <-b.slots }}, nil
}

type slot struct {
	net.Conn
	once sync.Once
	free func()
}

func (s *slot) Close() error {
	s.once.Do(s.free)
	return s.Conn.Close()
}
