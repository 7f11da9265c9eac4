package rpc

import (
	"bufio"
	"encoding/gob"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedFrames limits the frames that are waiting to be written to one connection.
	maxQueuedFrames = 4096
	// writeBufferBytes is the size of a connection's write buffer.
	writeBufferBytes = 16 << 10
)

// stream is one connection, on the client or the server. A writer goroutine runs until the connection
// ends. The caller of read is the reader; read waits for the writer before it returns.
type stream struct {
	conn       io.ReadWriteCloser
	closeOnce  sync.Once
	closed     chan struct{}
	writerDone chan struct{} // closed once the writer has ended
	lastRead   atomic.Int64  // monotonicNow at the last read, in ns

	mu    sync.Mutex
	queue []frame
	wake  chan struct{}
}

var processStart = time.Now()

// monotonicNow returns the time since the start of the process.
func monotonicNow() time.Duration { return time.Since(processStart) }

// newStream starts the writer of a connection. The caller must call read or close.
func newStream(conn io.ReadWriteCloser) *stream {
	s := &stream{conn: conn, wake: make(chan struct{}, 1), closed: make(chan struct{}), writerDone: make(chan struct{})}
	s.lastRead.Store(int64(monotonicNow()))
	go s.write()
	return s
}

// enqueue queues a frame to be written. It returns ErrBusy if the queue is full.
func (s *stream) enqueue(f frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= maxQueuedFrames {
		return ErrBusy
	}
	s.queue = append(s.queue, f)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

func (s *stream) queueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

func (s *stream) takeQueue() []frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queue
	s.queue = nil
	return queue
}

// write writes the queued frames until the connection ends. Frames that are queued together share a
// flush.
func (s *stream) write() {
	defer close(s.writerDone)
	buffer := bufio.NewWriterSize(s.conn, writeBufferBytes)
	encoder := gob.NewEncoder(buffer)
	for {
		select {
		case <-s.closed:
			return
		case <-s.wake:
		}
		for _, f := range s.takeQueue() {
			if f.cancelled != nil && f.cancelled.Load() {
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

// read passes each received frame to a handler until the connection ends. It then closes the connection
// and waits for the writer.
func (s *stream) read(handle func(frame)) {
	defer func() {
		s.close()
		<-s.writerDone
	}()
	decoder := gob.NewDecoder(bufio.NewReader(s.conn))
	for {
		var f frame
		if decoder.Decode(&f) != nil {
			return
		}
		s.lastRead.Store(int64(monotonicNow()))
		handle(f)
	}
}

// close closes the connection. It may be called more than once.
func (s *stream) close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		_ = s.conn.Close() // unsent frames are lost
	})
}
