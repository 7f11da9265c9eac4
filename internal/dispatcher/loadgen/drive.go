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

// Target is who is asked. Its Ask may be called concurrently.
type Target interface {
	Send(ctx context.Context, n int) (outcome string)
	Close()
}

// Run sends a plan's asks, at most so many at a time, and returns once all have
// ended. What can't be sent when it is due, since as many are out, goes out late and
// counts from when it was due. A context that ends sends nothing more.
func Run(ctx context.Context, p Plan, to Target, most int, record *Record) {
	slots := make(chan struct{}, most)
	var all sync.WaitGroup
	defer all.Wait()
	wake := time.NewTimer(0)
	defer wake.Stop()
	<-wake.C
	begin, n := time.Now(), 0
	for due := range p.DueTimes() {
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
		ask := n
		all.Go(func() {
			defer func() { <-slots }()
			sent := time.Since(begin)
			outcome := to.Send(ctx, ask)
			record.Add(due, sent, time.Since(begin), outcome)
		})
	}
}

// Job is what is asked for.
type Job struct {
	IDPrefix  string // of ids and keys, so that runs don't meet
	Class     string // of an HTTP request, or the jobtype of a Faktory job
	Queue     string
	Tenant    string
	CostHint  time.Duration // told; 0: not told
	Timeout   time.Duration
	BodyBytes int // bytes
}

// HTTP asks by the platform's protocol.
type HTTP struct {
	addr   string
	job    Job
	client http.Client
	body   string
}

// NewHTTP returns a target with connections for so many asks at a time.
func NewHTTP(addr string, j Job, most int) *HTTP {
	return &HTTP{addr: addr, job: j, body: strings.Repeat("b", j.BodyBytes), client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: most}}}
}

// Send implements Target.
func (h *HTTP) Send(ctx context.Context, n int) string {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(h.job.Timeout+time.Second))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.addr+"/"+h.job.Class, strings.NewReader(h.body))
	if err != nil {
		return "bad address"
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
			return "no answer in time"
		}
		return "broken off"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken off"
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return Served
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
		return "refused, come back later"
	}
	return "status " + strconv.Itoa(resp.StatusCode)
}

// Close implements Target.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// Faktory pushes jobs by the Faktory protocol. An ask is served once its push is
// taken: what runs it is a worker's matter.
type Faktory struct {
	addr string
	job  Job
	free chan *fakes.FaktoryConn // nil ones are still to be dialled
}

// NewFaktory returns a target with so many connections at most.
func NewFaktory(addr string, j Job, most int) *Faktory {
	f := &Faktory{addr: addr, job: j, free: make(chan *fakes.FaktoryConn, most)}
	for range most {
		f.free <- nil
	}
	return f
}

// Send implements Target.
func (f *Faktory) Send(ctx context.Context, n int) string {
	var c *fakes.FaktoryConn
	select {
	case c = <-f.free:
	case <-ctx.Done():
		return "given up"
	}
	defer func() { f.free <- c }()
	var err error
	if c == nil {
		if c, err = fakes.DialFaktory(f.addr, ""); err != nil {
			c = nil
			return "no connection"
		}
	}
	_, err = c.Do(fmt.Sprintf(`PUSH {"jid":"%s-%d","jobtype":%q,"queue":%q,"args":[%q]}`, f.job.IDPrefix, n, f.job.Class, f.job.Queue, strings.Repeat("b", f.job.BodyBytes)))
	switch {
	case err == nil:
		return Served
	case errors.Is(err, fakes.ErrRefused):
		return "refused"
	}
	c.Close()
	c = nil
	return "broken off"
}

// Close implements Target. No ask may be under way.
func (f *Faktory) Close() {
	for range cap(f.free) {
		if c := <-f.free; c != nil {
			c.Close()
		}
	}
}

// IsLoopback tells whether an address is this machine's own.
func IsLoopback(addr string) (bool, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false, err
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback(), nil
}
