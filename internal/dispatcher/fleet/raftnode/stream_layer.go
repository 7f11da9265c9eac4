package raftnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// streamLayer connects the raft nodes. Raft addresses are node names, which each node
// resolves by its own settings.
type streamLayer struct {
	net.Listener
	peers  map[string]Peer
	closed chan struct{}

	mu       sync.Mutex
	accepted map[net.Conn]bool // open connections; the raft library does not close them
}

func newStreamLayer(l net.Listener, peers map[string]Peer) *streamLayer {
	return &streamLayer{Listener: l, peers: peers, closed: make(chan struct{}), accepted: make(map[net.Conn]bool)}
}

// Accept implements net.Listener. The listener outlives the streamLayer, so that the node's
// next replica can use it.
func (s *streamLayer) Accept() (net.Conn, error) {
	l := s.Listener.(*net.TCPListener)
	for {
		select {
		case <-s.closed:
			return nil, net.ErrClosed
		default:
		}
		_ = l.SetDeadline(time.Now().Add(100 * time.Millisecond))
		c, err := l.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.accepted[c] = true
		return &acceptedConn{c, s}, nil
	}
}

type acceptedConn struct {
	net.Conn
	layer *streamLayer
}

func (c *acceptedConn) Close() error {
	c.layer.mu.Lock()
	delete(c.layer.accepted, c.Conn)
	c.layer.mu.Unlock()
	return c.Conn.Close()
}

// Close implements net.Listener.
func (s *streamLayer) Close() error {
	close(s.closed)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.accepted {
		_ = c.Close()
	}
	return nil
}

// Dial implements raft.StreamLayer.
func (s *streamLayer) Dial(address raft.ServerAddress, within time.Duration) (net.Conn, error) {
	p, ok := s.peers[string(address)]
	if !ok {
		return nil, fmt.Errorf("no raft node is called %q", address)
	}
	d := net.Dialer{Timeout: within}
	return d.DialContext(context.Background(), "tcp", p.RaftAddr) // the raft library passes no context
}
