package planrun

import (
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/policy"

	"github.com/cespare/xxhash/v2"
)

// TryState is where a job, or its undo, stands.
type TryState uint8

// States of a Try.
const (
	Idle TryState = iota // to be sent, once it may
	Out                  // sent, or about to be: it may run
	Ok                   // ended well
	Dead                 // ended badly, and not to be sent again
)

// Try is one job or undo, over all its attempts.
type Try struct {
	_         struct{} `cbor:",toarray"` // written by position: there are many
	State     TryState
	Attempt   uint32 // number of the last one, from 1; it never goes back
	Fence     uint64 // under which that was sent
	Sent      time.Duration
	NotBefore time.Duration // Idle: when it may be sent
	End       plan.End      // of the last attempt that ended
	Ran       bool          // some attempt may have run
	Before    bool          // Out: Ran before this attempt
}

// Item is one item of a stage; a stage without a list has one.
type Item struct {
	_      struct{} `cbor:",toarray"` // written by position: there are many
	Value  []byte   // of the list, JSON
	Job    Try
	Gen    uint64   // of its stage, when the last attempt was sent
	Inputs []uint64 // generations of the stages upstream that it was given
	Tries  []int    // by retry rule, in this run of the stage
	Result []byte   // Ok: JSON
	Member string   // that the last attempt which ended was at
	Where  plan.Place
	Undo   Try
}

// Stage is the progress of a stage.
type Stage struct {
	_      struct{} `cbor:",toarray"` // written by position: there are many
	Gen    uint64   // of its output, which is there if Joined and else yet to be made; from 1
	Lost   uint64   // its generations up to this one were reported lost in this run
	Again  int      // how often such a report had it run again
	Opened bool
	Joined bool
	Key    string   // of a shared output
	Copied [][]byte // results that another run made
	Items  []Item
}

// Results are the results of a joined stage by item; nil for an item that failed.
func (s *Stage) Results() [][]byte {
	if s.Copied != nil {
		return s.Copied
	}
	list := make([][]byte, len(s.Items))
	for i := range s.Items {
		if s.Items[i].Job.State == Ok {
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
	ID, Plan    string
	Tenant      string
	Digest      uint64 // of the plan's text
	Shape       uint64 // its key among the Book's shapes
	Input       []byte
	Seed        uint64
	Started     time.Duration
	Before      time.Duration // a Start of it after this counts no more
	Deadline    time.Duration
	Process     string // coordinator
	Incarnation uint64
	Fence       uint64
	Orphan      bool // the coordinator's lease has ended and nobody has claimed the run
	Used        int  // attempts
	Bytes       int  // of input, items and results
	Stages      []Stage
	Gave        *GiveUp

	shape *Shape
	place int // in the heap of what falls due
	due   time.Duration
}

// View is a run with its shape, as its coordinator needs it.
type View struct {
	Shape *Shape
	Run   *Run
	Makes uint64 // a bit for each shared stage whose output this run is to make
}

// clone copies all that a command may change; bytes are never changed in place.
func (r *Run) clone() *Run {
	c := *r
	c.Stages = slices.Clone(r.Stages)
	for i := range c.Stages {
		items := slices.Clone(c.Stages[i].Items)
		for k := range items {
			items[k].Tries, items[k].Inputs = slices.Clone(items[k].Tries), slices.Clone(items[k].Inputs)
		}
		c.Stages[i].Items = items
	}
	if r.Gave != nil {
		g := *r.Gave
		c.Gave = &g
	}
	return &c
}

// ready tells whether all upstream of a stage is there.
func (r *Run) ready(s *Shape, stage int) bool {
	ok := true
	s.upstream(stage, func(_, u int) { ok = ok && r.Stages[u].Joined })
	return ok
}

// inputs are the generations that an item sent now is given.
func (r *Run) inputs(s *Shape, stage int) (list []uint64) {
	s.upstream(stage, func(_, u int) { list = append(list, r.Stages[u].Gen) })
	return list
}

// simple tells whether a stage needs no Open: it has one item and is its own.
func (s *StageShape) simple() bool { return !s.Each && !s.Shared }

// undoes tells whether an item is still to be undone. What is shared stays: other
// plans may be using it.
func (s *StageShape) undoes(it *Item) bool {
	return s.Undo != nil && !s.Shared && it.Job.Ran &&
		(it.Undo.State == Out || it.Undo.State == Idle && int(it.Undo.Attempt) < s.Undo.Most)
}

// again tells whether what may have run may be sent again.
func again(e policy.Effect, ran bool) bool {
	return !ran || e != policy.AtMostOnce || faultTwice || plantTwice
}

// plantTwice plants the fault of hooks_faults.go in a test.
var plantTwice bool

// need is how many items of an opened stage must end well.
func (s *StageShape) need(st *Stage) int {
	if s.AtLeast > 0 {
		return s.AtLeast
	}
	return len(st.Items)
}

// outs tells whether an attempt or undo is out.
func (r *Run) outs() bool {
	for i := range r.Stages {
		for k := range r.Stages[i].Items {
			if it := &r.Stages[i].Items[k]; it.Job.State == Out || it.Undo.State == Out {
				return true
			}
		}
	}
	return false
}

// undoing is the last stage with something still to be undone, or -1.
func (r *Run) undoing(s *Shape) int {
	for i := len(r.Stages) - 1; i >= 0; i-- {
		for k := range r.Stages[i].Items {
			if s.Stages[i].undoes(&r.Stages[i].Items[k]) {
				return i
			}
		}
	}
	return -1
}

// reserve is how many attempts the undos of what may have run still need.
func (r *Run) reserve(s *Shape) (n int) {
	for i := range r.Stages {
		u := s.Stages[i].Undo
		if u == nil || s.Stages[i].Shared {
			continue
		}
		for k := range r.Stages[i].Items {
			if r.Stages[i].Items[k].Job.Ran {
				n += u.Most
			}
		}
	}
	return n
}

// wait is how long a retry waits: doubled for each try that this rule gave before,
// up to its cap, and off by up to its jitter. The chance is the seed's.
func (q *RetryShape) wait(seed uint64, stage, item int, attempt uint32, before int) time.Duration {
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
