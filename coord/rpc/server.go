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
	// HandleCall returns the response to a call, of a registered type. Each call has a goroutine of its
	// own, which outlives the connection.
	HandleCall(body any) any
	// HandleOneWay handles a message without a response. It is called in the order of a connection's
	// messages and must not block: the connection's further messages wait.
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

// Handler returns the handler of the messages.
func (s *Server) Handler() Handler { return s.handler }

// Close closes all connections and refuses new ones. http.Server.Close does not close those that
// were upgraded. It does not wait for the calls that are being handled: their responses are lost.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for stream := range s.streams {
		stream.close()
	}
}

// add records a connection, so that Close closes it; false: the server is closed.
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

// ServeHTTP upgrades a connection and serves it until it ends.
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
		_ = conn.Close() // it is broken already
		return
	}
	s.serve(hijackedConn{Conn: conn, reader: buffered.Reader})
}

// hijackedConn reads first what net/http had buffered before the upgrade.
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
			_ = stream.enqueue(frame{ID: f.ID, Kind: frameResponse, Body: s.handler.HandleCall(f.Body)}) // without room it counts as lost
		}()
	})
}
