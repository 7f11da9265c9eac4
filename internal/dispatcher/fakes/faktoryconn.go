package fakes

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// FaktoryConn is a client's connection to a server of the Faktory work protocol, without a
// password. It is not safe for concurrent use, except for Close.
type FaktoryConn struct {
	conn net.Conn
	in   *bufio.Reader
}

// ErrRefused is wrapped by the error that is returned when the server refuses a command.
var ErrRefused = errors.New("refused")

// commandTimeout limits the time of a command and its reply. A FETCH waits for some seconds.
const commandTimeout = 30 * time.Second

// DialFaktory connects and sends HELLO. With a wid, the worker's id, it is the connection of a worker.
func DialFaktory(addr, wid string) (*FaktoryConn, error) {
	conn, err := new(net.Dialer).DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	f := &FaktoryConn{conn, bufio.NewReader(conn)}
	if err := f.hello(wid); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *FaktoryConn) hello(wid string) error {
	if _, err := f.reply(); err != nil { // +HI
		return err
	}
	hello := map[string]any{"v": 2, "hostname": "stand-in", "pid": 1, "labels": []string{"go"}}
	if wid != "" {
		hello["wid"] = wid
	}
	text, err := json.Marshal(hello)
	if err != nil {
		return err
	}
	_, err = f.Do("HELLO " + string(text))
	return err
}

// Do sends a command and returns its reply, or nil for a null bulk string. The error wraps
// ErrRefused or is an error of the connection, which cannot be used any more then.
func (f *FaktoryConn) Do(command string) ([]byte, error) {
	if err := f.conn.SetDeadline(time.Now().Add(commandTimeout)); err != nil {
		return nil, err
	}
	if _, err := io.WriteString(f.conn, command+"\r\n"); err != nil {
		return nil, err
	}
	return f.reply()
}

// reply reads a reply of the Redis protocol: a simple string, an error, or a bulk string.
func (f *FaktoryConn) reply() ([]byte, error) {
	line, err := f.in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	line = strings.TrimRight(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "+"):
		return []byte(line[1:]), nil
	case strings.HasPrefix(line, "-"):
		return nil, fmt.Errorf("%w: %s", ErrRefused, line[1:])
	case strings.HasPrefix(line, "$"):
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 0 {
			return nil, err
		}
		text := make([]byte, n+len("\r\n"))
		if _, err := io.ReadFull(f.in, text); err != nil {
			return nil, err
		}
		return text[:n], nil
	}
	return nil, fmt.Errorf("reply has an unknown type: %q", line)
}

// Close closes the connection, without an END. It may be called concurrently.
func (f *FaktoryConn) Close() {
	_ = f.conn.Close() // an error loses nothing: the connection is not used any more
}
