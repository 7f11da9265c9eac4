// Package standin has stand-ins (fakes) for the environment of a cluster scheduler: the platform's list of
// instances, and runners that execute orders. Tests and the demonstration cluster use them. They serve the
// deployment's HTTP protocol on loopback.
package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Server serves HTTP at a loopback address.
type Server struct {
	// URL is the server's base URL, without a path.
	URL string

	server *http.Server
}

// headerTimeout bounds how long a client may take to send a request's header.
const headerTimeout = 5 * time.Second

// anyLoopbackPort is the address of a server whose port the operating system chooses.
const anyLoopbackPort = "127.0.0.1:0"

// NewServer starts a server at a port that the operating system chooses. It returns an error if it can't
// listen on loopback.
func NewServer(handler http.Handler) (*Server, error) { return NewServerAt(anyLoopbackPort, handler) }

// NewServerAt starts a server at an address. It returns an error if it can't listen there.
func NewServerAt(address string, handler http.Handler) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s for a stand-in", address)
	}
	s := &Server{URL: "http://" + listener.Addr().String(), server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	go func() { _ = s.server.Serve(listener) }() // ends with Close
	return s, nil
}

// Close ends the server and its connections.
func (s *Server) Close() { _ = s.server.Close() } // an error has no consequence for a loopback listener
