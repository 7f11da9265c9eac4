package planrun

import (
	"maps"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/policy"

	"github.com/cespare/xxhash/v2"
)

// ExecutionState is the state of a job or an undo.
type ExecutionState uint8

// States of an Execution.
const (
	Pending           ExecutionState = iota // to be sent when its rules allow
	InFlight                                // sent, or about to be sent: it may run
	Succeeded                               // its last attempt ended with plan.Done
	PermanentlyFailed                       // ended otherwise, and not to be sent again
)

// Execution is one job or undo, over all its attempts. It is stored by position: the order
// of the fields is part of the format.
type Execution struct {
	_                struct{} `cbor:",toarray"` // written by position: there are many
	State            ExecutionState
	Attempt          uint32 // number of the last attempt, from 1; it never decreases
	Fence            uint64 // fencing number with which that attempt was sent
	SentAt           time.Duration
	NotBefore        time.Duration // Pending: when it may be sent
	End              plan.End      // of the last attempt that ended
	MayHaveRun       bool          // some attempt may have run
	MayHaveRunBefore bool          // InFlight: MayHaveRun before this attempt
}

// Item is one item of a stage; a stage without a list has one. It is stored by position.
type Item struct {
	_           struct{} `cbor:",toarray"` // written by position: there are many
	Value       []byte   // entry of the list, as JSON
	Job         Execution
	Generation  uint64   // of its stage, when the last attempt was sent
	Inputs      []uint64 // generations of the upstream stages that it was given
	RetriesUsed []int    // by retry rule, in this generation of the stage
	Result      []byte   // Succeeded: JSON
	Member      string   // where the last attempt that has ended ran
	RetryPlace  plan.Place
	Undo        Execution
}

// Stage is the progress of a stage. It is stored by position.
type Stage struct {
	_             struct{} `cbor:",toarray"` // written by position: there are many
	Generation    uint64   // of its output, which exists only if Complete; from 1
	LostThrough   uint64   // generations up to this one were reported lost in this run
	RerunsUsed    int      // how often such a report made the stage run again
	Opened        bool
	Complete      bool
	SharedKey     string   // key of the shared output; empty: not shared, or not opened yet
	SharedResults [][]byte // results that another run produced
	Items         []Item
}

// Results returns the results of a complete stage by item; nil for an item that failed.
func (s *Stage) Results() [][]byte {
	if s.SharedResults != nil {
		return s.SharedResults
	}
	list := make([][]byte, len(s.Items))
	for i := range s.Items {
		if s.Items[i].Job.State == Succeeded {
			list[i] = s.Items[i].Result
		}
	}
	return list
}

// GiveUp is the reason why a run gave up.
type GiveUp struct {
	Stage  int // -1: the run as a whole
	End    plan.End
	Reason string
}

// Run is the progress of a plan run. It is stored by the field names in its tags.
type Run struct {
	ID, Plan     string
	Tenant       string
	Digest       uint64 // of the plan
	Shape        uint64 // key among the Tracker's shapes
	Input        []byte
	Seed         uint64
	Started      time.Duration
	StartBy      time.Duration `cbor:"Before"` // a Start of this id has no effect after this time
	Deadline     time.Duration
	Process      string // the coordinator's
	Incarnation  uint64
	Fence        uint64
	Orphan       bool // the coordinator's lease has expired and no process has claimed the run yet
	AttemptsUsed int  `cbor:"Used"` // including those of undos
	Bytes        int  // of input, items and results
	Stages       []Stage
	GaveUp       *GiveUp `cbor:"Gave"` // nil: it has not given up

	shape     *Shape
	heapIndex int           // in Tracker.deadlines
	dueAt     time.Duration // when Advance acts on it: the deadline, with the grace once it gave up
}

// View is a copy of a run with its shape, for its coordinator.
type View struct {
	Shape     *Shape
	Run       *Run
	Producing uint64 // bit set of the shared stages whose output this run has to produce
}

// clone returns a copy that commands don't change. It shares the byte slices, which are never
// changed in place.
func (r *Run) clone() *Run {
	c := *r
	c.Stages = slices.Clone(r.Stages)
	for i := range c.Stages {
		items := slices.Clone(c.Stages[i].Items)
		for k := range items {
			items[k].RetriesUsed, items[k].Inputs = slices.Clone(items[k].RetriesUsed), slices.Clone(items[k].Inputs)
		}
		c.Stages[i].Items = items
	}
	if r.GaveUp != nil {
		g := *r.GaveUp
		c.GaveUp = &g
	}
	return &c
}

// inputsReady reports whether the outputs of all stages upstream exist.
func (r *Run) inputsReady(s *Shape, stage int) bool {
	ok := true
	s.eachUpstream(stage, func(_, u int) { ok = ok && r.Stages[u].Complete })
	return ok
}

// inputGenerations returns the present generations of a stage's inputs, by Shape.Upstream.
func (r *Run) inputGenerations(s *Shape, stage int) (list []uint64) {
	s.eachUpstream(stage, func(_, u int) { list = append(list, r.Stages[u].Generation) })
	return list
}

// needsNoOpen reports whether a stage has neither a list nor a shared key, so that there is
// nothing to evaluate for it and it needs no Open.
func (s *StageShape) needsNoOpen() bool { return !s.Each && !s.Shared }

// needsUndo reports whether an item is still to be undone. Shared outputs stay, since other
// runs may be using them.
func (s *StageShape) needsUndo(it *Item) bool {
	return s.Undo != nil && !s.Shared && it.Job.MayHaveRun &&
		(it.Undo.State == InFlight || it.Undo.State == Pending && int(it.Undo.Attempt) < s.Undo.MaxTries)
}

// maySendAgain reports whether a job that may have run may be sent again.
func maySendAgain(e policy.Effect, ran bool) bool {
	return !ran || e != policy.AtMostOnce || faultRunTwice || testRunTwice
}

// testRunTwice injects the fault of fault_injection_on.go in a test.
var testRunTwice bool

// requiredItems returns how many items of an opened stage must succeed.
func (s *StageShape) requiredItems(st *Stage) int {
	if s.MinSucceeded > 0 {
		return s.MinSucceeded
	}
	return len(st.Items)
}

// hasAnyInFlight reports whether a job or an undo is in flight.
func (r *Run) hasAnyInFlight() bool {
	for i := range r.Stages {
		for k := range r.Stages[i].Items {
			if it := &r.Stages[i].Items[k]; it.Job.State == InFlight || it.Undo.State == InFlight {
				return true
			}
		}
	}
	return false
}

// nextUndoStage returns the last stage with something left to undo, or -1.
func (r *Run) nextUndoStage(s *Shape) int {
	for i := len(r.Stages) - 1; i >= 0; i-- {
		for k := range r.Stages[i].Items {
			if s.Stages[i].needsUndo(&r.Stages[i].Items[k]) {
				return i
			}
		}
	}
	return -1
}

// reservedUndoAttempts returns how many attempts must be kept for the undos of all items that
// may have run.
func (r *Run) reservedUndoAttempts(s *Shape) (n int) {
	for i := range r.Stages {
		u := s.Stages[i].Undo
		if u == nil || s.Stages[i].Shared {
			continue
		}
		for k := range r.Stages[i].Items {
			if r.Stages[i].Items[k].Job.MayHaveRun {
				n += u.MaxTries
			}
		}
	}
	return n
}

// delay returns how long to wait before a retry: Wait, doubled for each earlier retry by this
// rule, up to WaitAtMost. It varies by up to the jitter, according to a hash of the seed and
// the attempt, so that all replicas compute the same delay.
func (q *RetryShape) delay(seed uint64, stage, item int, attempt uint32, before int) time.Duration {
	w := q.Wait
	for range before {
		if w > time.Hour || q.WaitAtMost > 0 && w >= q.WaitAtMost {
			break
		}
		w *= 2
	}
	if q.WaitAtMost > 0 {
		w = min(w, q.WaitAtMost)
	}
	if q.Jitter > 0 {
		var b [32]byte
		for i, v := range [4]uint64{seed, uint64(stage), uint64(item), uint64(attempt)} {
			for k := range 8 {
				b[i*8+k] = byte(v >> (8 * k))
			}
		}
		off := int64(xxhash.Sum64(b[:])%uint64(2*q.Jitter+1)) - int64(q.Jitter)
		w += w / 1000 * time.Duration(off)
	}
	return w
}

// hasJobsInFlight reports whether a job is in flight.
func (r *Run) hasJobsInFlight() bool {
	for i := range r.Stages {
		for k := range r.Stages[i].Items {
			if r.Stages[i].Items[k].Job.State == InFlight {
				return true
			}
		}
	}
	return false
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
