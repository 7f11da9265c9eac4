package faktory

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Limits of a connection.
const (
	maxCommandBytes = 256 << 10        // length of a command line; a PUSHB has several jobs
	helloTimeout    = 2 * time.Second  // from the connection's start until HELLO is complete
	commandTimeout  = 2 * time.Second  // from a command's first byte until it is complete
	idleTimeout     = 5 * time.Minute  // without a command, until the connection is closed
	writeTimeout    = 10 * time.Second // until the peer has taken a reply
)

// errCommandTooLong ends a connection whose command exceeds maxCommandBytes.
var errCommandTooLong = errors.New("a command is too long")

// connection reads commands from a network connection and writes replies to it. A
// goroutine of its own reads, so that the end of the connection is noticed while a command is
// still being served; close waits for that goroutine.
type connection struct {
	netConn  net.Conn
	commands chan string   // command lines, without their line end
	closed   chan struct{} // closed when nothing more can be read
	readErr  error         // why nothing more can be read; valid once closed is closed
}

// newConnection starts reading commands from netConn. The caller must call close.
func newConnection(netConn net.Conn) *connection {
	c := &connection{netConn: netConn, commands: make(chan string), closed: make(chan struct{})}
	go c.readCommands()
	return c
}

// readCommands reads until the connection ends or a time-out passes.
func (c *connection) readCommands() {
	defer close(c.closed)
	in := bufio.NewReaderSize(c.netConn, 4096)
	for timeout := helloTimeout; ; timeout = idleTimeout {
		c.setReadTimeout(timeout)
		if timeout == idleTimeout {
			// HELLO must be complete within its time-out; the time of a later command
			// counts from its first byte on.
			_, _ = in.Peek(1) // readCommand returns the error
			c.setReadTimeout(commandTimeout)
		}
		command, err := readCommand(in)
		if err != nil {
			c.readErr = err
			return
		}
		c.commands <- command
	}
}

// setReadTimeout bounds the reads from now on. It fails only on a connection that is
// closed, where the next read fails too.
func (c *connection) setReadTimeout(timeout time.Duration) {
	_ = c.netConn.SetReadDeadline(time.Now().Add(timeout))
}

// readCommand reads one line of at most maxCommandBytes.
func readCommand(in *bufio.Reader) (string, error) {
	var line strings.Builder
	for {
		chunk, err := in.ReadSlice('\n')
		if line.Len()+len(chunk) > maxCommandBytes {
			return "", errCommandTooLong
		}
		line.Write(chunk)
		if err == nil {
			return strings.TrimRight(line.String(), "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return "", err
		}
	}
}

// close closes the network connection and waits until the reading goroutine has returned.
func (c *connection) close() {
	_ = c.netConn.Close() // it is not used any more
	for {
		select {
		case <-c.commands: // the reader may wait to hand over a command
		case <-c.closed:
			return
		}
	}
}

// reply writes a complete reply. After an error part of it may be missing, so a job in it
// can't have reached a worker.
func (c *connection) reply(text string) error {
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails as the write does
	if _, err := io.WriteString(c.netConn, text); err != nil {
		return fmt.Errorf("replying: %w", err)
	}
	return nil
}
