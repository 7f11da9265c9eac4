// Package client connects operators' tools to a server of the Faktory work protocol, such as the
// dispatcher's Faktory front.
package client

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// maxReplyBytes bounds a reply.
const maxReplyBytes = 64 << 20

// Conn is a connection. It must not be used concurrently. The caller closes it.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// ServerError is a server's error reply.
type ServerError string

// Error implements error.
func (e ServerError) Error() string { return string(e) }

// Dial connects and sends HELLO, with the password's hash if the server asks for one. It fails if
// the reply has not arrived by the deadline.
func Dial(addr, password string, deadline time.Time) (*Conn, error) {
	d := net.Dialer{Deadline: deadline}
	tcp, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("no Faktory server there: %w", err)
	}
	conn := &Conn{tcp, bufio.NewReader(tcp)}
	if err := conn.sendHello(password, deadline); err != nil {
		_ = tcp.Close() // the error that matters is returned
		return nil, err
	}
	return conn, nil
}

// sendHello reads the greeting, sends HELLO and waits for the reply.
func (c *Conn) sendHello(password string, deadline time.Time) error {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return err
	}
	greeting, err := c.readReply()
	if err != nil {
		return err
	}
	text, ok := strings.CutPrefix(string(greeting), "HI ")
	var hi struct {
		Version    int    `json:"v"`
		Iterations int    `json:"i"`
		Salt       string `json:"s"` // empty: no password is needed
	}
	if !ok || json.Unmarshal([]byte(text), &hi) != nil {
		return fmt.Errorf("this is no Faktory server: it greets with %q", greeting)
	}
	host, _ := os.Hostname()
	hello := map[string]any{"v": 2, "hostname": host, "pid": os.Getpid(), "labels": []string{"basaltloft"}}
	if hi.Salt != "" {
		sum := sha256.Sum256([]byte(password + hi.Salt))
		for range hi.Iterations - 1 {
			sum = sha256.Sum256(sum[:])
		}
		hello["pwdhash"] = hex.EncodeToString(sum[:])
	}
	request, err := json.Marshal(hello)
	if err != nil {
		return err
	}
	_, err = c.Do("HELLO "+string(request), deadline)
	return err
}

// Do sends a command and returns its reply, nil for null. An error reply is returned as a
// ServerError.
func (c *Conn) Do(command string, deadline time.Time) ([]byte, error) {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := io.WriteString(c.conn, command+"\r\n"); err != nil {
		return nil, err
	}
	return c.readReply()
}

// Query sends a command and decodes its reply, which is JSON.
func (c *Conn) Query(command string, into any, deadline time.Time) error {
	text, err := c.Do(command, deadline)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("%s: %w", strings.Fields(command)[0], err)
	}
	return nil
}

// readReply reads one reply of the protocol: a line, an error, bytes or null.
func (c *Conn) readReply() ([]byte, error) {
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return nil, fmt.Errorf("reading a reply: %w", err)
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" {
		return nil, errors.New("a reply is empty")
	}
	switch rest := line[1:]; line[0] {
	case '+':
		return []byte(rest), nil
	case '-':
		return nil, ServerError(strings.TrimPrefix(rest, "ERR "))
	case '$':
		n, err := strconv.Atoi(rest)
		if err != nil || n > maxReplyBytes {
			return nil, fmt.Errorf("a reply of %q bytes", rest)
		}
		if n < 0 {
			return nil, nil
		}
		text := make([]byte, n+2)
		if _, err := io.ReadFull(c.reader, text); err != nil {
			return nil, fmt.Errorf("reading a reply: %w", err)
		}
		return text[:n], nil
	}
	return nil, fmt.Errorf("a reply of no known kind: %q", line)
}

// Close sends END and closes the connection.
func (c *Conn) Close() error {
	// END is optional, so its errors are ignored: the server notices the end of the connection as well.
	_ = c.conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c.conn, "END\r\n")
	return c.conn.Close()
}

// Info is the part of INFO's reply that operators' tools use.
type Info struct {
	Faktory struct {
		Queues map[string]int `json:"queues"`
		Paused []string       `json:"paused"`
		Tasks  map[string]struct {
			Size int `json:"size"`
		} `json:"tasks"`
		Processed    int `json:"total_processed"`
		Failures     int `json:"total_failures"`
		Enqueued     int `json:"total_enqueued"`
		Working      int `json:"total_working"`
		Pushed       int `json:"total_pushed"`
		WaitingBytes int `json:"waiting_bytes"`
		Batches      int `json:"batches"`
	} `json:"faktory"`
	Server struct {
		Uptime      int `json:"uptime"`
		Connections int `json:"connections"`
		Workers     int `json:"workers"`
		Commands    int `json:"command_count"`
		MemoryMB    int `json:"used_memory_mb"`
	} `json:"server"`
}

// JobEntry is one job of a set in SHOW's reply.
type JobEntry struct {
	ID         string          `json:"jid"`
	Type       string          `json:"jobtype"`
	Queue      string          `json:"queue"`
	At         time.Time       `json:"when"`
	MayHaveRun bool            `json:"may_have_run"`
	Failure    json.RawMessage `json:"failure,omitempty"`
}

// Worker is one worker in SHOW's reply.
type Worker struct {
	ID            string    `json:"wid"`
	Host          string    `json:"hostname"`
	PID           int       `json:"pid"`
	Connections   int       `json:"connections"`
	HeldJobs      int       `json:"holding"`
	Quiet         bool      `json:"quiet"`
	LastHeartbeat time.Time `json:"beat"`
	RSSKB         int64     `json:"rss_kb"`
	Queues        []string  `json:"queues"`
}
