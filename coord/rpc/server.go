package rpc

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// Handler takes the messages of peers. Its methods are called concurrently.
type Handler interface {
	// HandleCall answers a call. Each runs in a goroutine of its own.
	HandleCall(body any) any
	// HandleOneWay takes a message that has no answer. It is called in the order of a
	// connection's messages and must not block.
	HandleOneWay(body any)
}

// Server serves upgraded connections; it is an http.Handler for Path.
type Server struct {
	handler Handler

	mu      sync.Mutex
	streams map[*stream]bool
	closed  bool
}

// NewServer returns a server whose messages go to a handler.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, streams: map[*stream]bool{}}
}

// Handler returns who takes the messages.
func (s *Server) Handler() Handler { return s.handler }

// Close ends all connections; an http.Server's own Close does not end those it gave away.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for stream := range s.streams {
		stream.close()
	}
}

// keep notes a connection while it lasts; false: the server is closed.
func (s *Server) keep(stream *stream, open bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !open {
		delete(s.streams, stream)
		return true
	}
	if !s.closed {
		s.streams[stream] = true
	}
	return !s.closed
}

// ServeHTTP takes over a connection that asks for the upgrade.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != protocol {
		http.Error(w, "only "+protocol+" is spoken here", http.StatusUpgradeRequired)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "the connection can't be upgraded", http.StatusInternalServerError)
		return
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
		conn.Close()
		return
	}
	s.serve(conn, buffered.Reader)
}

// hijacked reads what was buffered before the upgrade first.
type hijacked struct {
	net.Conn
	reader *bufio.Reader
}

func (h hijacked) Read(p []byte) (int, error) { return h.reader.Read(p) }

func (s *Server) serve(conn net.Conn, reader *bufio.Reader) {
	stream := newStream(hijacked{Conn: conn, reader: reader})
	defer s.keep(stream, false)
	if !s.keep(stream, true) {
		stream.close()
		return
	}
	stream.read(func(f frame) {
		if f.Kind == frameCast {
			s.handler.HandleOneWay(f.Body)
			return
		}
		go func() {
			_ = stream.put(frame{ID: f.ID, Kind: frameAnswer, Body: s.handler.HandleCall(f.Body)})
		}()
	})
}
