// Package coordinator drives plan runs at a process of the fleet: it determines from a run's
// replicated state what is to be done next (planrun.Next), evaluates the expressions of the
// plan file, and submits each stage to the dispatcher as a job. The replicated state approves
// every attempt before it is sent. The runs of a coordinator that has failed are claimed by
// another one.
package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/partition"
	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/fleet/planrun"
	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/fleet/state"
)

// Job is one attempt at a stage, for the dispatcher.
type Job struct {
	ID, Class, Tenant, Path, Key string
	Body                         []byte
	Deadline                     time.Time // its result is ignored after this
	CostHint                     time.Duration
	ExcludedMember               string // empty: none
	ExcludeItsZone               bool   // excludes all members in the excluded one's zone
	Plan, Stage                  string
}

// Dispatcher runs jobs with the same admission, decisions and accounting as those of a
// client. It calls done exactly once, unless Submit returns an error.
type Dispatcher interface {
	Submit(j Job, done func(engine.Answer)) error
}

// Fleet is this process's membership in the fleet.
type Fleet interface {
	Session() *rpc.Session // nil: not joined
	// TakeRetry takes one attempt beyond a job's first from the fleet's retry budget of a
	// class. It reports whether the budget allows the attempt.
	TakeRetry(request, class string) bool
	// HoldsLease reports whether this process's lease is valid, by its own clock.
	HoldsLease() bool
	// RetryTime returns when TakeRetry should be called again.
	RetryTime(class string, now time.Time) time.Time
}

// Errors of Start and Lookup.
var (
	// ErrUnknownPlan is returned for a plan that is not in use at this process.
	ErrUnknownPlan = errors.New("no plan of this name is in use here")
	// ErrNoSession is returned while this process has not joined the fleet, does not run or is
	// draining.
	ErrNoSession = errors.New("this process is not in the fleet just now")
	// ErrRefused is returned for a run that can't be started.
	ErrRefused = errors.New("the plan can't be begun")
	// ErrUnknownRun is returned for a run that is neither in progress nor among the stored
	// final answers.
	ErrUnknownRun = errors.New("no such run, or it ended too long ago")
)

// Bounds and intervals of a coordinator.
const (
	maxRuns        = 4096                   // driven by one process
	maxClaims      = 64                     // runs claimed by one command
	claimInterval  = 250 * time.Millisecond // between two searches for runs without a coordinator
	pollInterval   = 100 * time.Millisecond // for a run that waits for another run's output
	retryInterval  = 50 * time.Millisecond  // after a command that no raft node answered
	commandTimeout = 3 * time.Second        // for one attempt at a command or query
)

// Coordinator drives the runs of one process. It is safe for concurrent use.
type Coordinator struct {
	fleet Fleet
	jobs  Dispatcher
	log   *slog.Logger
	now   func() time.Time // clock of the deadlines of StartAsync

	mu            sync.Mutex
	plansByName   map[string]*plan.Plan // in use
	plansByDigest map[uint64]*plan.Plan // those in use, and older ones that runs may still use
	runs          map[string]*driver
	attempts      *planrun.AttemptRegistry // what this process has done for each attempt
	lifetime      context.Context          // context of Run; nil: not running
	draining      chan struct{}            // closed: nothing more is started at this process
	running       sync.WaitGroup           // all goroutines of this coordinator
	waiting       answerWaiters
}

// New returns a coordinator without plans.
func New(f Fleet, d Dispatcher, log *slog.Logger) *Coordinator {
	return &Coordinator{fleet: f, jobs: d, log: log, now: time.Now, attempts: planrun.NewAttemptRegistry(planrun.DefaultLimits().Grace), draining: make(chan struct{}),
		plansByName: map[string]*plan.Plan{}, plansByDigest: map[uint64]*plan.Plan{}, runs: map[string]*driver{}}
}

// SetPlans replaces the plans in use. Runs in progress keep the plan that they were started
// with.
func (c *Coordinator) SetPlans(plans []*plan.Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plansByName = make(map[string]*plan.Plan, len(plans))
	for _, p := range plans {
		c.plansByName[p.Name], c.plansByDigest[p.Digest] = p, p
	}
}

// Run claims runs without a coordinator until the context ends. It returns when all of this
// coordinator's goroutines have ended; other processes then claim their runs.
func (c *Coordinator) Run(ctx context.Context) error {
	defer c.running.Wait()
	c.mu.Lock()
	c.lifetime = ctx
	c.mu.Unlock()
	tick := time.NewTicker(claimInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if err := c.claim(ctx); err != nil && ctx.Err() == nil {
				c.log.Debug("claiming plan runs failed", "error", err)
			}
		}
	}
}

// Drain begins a planned shutdown: nothing more is started here, attempts in flight are
// completed and their ends reported, and the runs continue at other processes once this one
// has left. It must be called at most once.
func (c *Coordinator) Drain() { close(c.draining) }

func (c *Coordinator) isDraining() bool {
	select {
	case <-c.draining:
		return true
	default:
		return false
	}
}

// claim claims runs that have no coordinator and whose plans this process has.
func (c *Coordinator) claim(ctx context.Context) error {
	s := c.fleet.Session()
	c.mu.Lock()
	claim := planrun.Claim{MaxRuns: min(maxClaims, maxRuns-len(c.runs))}
	for digest := range c.plansByDigest {
		claim.Plans = append(claim.Plans, digest)
	}
	c.mu.Unlock()
	if s == nil || c.isDraining() || len(claim.Plans) == 0 || claim.MaxRuns <= 0 {
		return nil
	}
	commandCtx, cancel := context.WithDeadline(ctx, time.Now().Add(commandTimeout))
	defer cancel()
	a, err := s.Read(commandCtx, rpc.Query{Kind: partition.PlansCountOrphans})
	if err != nil {
		return err
	}
	var orphans int
	if err := codec.Decode(a.Body, &orphans); err != nil || orphans == 0 {
		return err
	}
	var r partition.PlanReply
	if err := s.Execute(commandCtx, partition.PlansCommand, planrun.Command{Claim: &claim}, &r); err != nil {
		return err
	}
	for _, claimed := range r.Claimed {
		reply, err := c.queryRun(commandCtx, s, claimed.Run)
		if err != nil {
			// The fence is this process's: no other process claims the run until the lease expires.
			return fmt.Errorf("run %s: %w", claimed.Run, err)
		}
		if reply.Run != nil && reply.Run.Fence == claimed.Fence {
			c.drive(ctx, claimed.Fence, reply)
		}
	}
	if len(r.Claimed) > 0 {
		c.log.Info("claimed plan runs", "runs", len(r.Claimed))
	}
	return nil
}

// queryRun reads a run from the leader.
func (c *Coordinator) queryRun(ctx context.Context, s *rpc.Session, id string) (r partition.PlanReply, err error) {
	body, err := codec.Encode(id)
	if err != nil {
		return r, err
	}
	a, err := s.Read(ctx, rpc.Query{Kind: partition.PlansRun, Body: body})
	if err != nil {
		return r, err
	}
	err = codec.Decode(a.Body, &r)
	r.Index, r.At = a.Index, a.At
	return r, err
}

// StartRequest is a request for a run of a plan.
type StartRequest struct {
	Run, Plan, Tenant string
	Input             []byte
	Timeout           time.Duration // fleet time; 0: the plan's own
}

// Start starts a run, unless it is in progress or has ended. It returns the run's final
// answer, or nil while the run is in progress. After an error that wraps rpc.ErrUnavailable
// the run may have started: the same request may be repeated, here or at another process.
func (c *Coordinator) Start(ctx context.Context, a StartRequest) (*planrun.Answer, error) {
	answer, _, err := c.start(ctx, a)
	return answer, err
}

// start implements Start. If a command was sent, it also returns the fleet time up to which
// that command may still start the run.
func (c *Coordinator) start(ctx context.Context, a StartRequest) (answer *planrun.Answer, before time.Duration, err error) {
	c.mu.Lock()
	p := c.plansByName[a.Plan]
	full, lifetime := len(c.runs) >= maxRuns, c.lifetime
	c.mu.Unlock()
	s := c.fleet.Session()
	switch {
	case p == nil:
		return nil, 0, fmt.Errorf("%w: %q", ErrUnknownPlan, a.Plan)
	case s == nil || lifetime == nil || c.isDraining():
		return nil, 0, ErrNoSession
	case full:
		return nil, 0, fmt.Errorf("%w: this process drives %d runs", ErrRefused, maxRuns)
	}
	reply, err := c.queryRun(ctx, s, a.Run)
	if err != nil {
		return nil, 0, err
	}
	if reply.FinalAnswer != nil || reply.Run != nil {
		return reply.FinalAnswer, 0, nil
	}
	if a.Timeout <= 0 || a.Timeout > p.Timeout {
		a.Timeout = p.Timeout
	}
	var r partition.PlanReply
	start := planrun.Start{Run: a.Run, Plan: p.Name, Tenant: a.Tenant, Digest: p.Digest, Shape: planrun.ShapeOf(p), Input: a.Input,
		Seed: codec.Digest([]byte(a.Run)), Before: reply.At + a.Timeout}
	if err := s.Execute(ctx, partition.PlansCommand, planrun.Command{Start: &start}, &r); err != nil {
		return nil, start.Before, err
	}
	if err := r.Err(); err != nil {
		return nil, start.Before, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if r.Run != nil && r.Started.Fence != 0 {
		c.drive(lifetime, r.Started.Fence, r)
	}
	return r.FinalAnswer, start.Before, nil
}

// Lookup returns a run's final answer, or nil while the run is in progress.
func (c *Coordinator) Lookup(ctx context.Context, id string) (*planrun.Answer, error) {
	s := c.fleet.Session()
	if s == nil {
		return nil, ErrNoSession
	}
	r, err := c.queryRun(ctx, s, id)
	if err == nil && r.Run == nil && r.FinalAnswer == nil {
		err = ErrUnknownRun
	}
	return r.FinalAnswer, err
}

// drive starts driving a run under one of this process's fencing numbers.
func (c *Coordinator) drive(ctx context.Context, fence uint64, r partition.PlanReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.plansByDigest[r.Run.Digest]
	if old := c.runs[r.Run.ID]; p == nil || ctx.Err() != nil || old != nil && old.fence >= fence {
		return
	}
	shape := planrun.ShapeOf(p)
	d := &driver{coordinator: c, id: r.Run.ID, fence: fence, plan: p, shape: &shape, wake: make(chan struct{}, 1), lifetime: ctx}
	d.update(r)
	c.runs[d.id] = d
	c.attempts.Drive(d.id, fence)
	c.running.Go(func() {
		d.drive(ctx)
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.runs[d.id] == d {
			delete(c.runs, d.id)
			c.attempts.Drop(d.id)
		}
	})
}

// withAttempts calls a function with the attempt registry while it holds the lock.
func (c *Coordinator) withAttempts(fn func(*planrun.AttemptRegistry)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(c.attempts)
}

// isNotInForce reports whether an error means that this process no longer drives its runs.
func isNotInForce(err error) bool {
	return errors.Is(err, state.ErrFenced) || errors.Is(err, ErrNoSession)
}
