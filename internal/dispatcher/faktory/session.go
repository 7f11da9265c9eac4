package faktory

import (
	"context"
	"errors"
	"net"
	"strings"
	"time"
)

// session is one connection after its HELLO.
type session struct {
	*Server
	conn          *connection
	worker        *worker // nil: a client that only pushes
	hello         hello
	clientAddress string // the peer's address, without its port
}

// serve serves one connection, from the greeting to its end.
func (s *Server) serve(ctx context.Context, netConn net.Conn) {
	conn := newConnection(netConn)
	defer conn.close()
	identity, ok := s.handshake(conn)
	if !ok {
		return
	}
	s.mu.Lock()
	s.openConnections[netConn] = time.Time{}
	s.mu.Unlock()
	current := &session{Server: s, conn: conn, hello: identity}
	current.clientAddress, _, _ = net.SplitHostPort(netConn.RemoteAddr().String())
	if identity.workerID != "" {
		current.worker = s.workers.connect(identity)
		defer s.workers.disconnect(current.worker)
	}
	if conn.reply(okReply) == nil {
		current.serveCommands(ctx)
	}
}

// handshake greets the peer and reads its HELLO. It reports false if the connection is to
// be closed: the peer has disconnected, was too slow, or was sent an error.
func (s *Server) handshake(conn *connection) (hello, bool) {
	salt := newSalt()
	if conn.reply(greeting(s.config.Password, salt)) != nil {
		return hello{}, false
	}
	var command string
	select {
	case command = <-conn.commands:
	case <-conn.closed:
		return hello{}, false
	}
	name, argument, _ := strings.Cut(command, " ")
	identity, err := hello{}, errors.New("say HELLO first")
	if name == "HELLO" {
		identity, err = parseHello(argument, s.config.Password, salt)
	}
	if err != nil {
		_ = conn.reply(errorReply("%v", err)) // it is closed next in any case
		return hello{}, false
	}
	return identity, true
}

// serveCommands serves one command after the other until the connection ends.
func (s *session) serveCommands(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.conn.closed:
			if errors.Is(s.conn.readErr, errCommandTooLong) {
				_ = s.conn.reply(errorReply("%v", errCommandTooLong)) // it is closed next in any case
			}
			return
		case command := <-s.conn.commands:
			s.commandCount.Add(1)
			if !s.handle(command) {
				return
			}
		}
	}
}

// commandHandlers are the handlers of all commands but FETCH and END, which handle serves
// itself. Each gets the text after the command's name, and returns the complete reply. A
// handler parses and replies; the backlog and the workers do what it asks for.
var commandHandlers = map[string]func(s *session, argument string) string{
	"PUSH": (*session).handlePush, "PUSHB": (*session).handlePushBulk,
	"ACK": (*session).handleAck, "FAIL": (*session).handleFail, "BEAT": (*session).handleBeat,
	"INFO": (*session).handleInfo, "FLUSH": (*session).handleFlush,
	"QUEUE": (*session).handleQueue, "MUTATE": (*session).handleMutate,
	"TRACK": (*session).handleTrack, "BATCH": (*session).handleBatch, "SHOW": (*session).handleShow,
}

// handle serves one command and reports whether the connection stays open.
func (s *session) handle(command string) bool {
	name, argument, _ := strings.Cut(command, " ")
	argument = strings.TrimSpace(argument)
	switch name {
	case "FETCH":
		return s.handleFetch(strings.Fields(argument))
	case "END":
		_ = s.conn.reply(okReply) // it is closed next in any case
		return false
	}
	handler := commandHandlers[name]
	if handler == nil {
		return s.conn.reply(errorReply("unknown command %q", name)) == nil
	}
	return s.conn.reply(handler(s, argument)) == nil
}
