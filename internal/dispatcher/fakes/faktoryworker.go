package fakes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// WorkerSettings are the settings of a Faktory worker.
type WorkerSettings struct {
	WID        string // the worker's id
	Queues     []string
	Run        func(jobType string) time.Duration // how long a job runs
	Faults     Faults                             // Fail: it sends FAIL; DuplicateEnd: it sends ACK twice; Break: it disconnects before ACK
	RunLog     *RunLog
	AtMostOnce func(jobType string) bool // job types that must not run twice
	Seed       uint64
}

// FaktoryWorker fetches and runs jobs over one connection until the context ends, and
// reconnects when the connection is lost.
func FaktoryWorker(ctx context.Context, addr func() string, s WorkerSettings) {
	w := &faktoryWorker{WorkerSettings: s, addr: addr, random: rand.New(rand.NewPCG(s.Seed, 17))}
	defer w.disconnect()
	stop := context.AfterFunc(ctx, w.interrupt)
	defer stop()
	for ctx.Err() == nil {
		if !w.connect(ctx) {
			continue
		}
		w.acknowledge()
		jid, jobType, ok := w.fetch()
		if !ok {
			continue
		}
		w.RunLog.RecordRun(jid, w.AtMostOnce(jobType))
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.Run(jobType)):
		}
		w.finish(jid)
	}
}

type faktoryWorker struct {
	WorkerSettings
	addr   func() string
	random *rand.Rand
	acks   []string // acknowledgements (ACK and FAIL) that are not sent yet

	mu   sync.Mutex // guards conn; the worker's goroutine alone sets it, and reads it without the lock
	conn *FaktoryConn
}

// connect connects if there is no connection, and reports whether there is one then.
func (w *faktoryWorker) connect(ctx context.Context) bool {
	if w.conn != nil {
		return true
	}
	conn, err := DialFaktory(w.addr(), w.WID)
	if err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(failureRetryWait):
		}
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = conn
	return true
}

// interrupt closes the connection, which ends a command that waits for its reply. It may be called
// concurrently.
func (w *faktoryWorker) interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		w.conn.Close()
	}
}

func (w *faktoryWorker) disconnect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		w.conn.Close()
	}
	w.conn = nil
}

// acknowledge sends the outstanding acknowledgements, until the connection fails.
func (w *faktoryWorker) acknowledge() {
	for len(w.acks) > 0 {
		if _, err := w.conn.Do(w.acks[0]); err != nil && !errors.Is(err, ErrRefused) {
			return
		}
		w.acks = w.acks[1:]
	}
}

// fetch fetches a job; ok is false if there is none or the connection has failed.
func (w *faktoryWorker) fetch() (jid, jobType string, ok bool) {
	text, err := w.conn.Do("FETCH " + strings.Join(w.Queues, " "))
	if err != nil {
		w.disconnect()
		return "", "", false
	}
	if text == nil {
		return "", "", false
	}
	var job struct {
		JID     string `json:"jid"`
		JobType string `json:"jobtype"`
	}
	if json.Unmarshal(text, &job) != nil {
		w.disconnect()
		return "", "", false
	}
	return job.JID, job.JobType, true
}

// finish queues the acknowledgement of a job that has run, which is sent before the next fetch.
func (w *faktoryWorker) finish(jid string) {
	ack := fmt.Sprintf(`ACK {"jid":%q}`, jid)
	if w.random.Float64() < w.Faults.Fail {
		ack = fmt.Sprintf(`FAIL {"jid":%q,"errtype":"RuntimeError","message":"it went wrong"}`, jid)
	}
	if w.acks = append(w.acks, ack); w.random.Float64() < w.Faults.DuplicateEnd {
		w.acks = append(w.acks, ack)
	}
	if w.random.Float64() < w.Faults.Break {
		w.disconnect()
	}
}
