package loadgen

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/fakes"
)

// Target is a server that requests are sent to.
type Target interface {
	// Send sends the nth request and returns its outcome: Served, or a text that names
	// another outcome. It may be called concurrently.
	Send(ctx context.Context, n int) (outcome string)
	// Close closes the connections. No request may be in flight.
	Close()
}

// Run sends the requests of a plan and returns once all have ended. At most maxInFlight
// requests are in flight at a time: a request that can't be sent when it is due is sent later,
// and its latency counts from when it was due. After the end of the context nothing more is sent.
func Run(ctx context.Context, plan Plan, target Target, maxInFlight int, record *Record) {
	slots := make(chan struct{}, maxInFlight)
	var running sync.WaitGroup
	defer running.Wait()
	wake := time.NewTimer(0)
	defer wake.Stop()
	<-wake.C
	begin, n := time.Now(), 0
	for due := range plan.DueTimes() {
		if wait := due - time.Since(begin); wait > 0 {
			wake.Reset(wait)
			select {
			case <-wake.C:
			case <-ctx.Done():
				return
			}
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		n++
		number := n
		running.Go(func() {
			defer func() { <-slots }()
			sent := time.Since(begin)
			outcome := target.Send(ctx, number)
			record.Add(due, sent, time.Since(begin), outcome)
		})
	}
}

// Outcomes other than Served, as they are reported.
const (
	outcomeRefused       = "refused"
	outcomeRefusedForNow = "refused, come back later"
	outcomeTimedOut      = "no answer in time"
	outcomeDisconnected  = "broken off"
	outcomeNotConnected  = "no connection"
	outcomeCancelled     = "given up"
	outcomeBadAddress    = "bad address"
)

// Job describes the job that each request asks for.
type Job struct {
	IDPrefix  string // of job ids and idempotency keys, so that those of several runs differ
	Class     string // class of an HTTP request, or jobtype of a Faktory job
	Queue     string // queue of a Faktory job
	Tenant    string
	CostHint  time.Duration // 0: none is sent
	Timeout   time.Duration
	BodyBytes int // length of the body
}

// HTTP sends requests over the platform's HTTP protocol. It implements Target.
type HTTP struct {
	addr   string
	job    Job
	client http.Client
	body   string
}

// NewHTTP returns a target that keeps up to maxInFlight idle connections.
func NewHTTP(addr string, job Job, maxInFlight int) *HTTP {
	return &HTTP{addr: addr, job: job, body: strings.Repeat("b", job.BodyBytes), client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}}}
}

// Send implements Target.
func (h *HTTP) Send(ctx context.Context, n int) string {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(h.job.Timeout+time.Second))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.addr+"/"+h.job.Class, strings.NewReader(h.body))
	if err != nil {
		return outcomeBadAddress
	}
	name := h.job.IDPrefix + "-" + strconv.Itoa(n)
	req.Header.Set("X-Call-Id", name)
	req.Header.Set("Idempotency-Key", name)
	req.Header.Set("X-Budget", strconv.FormatFloat(h.job.Timeout.Seconds(), 'f', 3, 64))
	if h.job.Tenant != "" {
		req.Header.Set("X-Caller", h.job.Tenant)
	}
	if h.job.CostHint > 0 {
		req.Header.Set("X-Call-Cost", strconv.FormatInt(h.job.CostHint.Microseconds(), 10))
	}
	resp, err := h.client.Do(req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			return outcomeTimedOut
		}
		return outcomeDisconnected
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if errors.Join(err, resp.Body.Close()) != nil {
		return outcomeDisconnected
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return Served
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
		return outcomeRefusedForNow
	}
	return "status " + strconv.Itoa(resp.StatusCode)
}

// Close implements Target.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// Faktory pushes jobs over the Faktory protocol. A request counts as served once the server has
// accepted the job, which a worker runs later. It implements Target.
type Faktory struct {
	addr  string
	job   Job
	conns chan *fakes.FaktoryConn // idle connections; nil stands for one that is not dialled yet
}

// NewFaktory returns a target that opens at most maxConnections connections.
func NewFaktory(addr string, job Job, maxConnections int) *Faktory {
	f := &Faktory{addr: addr, job: job, conns: make(chan *fakes.FaktoryConn, maxConnections)}
	for range maxConnections {
		f.conns <- nil
	}
	return f
}

// Send implements Target.
func (f *Faktory) Send(ctx context.Context, n int) string {
	var c *fakes.FaktoryConn
	select {
	case c = <-f.conns:
	case <-ctx.Done():
		return outcomeCancelled
	}
	defer func() { f.conns <- c }()
	var err error
	if c == nil {
		if c, err = fakes.DialFaktory(f.addr, ""); err != nil {
			c = nil
			return outcomeNotConnected
		}
	}
	_, err = c.Do(fmt.Sprintf(`PUSH {"jid":"%s-%d","jobtype":%q,"queue":%q,"args":[%q]}`, f.job.IDPrefix, n, f.job.Class, f.job.Queue, strings.Repeat("b", f.job.BodyBytes)))
	switch {
	case err == nil:
		return Served
	case errors.Is(err, fakes.ErrRefused):
		return outcomeRefused
	}
	c.Close()
	c = nil
	return outcomeDisconnected
}

// Close implements Target.
func (f *Faktory) Close() {
	for range cap(f.conns) {
		if c := <-f.conns; c != nil {
			c.Close()
		}
	}
}

// IsLoopback reports whether an address is a loopback address of this machine.
func IsLoopback(addr string) (bool, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false, err
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback(), nil
}
