// Package faktory is the second front: it speaks the Faktory work protocol,
// version 2, to clients that push jobs and to workers that fetch them. A push
// passes the same stages into the same core as a job of the first front, and a
// worker is a pool member like any other: it fetches what the decisions routed
// to it.
package faktory

import (
	"bufio"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

const (
	iterations = 4000
	mostLine   = 256 << 10        // of a command: a bulk push has several jobs
	helloFor   = 2 * time.Second  // a connection says who it is within this
	lineFor    = 2 * time.Second  // a command is whole so long after its first byte
	idleFor    = 5 * time.Minute  // a connection is closed after so long without a command
	writeFor   = 10 * time.Second // a reply is taken within this
)

var errTooLong = errors.New("a command is too long")

// wire is one connection's reading and writing. A goroutine of its own reads,
// so that a client's end is seen while a command is still being served.
type wire struct {
	conn  net.Conn
	lines chan string
	gone  chan struct{} // closed when nothing more can be read
	err   error         // why, once gone is closed
}

func newWire(c net.Conn) *wire {
	w := &wire{conn: c, lines: make(chan string), gone: make(chan struct{})}
	go w.read()
	return w
}

func (w *wire) read() {
	defer close(w.gone)
	in := bufio.NewReaderSize(w.conn, 4096)
	for wait := helloFor; ; wait = idleFor {
		w.conn.SetReadDeadline(time.Now().Add(wait))
		if wait == idleFor { // HELLO has to be whole by then; another command is due from its first byte on
			in.Peek(1)
			w.conn.SetReadDeadline(time.Now().Add(lineFor))
		}
		line, err := readLine(in)
		if err != nil {
			w.err = err
			return
		}
		w.lines <- line
	}
}

// readLine reads a command of bounded length.
func readLine(in *bufio.Reader) (string, error) {
	var line strings.Builder
	for {
		part, err := in.ReadSlice('\n')
		if line.Len()+len(part) > mostLine {
			return "", errTooLong
		}
		line.Write(part)
		if err == nil {
			return strings.TrimRight(line.String(), "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return "", err
		}
	}
}

// close ends the connection and lets the reader go.
func (w *wire) close() {
	w.conn.Close()
	for {
		select {
		case <-w.lines:
		case <-w.gone:
			return
		}
	}
}

// reply writes a reply whole. It reports whether all of it was taken by the
// system: a job of which part is missing can't have reached a worker.
func (w *wire) reply(text string) error {
	w.conn.SetWriteDeadline(time.Now().Add(writeFor))
	if _, err := io.WriteString(w.conn, text); err != nil {
		return fmt.Errorf("replying: %w", err)
	}
	return nil
}

const ok = "+OK\r\n"

func fault(format string, args ...any) string {
	return "-ERR " + strings.NewReplacer("\r", " ", "\n", " ").Replace(fmt.Sprintf(format, args...)) + "\r\n"
}

func bulk(text []byte) string {
	if text == nil {
		return "$-1\r\n"
	}
	return fmt.Sprintf("$%d\r\n%s\r\n", len(text), text)
}

// nonce is what a password is hashed with, new for each connection.
func nonce() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}

func greeting(password, salt string) string {
	if password == "" {
		return "+HI {\"v\":2}\r\n"
	}
	return fmt.Sprintf("+HI {\"v\":2,\"i\":%d,\"s\":%q}\r\n", iterations, salt)
}

// hash is the protocol's: the password and the nonce, hashed over and over.
func hash(password, salt string, times int) string {
	sum := sha256.Sum256([]byte(password + salt))
	for range times - 1 {
		sum = sha256.Sum256(sum[:])
	}
	return hex.EncodeToString(sum[:])
}

// hello is who a connection is: a worker has an id.
type hello struct {
	worker, host string
	pid          int
	labels       []string
}

// who names a connection for the log.
func (h hello) who() string {
	if h.worker != "" {
		return fmt.Sprintf("%s on %s, pid %d", h.worker, h.host, h.pid)
	}
	return fmt.Sprintf("a client on %s, pid %d", h.host, h.pid)
}

func readHello(text, password, salt string) (hello, error) {
	v, err := fastjson.Parse(text)
	if err != nil || v.Type() != fastjson.TypeObject {
		return hello{}, errors.New("HELLO takes a JSON object")
	}
	if v.GetInt("v") != 2 {
		return hello{}, errors.New("this server speaks version 2")
	}
	want, got := hash(password, salt, iterations), string(v.GetStringBytes("pwdhash"))
	if password != "" && subtle.ConstantTimeCompare([]byte(want), []byte(got)) != 1 {
		return hello{}, errors.New("invalid password")
	}
	h := hello{worker: string(v.GetStringBytes("wid")), host: string(v.GetStringBytes("hostname")), pid: v.GetInt("pid")}
	for _, l := range v.GetArray("labels") {
		h.labels = append(h.labels, string(l.GetStringBytes()))
	}
	if len(h.worker) > maxName || len(h.host) > 2*maxName || len(h.labels) > maxName {
		return hello{}, errors.New("the wid, the hostname or the labels are too long")
	}
	return h, nil
}
