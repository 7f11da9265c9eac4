package fakes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"basaltloft/internal/shared/saturating"
)

// FaktoryClients pushes jobs over one connection until the context ends. A job counts as
// served once the server has accepted it; its outcome is not counted here, but reported by the server.
func FaktoryClients(ctx context.Context, addr func() string, prefix string, s ClientSettings, a *Answers) {
	random := rand.New(rand.NewPCG(s.Seed, 13))
	p := &faktoryPusher{addr: addr, answers: a}
	defer p.disconnect()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(saturating.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))):
		}
		jobType, queue := "Hold", "holds"
		if random.Float64() < s.TicketShare {
			jobType, queue = "IssueTicket", "tickets"
		}
		job, err := json.Marshal(map[string]any{
			"jid": fmt.Sprintf("%s-job-%06d", prefix, n), "jobtype": jobType, "queue": queue, "args": []any{n},
			"custom": map[string]any{"tenant": s.Tenants[random.IntN(len(s.Tenants))], "cost_us": 20000},
		})
		if err != nil { // encoding a map of strings and numbers does not fail
			panic(err)
		}
		a.Requests.Add(1)
		for attempt := 0; attempt <= s.Retries && ctx.Err() == nil; attempt++ {
			if p.push(string(job)) {
				break
			}
		}
	}
}

// faktoryPusher pushes jobs over a connection, and reconnects when it is lost.
type faktoryPusher struct {
	addr    func() string
	answers *Answers
	conn    *FaktoryConn // nil: none
}

// push pushes a job, and reports whether the server has accepted it. A job may be pushed again:
// the server recognizes it by its jid.
func (p *faktoryPusher) push(job string) bool {
	if p.conn == nil {
		conn, err := DialFaktory(p.addr(), "")
		if err != nil {
			time.Sleep(failureRetryWait)
			return false
		}
		p.conn = conn
	}
	p.answers.Attempts.Add(1)
	_, err := p.conn.Do("PUSH " + job)
	switch {
	case err == nil:
		p.answers.Served.Add(1)
		return true
	case errors.Is(err, ErrRefused):
		p.answers.Refused.Add(1)
		time.Sleep(reconnectWait)
	default:
		p.answers.Disconnected.Add(1)
		p.disconnect()
	}
	return false
}

func (p *faktoryPusher) disconnect() {
	if p.conn != nil {
		p.conn.Close()
	}
	p.conn = nil
}
