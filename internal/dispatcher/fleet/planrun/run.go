package planrun

import (
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/policy"

	"github.com/cespare/xxhash/v2"
)

// ExecutionState is where a job, or its undo, stands.
type ExecutionState uint8

// States of a Try.
const (
	Pending           ExecutionState = iota // to be sent, once it may
	InFlight                                // sent, or about to be: it may run
	Succeeded                               // ended well
	PermanentlyFailed                       // ended badly, and not to be sent again
)

// Execution is one job or undo, over all its attempts.
type Execution struct {
	_                struct{} `cbor:",toarray"` // written by position: there are many
	State            ExecutionState
	Attempt          uint32 // number of the last one, from 1; it never goes back
	Fence            uint64 // under which that was sent
	SentAt           time.Duration
	NotBefore        time.Duration // Idle: when it may be sent
	End              plan.End      // of the last attempt that ended
	MayHaveRun       bool          // some attempt may have run
	MayHaveRunBefore bool          // Out: Ran before this attempt
}

// Item is one item of a stage; a stage without a list has one.
type Item struct {
	_           struct{} `cbor:",toarray"` // written by position: there are many
	Value       []byte   // of the list, JSON
	Job         Execution
	Generation  uint64   // of its stage, when the last attempt was sent
	Inputs      []uint64 // generations of the stages upstream that it was given
	RetriesUsed []int    // by retry rule, in this run of the stage
	Result      []byte   // Ok: JSON
	Member      string   // that the last attempt which ended was at
	RetryPlace  plan.Place
	Undo        Execution
}

// Stage is the progress of a stage.
type Stage struct {
	_             struct{} `cbor:",toarray"` // written by position: there are many
	Generation    uint64   // of its output, which is there if Joined and else yet to be made; from 1
	LostThrough   uint64   // its generations up to this one were reported lost in this run
	RerunsUsed    int      // how often such a report had it run again
	Opened        bool
	Complete      bool
	SharedKey     string   // of a shared output
	SharedResults [][]byte // results that another run made
	Items         []Item
}

// Results are the results of a joined stage by item; nil for an item that failed.
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

// GiveUp is why a run gave up.
type GiveUp struct {
	Stage  int // -1: the run as a whole
	End    plan.End
	Reason string
}

// Run is the progress of a plan under way.
type Run struct {
	ID, Plan     string
	Tenant       string
	Digest       uint64 // of the plan's text
	Shape        uint64 // its key among the Book's shapes
	Input        []byte
	Seed         uint64
	Started      time.Duration
	StartBy      time.Duration `cbor:"Before"` // a Start of it after this counts no more
	Deadline     time.Duration
	Process      string // coordinator
	Incarnation  uint64
	Fence        uint64
	Orphan       bool // the coordinator's lease has ended and nobody has claimed the run
	AttemptsUsed int  `cbor:"Used"` // attempts
	Bytes        int  // of input, items and results
	Stages       []Stage
	GaveUp       *GiveUp `cbor:"Gave"`

	shape     *Shape
	heapIndex int // in the heap of what falls due
	dueAt     time.Duration
}

// View is a run with its shape, as its coordinator needs it.
type View struct {
	Shape     *Shape
	Run       *Run
	Producing uint64 // a bit for each shared stage whose output this run is to make
}

// clone copies all that a command may change; bytes are never changed in place.
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

// inputsReady tells whether all upstream of a stage is there.
func (r *Run) inputsReady(s *Shape, stage int) bool {
	ok := true
	s.eachUpstream(stage, func(_, u int) { ok = ok && r.Stages[u].Complete })
	return ok
}

// inputGenerations are the generations that an item sent now is given.
func (r *Run) inputGenerations(s *Shape, stage int) (list []uint64) {
	s.eachUpstream(stage, func(_, u int) { list = append(list, r.Stages[u].Generation) })
	return list
}

// needsNoOpen tells whether a stage needs no Open: it has one item and is its own.
func (s *StageShape) needsNoOpen() bool { return !s.Each && !s.Shared }

// needsUndo tells whether an item is still to be undone. What is shared stays: other
// plans may be using it.
func (s *StageShape) needsUndo(it *Item) bool {
	return s.Undo != nil && !s.Shared && it.Job.MayHaveRun &&
		(it.Undo.State == InFlight || it.Undo.State == Pending && int(it.Undo.Attempt) < s.Undo.MaxTries)
}

// maySendAgain tells whether what may have run may be sent again.
func maySendAgain(e policy.Effect, ran bool) bool {
	return !ran || e != policy.AtMostOnce || faultRunTwice || testRunTwice
}

// testRunTwice plants the fault of hooks_faults.go in a test.
var testRunTwice bool

// requiredItems is how many items of an opened stage must end well.
func (s *StageShape) requiredItems(st *Stage) int {
	if s.MinSucceeded > 0 {
		return s.MinSucceeded
	}
	return len(st.Items)
}

// hasAnyInFlight tells whether an attempt or undo is out.
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

// nextUndoStage is the last stage with something still to be undone, or -1.
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

// reservedUndoAttempts is how many attempts the undos of what may have run still need.
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

// delay is how long a retry waits: doubled for each try that this rule gave before,
// up to its cap, and off by up to its jitter. The chance is the seed's.
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
