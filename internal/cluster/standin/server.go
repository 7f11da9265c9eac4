// Package standin has stand-ins of what surrounds a cluster scheduler: the platform's list of instances,
// and runners that carry out orders. Tests and the demonstration cluster use them; they talk HTTP on
// loopback as the deployment's protocol has it.
package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Server serves HTTP at a port of loopback that the system chose.
type Server struct {
	// URL is where it serves, without a path.
	URL string

	server *http.Server
}

// headerTimeout bounds how long a client may take to send a request's header.
const headerTimeout = 5 * time.Second

// NewServer starts a server. It returns an error where no port of loopback can be listened at.
func NewServer(handler http.Handler) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback for a stand-in")
	}
	s := &Server{URL: "http://" + listener.Addr().String(), server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	go func() { _ = s.server.Serve(listener) }() // ends with Close
	return s, nil
}

// Close ends the server and its connections.
func (s *Server) Close() { _ = s.server.Close() } // of a listener on loopback: nothing to be done about an error
