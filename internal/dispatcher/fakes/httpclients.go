package fakes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft/internal/shared/saturating"
)

// ClientSettings are the settings of clients. Shares are from 0 to 1.
type ClientSettings struct {
	Rate         float64 // logical requests per second, as a Poisson process
	TicketShare  float64 // share of requests for group tickets; the others are for holds
	Tenants      []string
	Retries      int     // how many times a rejected request, or a hold that failed in any way, is retried
	AbandonShare float64 // share of logical requests whose client disconnects before the response
	Seed         uint64
	OnCall       func(Call) // called after each attempt over HTTP, concurrently; nil: never
}

// Call is one attempt of a logical request, as observed by its client.
type Call struct {
	ID, LogicalID, Class, Tenant, Addr string // Addr is the dispatcher's
	Sent, Ended                        time.Time
	Status                             int // HTTP status; 0: there was no response
}

// Answers counts requests of clients, their attempts and the results. It may be used concurrently.
type Answers struct {
	Requests, Attempts, Served, Refused, Failed, Disconnected, Abandoned atomic.Int64
}

// String implements fmt.Stringer.
func (a *Answers) String() string {
	return fmt.Sprintf("%d asks, %d tries: %d served, %d refused, %d failed, %d left, %d broken off",
		a.Requests.Load(), a.Attempts.Load(), a.Served.Load(), a.Refused.Load(), a.Failed.Load(), a.Abandoned.Load(), a.Disconnected.Load())
}

const (
	holdTimeout   = 10 * time.Second
	ticketTimeout = 25 * time.Second
	abandonAfter  = 30 * time.Millisecond // when a client that abandons its request disconnects
	answerMargin  = time.Second           // added to a request's timeout; its client surely has a response by then

	maxRetryWait     = time.Second
	reconnectWait    = 50 * time.Millisecond
	failureRetryWait = 20 * time.Millisecond
)

// Classes of the requests.
const (
	classHold   = "place-hold"
	classTicket = "group-ticket"
)

// HTTPClients sends requests to a dispatcher over HTTP until the context ends, and then waits for
// the outstanding responses. addr is called for each attempt. prefix makes the ids differ from those
// of other clients.
func HTTPClients(ctx context.Context, addr func() string, prefix string, s ClientSettings, a *Answers) {
	random := rand.New(rand.NewPCG(s.Seed, 11))
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(saturating.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))):
		}
		r := httpRequest{
			class: classHold, key: fmt.Sprintf("%s-k%d", prefix, n), id: fmt.Sprintf("%s-%d", prefix, n),
			tenant: s.Tenants[random.IntN(len(s.Tenants))], timeout: holdTimeout, retries: s.Retries,
			abandons: random.Float64() < s.AbandonShare, onCall: s.OnCall,
		}
		if random.Float64() < s.TicketShare {
			r.class, r.timeout = classTicket, ticketTimeout
		}
		a.Requests.Add(1)
		running.Go(func() { r.run(client, addr, a) })
	}
}

// httpRequest is a logical request of a client.
type httpRequest struct {
	class, id, key, tenant string
	timeout                time.Duration
	retries                int
	abandons               bool // the client disconnects before the response
	onCall                 func(Call)
}

// run makes attempts until the request is served, may not be retried, or has no retries
// left.
func (q httpRequest) run(client *http.Client, addr func() string, a *Answers) {
	for number := 0; number <= q.retries; number++ {
		wait, retry := q.attempt(client, addr(), number, a)
		if !retry {
			return
		}
		time.Sleep(min(wait, maxRetryWait))
	}
}

// attempt makes one attempt. It returns whether another one may follow, and after what wait.
func (q httpRequest) attempt(client *http.Client, addr string, number int, a *Answers) (wait time.Duration, retry bool) {
	attemptTimeout := q.timeout + answerMargin
	if q.abandons {
		attemptTimeout = abandonAfter
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(attemptTimeout))
	defer cancel()
	req, err := q.newHTTPRequest(ctx, addr, number)
	if err != nil {
		return 0, false
	}
	a.Attempts.Add(1)
	call := Call{ID: req.Header.Get("X-Call-Id"), LogicalID: q.key, Class: q.class, Tenant: q.tenant, Addr: addr, Sent: time.Now()}
	defer func() {
		if call.Ended = time.Now(); q.onCall != nil {
			q.onCall(call)
		}
	}()
	resp, err := client.Do(req)
	if err != nil {
		if q.abandons && ctx.Err() != nil {
			a.Abandoned.Add(1)
			return 0, false
		}
		a.Disconnected.Add(1) // e.g. the dispatcher was killed: a ticket may have run
		return reconnectWait, q.class == classHold
	}
	discard(resp.Body)
	call.Status = resp.StatusCode
	switch resp.StatusCode {
	case http.StatusOK:
		a.Served.Add(1)
		return 0, false
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		a.Refused.Add(1)
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil { // the response has no valid Retry-After
			seconds = 0
		}
		return saturating.Duration(seconds * float64(time.Second)), true
	}
	a.Failed.Add(1)
	return failureRetryWait, q.class == classHold
}

// newHTTPRequest returns the request of one attempt, in the platform's protocol.
func (q httpRequest) newHTTPRequest(ctx context.Context, addr string, number int) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+q.class+"?sid="+q.key, strings.NewReader("body"))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Call-Id", q.id+"-"+strconv.Itoa(number))
	req.Header.Set("X-Caller", q.tenant)
	req.Header.Set("X-Budget", strconv.FormatFloat(q.timeout.Seconds(), 'f', 3, 64))
	req.Header.Set("X-Call-Cost", "20000")
	if q.class == classHold {
		req.Header.Set("Idempotency-Key", q.key)
	}
	return req, nil
}

// discard reads a body to its end, so that its connection can be reused. It ignores errors: they
// mean that the peer has closed the connection.
func discard(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, body)
	_ = body.Close()
}
