// Package httpdrain stops an HTTP server without cutting requests that have already arrived.
//
// http.Server.Shutdown closes all connections that are idle in the server's view. If the process is
// short of processor time, a request may have been in the receive buffer of such a connection, or a
// new connection in the listener's backlog, for a long time. Drain closes a connection only if no byte
// of a request has arrived on it, and the listener only if no connection waits to be accepted.
package httpdrain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// checkInterval is the time between two checks of the open connections during a drain.
const checkInterval = 10 * time.Millisecond

// ErrUnfinished is returned by Drain if requests are in progress at the end of its time.
var ErrUnfinished = errors.New("requests are unfinished; give them more time to end, or end them sooner")

// Server is an HTTP server that can be drained.
type Server struct {
	server *http.Server

	mu       sync.Mutex
	listener *listener // nil before ListenAndServe
	states   map[*connection]http.ConnState
}

// New returns a server that serves as the given one does, which it may change. The caller doesn't use
// the given one any more.
func New(server *http.Server) *Server {
	s := &Server{server: server, states: map[*connection]http.ConnState{}}
	next := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		s.track(conn, state)
		if next != nil {
			next(conn, state)
		}
	}
	return s
}

// ListenAndServe listens on the server's address and serves until Drain or Close. It always returns an
// error.
func (s *Server) ListenAndServe() error {
	opened, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.server.Addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	return s.Serve(opened.(*net.TCPListener))
}

// Serve is ListenAndServe on an open listener, which it closes.
func (s *Server) Serve(opened *net.TCPListener) error {
	return errors.Wrap(s.server.Serve(s.observe(opened)), "serve")
}

// observe returns a listener whose connections are tracked. Drain closes it.
func (s *Server) observe(opened *net.TCPListener) *listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = &listener{TCPListener: opened, accepted: func(c *connection) { s.track(c, http.StateNew) }}
	return s.listener
}

// track records the state of a connection.
func (s *Server) track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.states, c)
	case http.StateIdle:
		c.received.Store(false)
		s.states[c] = state
	case http.StateNew, http.StateActive:
		s.states[c] = state
	}
}

// Drain accepts the connections that wait for that, stops listening, and closes the other connections
// as soon as no request is in progress or has arrived on them. It returns when all connections are
// closed, or ErrUnfinished if some are not within the given time. The caller then calls Close.
func (s *Server) Drain(within time.Duration) error {
	timeout := time.NewTimer(within)
	defer timeout.Stop()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for !s.finished() {
		select {
		case <-timeout.C:
			return ErrUnfinished
		case <-ticker.C:
		}
	}
	return nil
}

// finished does what a drain can do at this time, and reports whether nothing is left to do.
func (s *Server) finished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		if s.listener.hasBacklog() {
			return false
		}
		_ = s.listener.Close() // an error would mean that it is closed
		s.listener = nil
	}
	for c, state := range s.states {
		if state != http.StateActive && !c.requestArrived() {
			_ = c.Close() // an error would mean that it is closed
			delete(s.states, c)
		}
	}
	return len(s.states) == 0
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return errors.Wrap(s.server.Close(), "close the server") }
