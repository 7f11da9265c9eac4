// Package rpc carries calls between the processes of a system: typed messages, encoded by
// encoding/gob, over connections that net/http opened and upgraded. A connection carries
// many calls at once, in both encodings' steady state: types are described once.
//
// It promises nothing: a message may be lost with its connection, and an answer that does
// not come says nothing of whether the call was carried out.
package rpc

import (
	"bufio"
	"encoding/gob"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// frameKind tells what a frame is.
type frameKind uint8

const (
	frameCall frameKind = iota
	frameAnswer
	frameCast
)

// frame is what goes over a connection.
type frame struct {
	ID   uint64
	Kind frameKind
	Body any // of a type registered with Register

	givenUp *atomic.Bool // of a call: its caller waits no more; it is not sent then. nil: none
}

// Errors of calls.
var (
	ErrBusy           = errors.New("the connection's queue is full: try again later")
	ErrConnectionLost = errors.New("the connection ended: whether the call was carried out is not known")
)

// Register makes a type of message known, at the start of the program.
func Register(messages ...any) {
	for _, message := range messages {
		gob.Register(message)
	}
}

// RegisterName is Register for a message whose name on the wire is given. The name travels with
// each message, so builds that run beside each other must agree on it: it stays as it is when
// the type or its package is renamed.
func RegisterName(name string, message any) { gob.RegisterName(name, message) }

// maxQueued bounds the frames that wait to be written on one connection.
const maxQueued = 4096

// writeBuffer is the size of a connection's write buffer, in bytes.
const writeBuffer = 16 << 10

// stream is one connection, at either end.
type stream struct {
	conn     io.ReadWriteCloser
	mu       sync.Mutex
	queue    []frame
	wake     chan struct{}
	done     chan struct{}
	once     sync.Once
	lastRead atomic.Int64 // steady nanoseconds
}

var started = time.Now()

func steady() time.Duration { return time.Since(started) }

func newStream(conn io.ReadWriteCloser) *stream {
	s := &stream{conn: conn, wake: make(chan struct{}, 1), done: make(chan struct{})}
	s.lastRead.Store(int64(steady()))
	go s.write()
	return s
}

// put queues a frame.
func (s *stream) put(f frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= maxQueued {
		return ErrBusy
	}
	s.queue = append(s.queue, f)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

func (s *stream) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

func (s *stream) taken() []frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	queued := s.queue
	s.queue = nil
	return queued
}

func (s *stream) write() {
	buffer := bufio.NewWriterSize(s.conn, writeBuffer)
	encoder := gob.NewEncoder(buffer)
	for {
		select {
		case <-s.done:
			return
		case <-s.wake:
		}
		for _, f := range s.taken() {
			if f.givenUp != nil && f.givenUp.Load() {
				continue
			}
			if encoder.Encode(f) != nil {
				s.close()
				return
			}
		}
		if buffer.Flush() != nil {
			s.close()
			return
		}
	}
}

// read hands each frame on, until the connection ends.
func (s *stream) read(take func(frame)) {
	defer s.close()
	decoder := gob.NewDecoder(bufio.NewReader(s.conn))
	for {
		var f frame
		if decoder.Decode(&f) != nil {
			return
		}
		s.lastRead.Store(int64(steady()))
		take(f)
	}
}

func (s *stream) close() {
	s.once.Do(func() {
		close(s.done)
		s.conn.Close()
	})
}
