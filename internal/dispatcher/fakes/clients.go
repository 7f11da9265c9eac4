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
)

// ClientSettings is what clients ask for.
type ClientSettings struct {
	Rate         float64 // asks a second, by a Poisson process
	TicketShare  float64 // share of group tickets; the rest are holds
	Tenants      []string
	Retries      int     // further tries after a refusal, or of a hold after any failure
	AbandonShare float64 // share of asks that leave before their answer
	Seed         uint64
	OnCall       func(Call) // of each try over HTTP, once it has ended; nil: nobody
}

// Call is one try of an ask, as its client saw it.
type Call struct {
	ID, LogicalID, Class, Tenant, Addr string // Addr is who was asked
	Sent, Ended                        time.Time
	Status                             int // of HTTP; 0: no answer came
}

// Answers are what clients have been told. Asked counts tries.
type Answers struct {
	Requests, Attempts, Served, Refused, Failed, Disconnected, Abandoned atomic.Int64
}

func (a *Answers) String() string {
	return fmt.Sprintf("%d asks, %d tries: %d served, %d refused, %d failed, %d left, %d broken off",
		a.Requests.Load(), a.Attempts.Load(), a.Served.Load(), a.Refused.Load(), a.Failed.Load(), a.Abandoned.Load(), a.Disconnected.Load())
}

const (
	holdBudget   = 10 * time.Second
	ticketBudget = 25 * time.Second
)

// HTTPClients ask a dispatcher over HTTP until the context ends, then wait for
// the answers that are due. prefix keeps their ids apart from others'.
func HTTPClients(ctx context.Context, addr func() string, prefix string, m ClientSettings, a *Answers) {
	random := rand.New(rand.NewPCG(m.Seed, 11))
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var all sync.WaitGroup
	defer all.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() / m.Rate * float64(time.Second))):
		}
		ask := httpAsk{
			class: "place-hold", key: fmt.Sprintf("%s-k%d", prefix, n), id: fmt.Sprintf("%s-%d", prefix, n),
			tenant: m.Tenants[random.IntN(len(m.Tenants))], budget: holdBudget, retries: m.Retries, leaves: random.Float64() < m.AbandonShare,
			told: m.OnCall,
		}
		if random.Float64() < m.TicketShare {
			ask.class, ask.budget = "group-ticket", ticketBudget
		}
		a.Requests.Add(1)
		all.Go(func() { ask.run(client, addr, a) })
	}
}

type httpAsk struct {
	class, id, key, tenant string
	budget                 time.Duration
	retries                int
	leaves                 bool
	told                   func(Call)
}

// run tries until the ask is served, may not be tried again, or was tried
// often enough.
func (q httpAsk) run(client *http.Client, addr func() string, a *Answers) {
	for try := 0; try <= q.retries; try++ {
		wait, again := q.try(client, addr(), try, a)
		if !again {
			return
		}
		time.Sleep(min(wait, time.Second))
	}
}

func (q httpAsk) try(client *http.Client, addr string, try int, a *Answers) (wait time.Duration, again bool) {
	patience := q.budget + time.Second // a dispatcher answers within the budget
	if q.leaves {
		patience = 30 * time.Millisecond
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(patience))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+q.class+"?sid="+q.key, strings.NewReader("body"))
	if err != nil {
		return 0, false
	}
	req.Header.Set("X-Call-Id", q.id+"-"+strconv.Itoa(try))
	req.Header.Set("X-Caller", q.tenant)
	req.Header.Set("X-Budget", strconv.FormatFloat(q.budget.Seconds(), 'f', 3, 64))
	req.Header.Set("X-Call-Cost", "20000")
	if q.class == "place-hold" {
		req.Header.Set("Idempotency-Key", q.key)
	}
	a.Attempts.Add(1)
	call := Call{ID: req.Header.Get("X-Call-Id"), LogicalID: q.key, Class: q.class, Tenant: q.tenant, Addr: addr, Sent: time.Now()}
	defer func() {
		if call.Ended = time.Now(); q.told != nil {
			q.told(call)
		}
	}()
	resp, err := client.Do(req)
	if err != nil {
		if q.leaves && ctx.Err() != nil {
			a.Abandoned.Add(1)
			return 0, false
		}
		a.Disconnected.Add(1) // a dispatcher that was killed: a ticket may have run
		return 50 * time.Millisecond, q.class == "place-hold"
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	call.Status = resp.StatusCode
	switch resp.StatusCode {
	case http.StatusOK:
		a.Served.Add(1)
		return 0, false
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		a.Refused.Add(1)
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return time.Duration(seconds * float64(time.Second)), true
	}
	a.Failed.Add(1)
	return 20 * time.Millisecond, q.class == "place-hold"
}
