// Package agent is a process's membership in the fleet: it joins, renews the process's
// lease and its shares of the budgets, and reports at a planned shutdown what is still in
// flight. The methods on a job's path are in budget_use.go; none of them blocks.
package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/fleet/budget"
	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/partition"
	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/fleet/state"
	"basaltloft/internal/shared/saturating"
)

const (
	minJoinBackoff = 50 * time.Millisecond // after a failed join; doubled up to maxJoinBackoff
	maxJoinBackoff = time.Second
	commandTimeout = 3 * time.Second // for one command with its retries; then it counts as lost
)

// Settings configure an agent.
type Settings struct {
	Process, Version string
	RaftNodes        map[string]string   // address of each node's RPC endpoint, by name
	FleetSettings    state.FleetSettings // the operator's settings for the whole fleet
	ExpectedBudgets  []string            // names of the budgets in FleetSettings
	Log              *slog.Logger
}

// Agent keeps one process in the fleet. It is safe for concurrent use, except for methods whose
// comment restricts them to one goroutine.
type Agent struct {
	settings      Settings
	client        *rpc.Client
	clockZero     time.Time // origin of the process's own monotonic clock
	nonce         string
	allowance     *budget.Allowance
	buckets       atomic.Pointer[bucketSet]
	lastRejection map[string]time.Duration // by budget; see HasHeadroom

	session   atomic.Pointer[rpc.Session] // nil: not joined
	leaving   chan struct{}               // closed at a planned shutdown
	joins     atomic.Int64                // number of joins
	renewedAt atomic.Int64                // own clock at the sending of the last successful renewal, in nanoseconds; 0: none
	members   atomic.Int64                // as of the last renewal
	leaseEnd  atomic.Int64                // own clock, in nanoseconds
}

// New returns an agent that has not joined. The expected budgets allow nothing before its
// first grant.
func New(s Settings) *Agent {
	a := &Agent{settings: s, client: rpc.New(s.RaftNodes), clockZero: time.Now(), nonce: fmt.Sprintf("%016x", rand.Uint64()), allowance: budget.NewAllowance(),
		leaving: make(chan struct{}), lastRejection: make(map[string]time.Duration)}
	a.allowance.ExpectBudgets(s.ExpectedBudgets...)
	a.addBuckets(s.ExpectedBudgets)
	return a
}

// now returns the time by the process's own clock, which never jumps and keeps running while
// the process is stopped.
func (a *Agent) now() time.Duration { return time.Since(a.clockZero) }

// Session returns the incarnation in force, as far as this process knows, or nil.
func (a *Agent) Session() *rpc.Session { return a.session.Load() }

// Run keeps the process in the fleet until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	defer a.client.Close()
	pause := minJoinBackoff
	for n := 0; ctx.Err() == nil; n++ {
		// Each incarnation needs a new nonce. A join that failed is retried with the same one.
		err := a.joinAndRenew(ctx, fmt.Sprintf("%s-%d", a.nonce, n))
		a.session.Store(nil)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, state.ErrFenced):
			a.settings.Log.Warn("incarnation is fenced; joining the fleet again", "error", err)
			pause = minJoinBackoff
			continue
		default:
			a.settings.Log.Warn("no raft node answers; joining the fleet again", "error", err)
			n-- // the same nonce: the join may have been applied
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxJoinBackoff)
	}
	return nil
}

// joinAndRenew joins the fleet, and renews the lease until the incarnation is fenced or the
// context ends.
func (a *Agent) joinAndRenew(ctx context.Context, nonce string) error {
	join, cancel := context.WithDeadline(ctx, time.Now().Add(commandTimeout))
	defer cancel()
	s, _, err := a.client.Join(join, a.settings.Process, nonce, a.settings.Version)
	if err != nil {
		return err
	}
	a.allowance.SetIncarnation(a.settings.Process, s.Incarnation)
	if err := s.Execute(join, state.SetSettings, a.settings.FleetSettings, nil); err != nil && !errors.Is(err, rpc.ErrUnavailable) {
		if errors.Is(err, state.ErrFenced) {
			return err
		}
		a.settings.Log.Error("fleet settings in force differ from this operator file", "error", err)
	}
	a.session.Store(s)
	a.joins.Add(1)
	a.settings.Log.Info("joined the fleet", "incarnation", s.Incarnation)
	for failing := false; ; {
		sent := a.now()
		switch err := a.renew(ctx, s, sent); {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, state.ErrFenced):
			return err
		case err != nil && !failing:
			failing = true
			a.settings.Log.Warn("lease renewal failed; shares are used until the lease expires, then floors", "error", err)
		case err == nil && failing:
			failing = false
			a.settings.Log.Info("lease renewal recovered")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.leaving:
			<-ctx.Done() // the allowance is closed: nothing is spent any more, and no renewal is needed
			return ctx.Err()
		case <-time.After(max(0, a.allowance.NextRenewal(a.now())-a.now())):
		}
	}
}

// renew renews the lease and applies the grant.
func (a *Agent) renew(ctx context.Context, s *rpc.Session, sent time.Duration) error {
	body, err := codec.Encode(a.allowance.Renewal(sent))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(commandTimeout))
	defer cancel()
	reply, err := s.Renew(ctx, map[string][]byte{partition.BudgetsName: body})
	if err != nil {
		return err
	}
	for part, why := range reply.Refused {
		a.settings.Log.Warn("partition refused its renewal message", "partition", part, "reason", why)
	}
	a.renewedAt.Store(int64(sent))
	a.leaseEnd.Store(int64(sent + saturating.Duration(budget.LeaseMargin*float64(reply.Lease))))
	a.members.Store(int64(reply.Members))
	var g budget.Grant
	if text := reply.Partitions[partition.BudgetsName]; text != nil {
		if err := codec.Decode(text, &g); err != nil {
			return err
		}
		a.allowance.Apply(sent, a.now(), g)
		names := append([]string(nil), a.settings.ExpectedBudgets...)
		for _, share := range g.Shares {
			names = append(names, share.Name)
		}
		a.addBuckets(names)
	}
	return nil
}

// HoldsLease reports whether this process's lease is valid, by its own clock.
func (a *Agent) HoldsLease() bool {
	return int64(a.now()) < a.leaseEnd.Load() && a.session.Load() != nil
}

// Leave announces a planned shutdown and reports what is in flight. If it can't report before
// the context's deadline, the fleet infers the departure from the lease's expiry. Leave must be
// called at most once.
func (a *Agent) Leave(ctx context.Context) error {
	close(a.leaving)
	left := a.allowance.Close(a.now())
	s := a.session.Load()
	if s == nil {
		return nil
	}
	if err := s.Execute(ctx, partition.BudgetsLeave, partition.BudgetsDeparture{Left: left}, nil); err != nil {
		return fmt.Errorf("leaving the fleet: %w", err)
	}
	if err := s.Execute(ctx, state.Leave, nil, nil); err != nil {
		return fmt.Errorf("leaving the fleet: %w", err)
	}
	return nil
}

// Status describes an agent.
type Status struct {
	Process        string
	Incarnation    uint64 // 0: not in the fleet
	Joins          int64  // number of joins
	Members        int64  // members in force as of the last renewal
	SinceRenewalMS int64  // milliseconds since the last successful renewal was sent; -1: there was none
}

// Status returns the agent's status.
func (a *Agent) Status() Status {
	s := Status{Process: a.settings.Process, Joins: a.joins.Load(), Members: a.members.Load(), SinceRenewalMS: -1}
	if at := a.renewedAt.Load(); at != 0 {
		s.SinceRenewalMS = (a.now() - time.Duration(at)).Milliseconds()
	}
	if current := a.session.Load(); current != nil {
		s.Incarnation = current.Incarnation
	}
	return s
}
