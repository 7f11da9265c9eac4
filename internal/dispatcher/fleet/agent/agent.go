// Package agent is a process's side of the fleet: it joins, keeps the process's lease
// and its shares of the budgets, and says at a planned end what it leaves. What a
// job's path asks of it is in spend.go; nothing there waits.
package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/fleet/budget"
	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/partition"
	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/fleet/state"

	"github.com/sirupsen/logrus"
)

const (
	minJoinBackoff = 50 * time.Millisecond // after a join that failed; doubled up to lastPause
	maxJoinBackoff = time.Second
	commandTimeout = 3 * time.Second // how long a command is asked for before it counts as lost
)

// Settings are what an agent is made of.
type Settings struct {
	Process, Version string
	RaftNodes        map[string]string   // where their calls arrive, as reached from here
	FleetSettings    state.FleetSettings // what the operator's file says for the whole fleet
	ExpectedBudgets  []string            // the budgets that it names
	Log              logrus.FieldLogger
}

// Agent is a process's side. Its methods may be used by several goroutines, but for
// those of spend.go that say otherwise.
type Agent struct {
	settings      Settings
	client        *rpc.Client
	clockZero     time.Time // the own clock's zero
	nonce         string
	allowance     *budget.Allowance
	buckets       atomic.Pointer[bucketSet]
	lastRejection map[string]time.Duration // see Room

	session   atomic.Pointer[rpc.Session] // nil: not joined
	leaving   chan struct{}
	joins     atomic.Int64 // how often
	renewedAt atomic.Int64 // the own clock when the last renewal that was granted was sent
	members   atomic.Int64
	leaseEnd  atomic.Int64 // the own clock when the lease ends here
}

// New returns an agent that has not joined. Until its first grant it admits nothing
// of the budgets that it expects.
func New(s Settings) *Agent {
	a := &Agent{settings: s, client: rpc.New(s.RaftNodes), clockZero: time.Now(), nonce: fmt.Sprintf("%016x", rand.Uint64()), allowance: budget.NewAllowance(),
		leaving: make(chan struct{}), lastRejection: make(map[string]time.Duration)}
	a.allowance.ExpectBudgets(s.ExpectedBudgets...)
	a.addBuckets(s.ExpectedBudgets)
	return a
}

// now is the own clock, which never jumps and goes on while the process is stopped.
func (a *Agent) now() time.Duration { return time.Since(a.clockZero) }

// Session is the incarnation in force, as far as is known here; nil: none.
func (a *Agent) Session() *rpc.Session { return a.session.Load() }

// Run keeps the process in the fleet until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	defer a.client.Close()
	pause := minJoinBackoff
	for n := 0; ctx.Err() == nil; n++ {
		// A start joins under its own nonce; one that went out of force is a new one.
		err := a.joinAndRenew(ctx, fmt.Sprintf("%s-%d", a.nonce, n))
		a.session.Store(nil)
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, state.ErrFenced):
			a.settings.Log.WithError(err).Warn("this process went out of force in the fleet and joins anew")
			pause = minJoinBackoff
			continue
		default:
			a.settings.Log.WithError(err).Warn("the fleet's keepers can't be reached; asking again")
			n-- // the same start: its join may have counted
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxJoinBackoff)
	}
	return nil
}

// joinAndRenew joins and renews until it is out of force or the context ends.
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
		a.settings.Log.WithError(err).Error("the fleet goes by other settings than this operator's file")
	}
	a.session.Store(s)
	a.joins.Add(1)
	a.settings.Log.WithField("incarnation", s.Incarnation).Info("joined the fleet")
	for silent := false; ; {
		sent := a.now()
		switch err := a.renew(ctx, s, sent); {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, state.ErrFenced):
			return err
		case err != nil && !silent:
			silent = true
			a.settings.Log.WithError(err).Warn("the lease could not be renewed: shares are spent to its end, then floors")
		case err == nil && silent:
			silent = false
			a.settings.Log.Info("the lease is renewed again")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.leaving:
			<-ctx.Done() // nothing is spent any more
			return ctx.Err()
		case <-time.After(max(0, a.allowance.NextRenewal(a.now())-a.now())):
		}
	}
}

// renew renews the lease and takes in what it grants.
func (a *Agent) renew(ctx context.Context, s *rpc.Session, sent time.Duration) error {
	body, err := codec.Encode(a.allowance.Renewal(sent))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(commandTimeout))
	defer cancel()
	told, err := s.Renew(ctx, map[string][]byte{partition.BudgetsName: body})
	if err != nil {
		return err
	}
	for part, why := range told.Refused {
		a.settings.Log.WithField("part", part).Warn("the fleet refuses what a renewal says: " + why)
	}
	a.renewedAt.Store(int64(sent))
	a.leaseEnd.Store(int64(sent + time.Duration(budget.LeaseMargin*float64(told.Lease))))
	a.members.Store(int64(told.Members))
	var g budget.Grant
	if text := told.Parts[partition.BudgetsName]; text != nil {
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

// HoldsLease tells whether this process's lease holds, by its own clock.
func (a *Agent) HoldsLease() bool {
	return int64(a.now()) < a.leaseEnd.Load() && a.session.Load() != nil
}

// Leave says that this process ends as planned, and what it leaves under way. What
// it can't say by the deadline the fleet finds out by the lease.
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

// Status is what an agent can tell of itself.
type Status struct {
	Process        string
	Incarnation    uint64 // 0: not in the fleet
	Joins          int64  // how often
	Members        int64  // in force, as of the last renewal
	SinceRenewalMS int64  // since the last renewal that was granted was sent; -1: none was
}

// Status tells how this process stands.
func (a *Agent) Status() Status {
	s := Status{Process: a.settings.Process, Joins: a.joins.Load(), Members: a.members.Load(), SinceRenewalMS: -1}
	if at := a.renewedAt.Load(); at != 0 {
		s.SinceRenewalMS = (a.now() - time.Duration(at)).Milliseconds()
	}
	if in := a.session.Load(); in != nil {
		s.Incarnation = in.Incarnation
	}
	return s
}
