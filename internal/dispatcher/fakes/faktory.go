package fakes

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// FaktoryConn is a client's connection to a server of the Faktory work
// protocol, without a password.
type FaktoryConn struct {
	conn net.Conn
	in   *bufio.Reader
}

// DialFaktory connects and says HELLO; a wid makes the connection a worker's.
func DialFaktory(addr, wid string) (*FaktoryConn, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	f := &FaktoryConn{c, bufio.NewReader(c)}
	if _, err := f.reply(); err != nil { // +HI
		c.Close()
		return nil, err
	}
	hello := map[string]any{"v": 2, "hostname": "stand-in", "pid": 1, "labels": []string{"go"}}
	if wid != "" {
		hello["wid"] = wid
	}
	text, _ := json.Marshal(hello)
	if _, err := f.Do("HELLO " + string(text)); err != nil {
		c.Close()
		return nil, err
	}
	return f, nil
}

// ErrRefused is what the server answered to a command that it did not take.
var ErrRefused = errors.New("refused")

// Do sends a command and returns its reply; nil for no value.
func (f *FaktoryConn) Do(command string) ([]byte, error) {
	f.conn.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := io.WriteString(f.conn, command+"\r\n"); err != nil {
		return nil, err
	}
	return f.reply()
}

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
		text := make([]byte, n+2)
		if _, err := io.ReadFull(f.in, text); err != nil {
			return nil, err
		}
		return text[:n], nil
	}
	return nil, fmt.Errorf("a reply that makes no sense: %q", line)
}

// Close ends the connection without a word.
func (f *FaktoryConn) Close() { f.conn.Close() }

// FaktoryClients push jobs at a rate until the context ends. What is pushed
// has been asked; its outcome is the server's to tell.
func FaktoryClients(ctx context.Context, addr func() string, prefix string, m ClientSettings, a *Answers) {
	random := rand.New(rand.NewPCG(m.Seed, 13))
	var c *FaktoryConn
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() / m.Rate * float64(time.Second))):
		}
		kind, queue := "Hold", "holds"
		if random.Float64() < m.TicketShare {
			kind, queue = "IssueTicket", "tickets"
		}
		job, _ := json.Marshal(map[string]any{
			"jid": fmt.Sprintf("%s-job-%06d", prefix, n), "jobtype": kind, "queue": queue, "args": []any{n},
			"custom": map[string]any{"tenant": m.Tenants[random.IntN(len(m.Tenants))], "cost_us": 20000},
		})
		a.Requests.Add(1)
		for try := 0; try <= m.Retries && ctx.Err() == nil; try++ {
			var err error
			if c == nil {
				if c, err = DialFaktory(addr(), ""); err != nil {
					c = nil
					time.Sleep(20 * time.Millisecond)
					continue
				}
			}
			a.Attempts.Add(1)
			_, err = c.Do("PUSH " + string(job))
			if err == nil {
				a.Served.Add(1) // it is taken
				break
			}
			if errors.Is(err, ErrRefused) {
				a.Refused.Add(1)
				time.Sleep(50 * time.Millisecond)
				continue
			}
			a.Disconnected.Add(1) // pushed again: the same jid joins it
			c.Close()
			c = nil
		}
	}
}

// WorkerSettings are what a Faktory worker is.
type WorkerSettings struct {
	WID        string
	Queues     []string
	Run        func(kind string) time.Duration
	Faults     Faults // Fail: it says FAIL; Again: it says ACK twice; Break: it drops its connection before ACK
	RunLog     *RunLog
	AtMostOnce func(kind string) bool
	Seed       uint64
}

// FaktoryWorker fetches and runs jobs over one connection until the context
// ends, and connects again when it is lost.
func FaktoryWorker(ctx context.Context, addr func() string, s WorkerSettings) {
	random := rand.New(rand.NewPCG(s.Seed, 17))
	var c *FaktoryConn
	var mu sync.Mutex
	stop := context.AfterFunc(ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		if c != nil {
			c.Close()
		}
	})
	defer stop()
	drop := func() {
		mu.Lock()
		defer mu.Unlock()
		if c != nil {
			c.Close()
		}
		c = nil
	}
	defer drop()
	var owed []string // acknowledgements for the next connection
	for ctx.Err() == nil {
		if c == nil {
			fresh, err := DialFaktory(addr(), s.WID)
			if err != nil {
				select {
				case <-ctx.Done():
				case <-time.After(20 * time.Millisecond):
				}
				continue
			}
			mu.Lock()
			c = fresh
			mu.Unlock()
		}
		for len(owed) > 0 {
			if _, err := c.Do(owed[0]); err != nil && !errors.Is(err, ErrRefused) {
				break
			}
			owed = owed[1:]
		}
		text, err := c.Do("FETCH " + strings.Join(s.Queues, " "))
		if err != nil {
			drop()
			continue
		}
		if text == nil {
			continue
		}
		var job struct {
			JID  string `json:"jid"`
			Kind string `json:"jobtype"`
		}
		if json.Unmarshal(text, &job) != nil {
			drop()
			continue
		}
		s.RunLog.RecordRun(job.JID, s.AtMostOnce(job.Kind))
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.Run(job.Kind)):
		}
		ack := fmt.Sprintf(`ACK {"jid":%q}`, job.JID)
		if random.Float64() < s.Faults.Fail {
			ack = fmt.Sprintf(`FAIL {"jid":%q,"errtype":"RuntimeError","message":"it went wrong"}`, job.JID)
		}
		if owed = append(owed, ack); random.Float64() < s.Faults.DuplicateEnd {
			owed = append(owed, ack)
		}
		if random.Float64() < s.Faults.Break {
			drop()
		}
	}
}
