// Package planrun runs plans: it decides which job of a plan is sent next, what the end of an
// attempt means for the other stages, and when a run gives up. Tracker is the replicated
// state machine: it holds the progress of all runs, changes only by commands from the Raft
// log, and is equal at every replica. A run's coordinator evaluates the expressions of the
// plan file and reports how attempts ended; the Tracker checks each of its commands against
// the plan's rules. The package does no I/O, reads no clock and starts no goroutine.
package planrun

import (
	"errors"
	"fmt"
	"math"
	"math/bits"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/shared/saturating"
)

// Shape is the part of a plan that a Tracker needs. It is sent in Start, so that a replica
// neither reads plan files nor evaluates expressions. It is stored by the field names in its
// tags.
type Shape struct {
	Stages      []StageShape
	MaxAttempts int           `cbor:"Most"`   // in all, including reruns and undos
	Timeout     time.Duration `cbor:"Within"` // of a run

	upstreamSets []uint64 // for each stage the bit set of all stages upstream; see resolve
}

// StageShape describes a stage. Stages are numbered from 0, and depend on lower ones only.
type StageShape struct {
	Name, Class  string
	Effect       policy.Effect
	After        []int
	Cost         time.Duration // hint of the run time; 0: none
	Each         bool          // a list in the plan gives the items
	MaxItems     int           `cbor:"MostEach"` // longest list
	MinSucceeded int           `cbor:"AtLeast"`  // items that must succeed; 0: all
	Shared       bool
	SharedFor    time.Duration
	Retries      []RetryShape
	Reruns       []RerunShape
	Undo         *UndoShape
}

// RetryShape is a plan.Retry with its jitter in thousandths: replicas compute with integers
// only, so that all get the same result.
type RetryShape struct {
	On               []plan.End
	MaxRetries       int           `cbor:"Most"`
	Wait, WaitAtMost time.Duration // at most 0: no cap
	Jitter           int
	Where            plan.Place
}

// RerunShape is a rule by which a stage upstream (Of) is run again, Most times at most.
type RerunShape struct{ Of, Most int }

// UndoShape describes a stage's compensation.
type UndoShape struct {
	Class    string
	Effect   policy.Effect
	MaxTries int `cbor:"Most"`
	Wait     time.Duration
}

// ShapeOf returns the shape of a checked plan.
func ShapeOf(p *plan.Plan) Shape {
	at := make(map[string]int, len(p.Stages))
	s := Shape{MaxAttempts: p.MaxAttempts, Timeout: p.Timeout, Stages: make([]StageShape, len(p.Stages))}
	for i, st := range p.Stages {
		at[st.Name] = i
		to := &s.Stages[i]
		*to = StageShape{
			Name: st.Name, Class: st.Class, Effect: st.Effect, Cost: st.Cost, Each: st.Each != nil, MaxItems: st.MaxItems,
			MinSucceeded: st.MinSucceeded, Shared: st.Shared != nil, SharedFor: st.SharedFor,
		}
		for _, a := range st.After {
			to.After = append(to.After, at[a])
		}
		for _, r := range st.Retries {
			to.Retries = append(to.Retries, RetryShape{
				On: r.On, MaxRetries: r.MaxRetries, Wait: r.Wait, WaitAtMost: r.MaxWait, Jitter: saturating.Int(math.Round(r.Jitter * 1000)), Where: r.Where,
			})
		}
		for _, r := range st.Reruns {
			to.Reruns = append(to.Reruns, RerunShape{Of: at[r.Of], Most: r.MaxReruns})
		}
		if u := st.Undo; u != nil {
			to.Undo = &UndoShape{Class: u.Class, Effect: u.Effect, MaxTries: u.MaxTries, Wait: u.Wait}
		}
	}
	return s
}

// Bounds of a shape. Sets of stages are bits of one uint64.
const (
	maxStages     = 64
	maxItems      = 4096 // over all stages of a plan
	maxNameLength = 256  // in bytes
)

// ErrInvalidShape is returned for a shape that breaks a bound or has invalid dependencies.
var ErrInvalidShape = errors.New("unusable shape of a plan")

// resolve validates a shape and computes what is upstream of each stage.
func (s *Shape) resolve() error {
	if n := len(s.Stages); n == 0 || n > maxStages || s.MaxAttempts < 1 || s.Timeout <= 0 {
		return fmt.Errorf("%w: %d stages, %d attempts, within %v", ErrInvalidShape, n, s.MaxAttempts, s.Timeout)
	}
	up, items := make([]uint64, len(s.Stages)), 0
	for i := range s.Stages {
		st := &s.Stages[i]
		for _, a := range st.After {
			if a < 0 || a >= i {
				return fmt.Errorf("%w: stage %d comes after %d", ErrInvalidShape, i, a)
			}
			up[i] |= up[a] | 1<<a
		}
		if items++; st.Each {
			items += max(st.MaxItems, 0)
		}
		bad := len(st.Name) > maxNameLength || len(st.Class) > maxNameLength || st.MinSucceeded < 0 || st.Cost < 0 ||
			st.Shared && (st.Effect == policy.AtMostOnce || st.SharedFor < 0) || st.Undo != nil && (st.Undo.MaxTries < 0 || st.Undo.Wait < 0)
		for _, r := range st.Reruns {
			bad = bad || r.Of < 0 || r.Of >= i || up[i]&(1<<r.Of) == 0
		}
		for _, r := range st.Retries {
			bad = bad || r.MaxRetries < 0 || r.Wait < 0 || r.WaitAtMost < 0 || r.Jitter < 0 || r.Jitter > 1000
		}
		if bad {
			return fmt.Errorf("%w: stage %d", ErrInvalidShape, i)
		}
	}
	if items > maxItems {
		return fmt.Errorf("%w: %d items", ErrInvalidShape, items)
	}
	s.upstreamSets = up
	return nil
}

// eachUpstream calls f for each stage upstream of one, in order; i counts the calls.
func (s *Shape) eachUpstream(of int, f func(i, stage int)) {
	for i, left := 0, s.upstreamSets[of]; left != 0; i, left = i+1, left&(left-1) {
		f(i, bits.TrailingZeros64(left))
	}
}

// dependsOn reports whether a stage is downstream of another.
func (s *Shape) dependsOn(stage, on int) bool { return s.upstreamSets[stage]&(1<<on) != 0 }

// Upstream lists the stages upstream of one, direct or not, in order: SendAttempt.Inputs
// are their generations.
func (s *Shape) Upstream(of int) (list []int) {
	s.eachUpstream(of, func(_, u int) { list = append(list, u) })
	return list
}
