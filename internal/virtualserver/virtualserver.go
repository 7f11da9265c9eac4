// Package virtualserver is the client side of the platform's HTTP protocol:
// it takes jobs in, gives the one answer to each, takes the pool members'
// call-backs and answers health checks.
package virtualserver

import (
	"context"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"basaltloft/internal/core"
	"basaltloft/internal/stage"

	"github.com/sirupsen/logrus"
)

// Hub is what the virtual server needs of the core.
type Hub interface {
	Submit(*core.Transaction)
	Leave(*core.Transaction)
	Report(core.News)
	Ready() bool
}

// Intake makes transactions of arrivals.
type Intake interface {
	TakeIn(a stage.Arrival, now time.Time, client core.Client) (*core.Transaction, error)
}

const (
	headerFor  = 10 * time.Second // a client may take so long to write a header
	idleFor    = 5 * time.Minute  // and keep an idle connection so long
	mostHeader = 16 << 10
)

// Server is the HTTP front.
type Server struct {
	hub      Hub
	intake   Intake
	log      logrus.FieldLogger
	proxy    *httputil.ReverseProxy
	server   *http.Server
	draining atomic.Bool
	inHand   atomic.Int64
}

// New returns a front that is not serving yet.
func New(hub Hub, intake Intake, log *logrus.Logger) *Server {
	s := &Server{hub: hub, intake: intake, log: log}
	quiet := stdlog.New(log.WriterLevel(logrus.DebugLevel), "", 0) // what clients do wrong is theirs
	s.proxy = &httputil.ReverseProxy{
		// The query goes on as it came: ReverseProxy drops from it what it
		// cannot parse, and the members are owed every byte.
		Rewrite: func(p *httputil.ProxyRequest) {
			p.Out.URL.Scheme, p.Out.URL.Host = "http", "pool"
			p.Out.URL.RawQuery = p.In.URL.RawQuery
		},
		Transport:    transactions{s},
		ErrorHandler: s.unanswered,
		ErrorLog:     quiet,
	}
	s.server = &http.Server{
		Handler: s, ReadHeaderTimeout: headerFor, IdleTimeout: idleFor, MaxHeaderBytes: mostHeader, ErrorLog: quiet,
	}
	return s
}

// Serve serves up to so many connections at a time until Shutdown.
func (s *Server) Serve(l net.Listener, most int) error {
	limited := newLimited(l, most)
	s.server.ConnState = limited.state
	if err := s.server.Serve(limited); err != http.ErrServerClosed {
		return fmt.Errorf("serving %s: %w", l.Addr(), err)
	}
	return nil
}

// Drain turns the ready check off and asks clients to leave: connections are
// closed between requests from here on. The listener stays open, for clients
// that have not heard yet and for the call-backs that still bring results.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.server.SetKeepAlivesEnabled(false)
}

// InHand is how many jobs are being taken in or wait for their answer.
func (s *Server) InHand() int { return int(s.inHand.Load()) }

// Shutdown closes the listener and waits for connections in use. It shuts
// call-backs out first, so it may be called only once nothing is in hand.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("shutting the virtual server down: %w", err)
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health/ready":
		s.health(w, r, s.hub.Ready() && !s.draining.Load())
	case "/health/live":
		s.health(w, r, true)
	case "/_jobs/news":
		s.news(w, r)
	default:
		s.job(w, r)
	}
}

func (s *Server) health(w http.ResponseWriter, r *http.Request, well bool) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		w.Header().Set("Allow", "GET, HEAD")
		refuse(w, http.StatusMethodNotAllowed, "health checks are read with GET")
	case well:
		fmt.Fprintln(w, "ok")
	default:
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

func refuse(w http.ResponseWriter, status int, text string) {
	if status == http.StatusMethodNotAllowed && w.Header().Get("Allow") == "" {
		w.Header().Set("Allow", http.MethodPost)
	}
	http.Error(w, text, status)
}

// unanswered handles a job without an answer: its client has gone.
func (s *Server) unanswered(w http.ResponseWriter, r *http.Request, err error) {
	s.log.WithError(err).Debug("a client left before its answer")
	w.WriteHeader(http.StatusBadGateway)
}
