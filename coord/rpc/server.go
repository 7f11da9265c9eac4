package rpc

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// Handler handles the messages of peers. Its methods are called concurrently.
type Handler interface {
	// HandleCall returns the response to a call; its type must be registered. Each call is handled in
	// its own goroutine, which continues even if the connection ends.
	HandleCall(body any) any
	// HandleOneWay handles a message without a response. It is called for the messages of a connection
	// in order. It must not block, because it delays the further messages of the connection.
	HandleOneWay(body any)
}

// Server serves upgraded connections; it is an http.Handler for Path.
type Server struct {
	handler Handler

	mu      sync.Mutex
	streams map[*stream]bool
	closed  bool
}

// NewServer returns a server that passes messages to a handler.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, streams: map[*stream]bool{}}
}

// Handler returns the handler of the messages.
func (s *Server) Handler() Handler { return s.handler }

// Close closes all connections and rejects new ones. It is needed because http.Server.Close does not
// close upgraded connections. It does not wait for the calls that are being handled; their responses
// are lost.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for stream := range s.streams {
		stream.close()
	}
}

// add records a connection, so that Close closes it. It returns false if the server is already closed.
func (s *Server) add(stream *stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.streams[stream] = true
	return true
}

func (s *Server) remove(stream *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, stream)
}

// ServeHTTP upgrades a connection and handles its messages until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != protocolName {
		http.Error(w, "only "+protocolName+" is spoken here", http.StatusUpgradeRequired)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "the connection can't be upgraded", http.StatusInternalServerError)
		return
	}
	const accepted = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocolName + "\r\n\r\n"
	if _, err := io.WriteString(conn, accepted); err != nil {
		_ = conn.Close() // the connection has failed already
		return
	}
	s.serve(hijackedConn{Conn: conn, reader: buffered.Reader})
}

// hijackedConn is an upgraded connection. It first reads the bytes that net/http had buffered before the
// upgrade.
type hijackedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c hijackedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// serve handles a connection's messages until it ends.
func (s *Server) serve(conn io.ReadWriteCloser) {
	stream := newStream(conn)
	if !s.add(stream) {
		stream.close()
		return
	}
	defer s.remove(stream)
	stream.read(func(f frame) {
		if f.Kind == frameOneWay {
			s.handler.HandleOneWay(f.Body)
			return
		}
		go func() {
			// If the queue is full, the response is lost.
			_ = stream.enqueue(frame{ID: f.ID, Kind: frameResponse, Body: s.handler.HandleCall(f.Body)})
		}()
	})
}
