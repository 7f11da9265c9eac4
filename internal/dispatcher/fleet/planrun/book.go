package planrun

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/shared/indexedheap"
)

// Limits bound a Book. They are part of its state: replicas that differ in them
// would differ in what they refuse.
type Limits struct {
	Runs       int           // under way
	Known      int           // under way or ended and still known by their id
	Answers    int           // ended ones that keep their results
	Shared     int           // shared outputs
	RunBytes   int           // of one run: input, items, results
	Result     int           // bytes of one result
	Answer     int           // bytes of the results of an answer
	Longest    time.Duration // a deadline is at most so far off
	Grace      time.Duration // a run has its answer this long after its deadline, at the latest
	KeepFor    time.Duration // an answer is known for so long
	KeyBytes   int           // of a shared key
	ReasonSize int           // bytes of a reason; longer ones are cut
}

// DefaultLimits keep a Book within what a keeper can snapshot.
func DefaultLimits() Limits {
	return Limits{
		Runs: 20_000, Known: 500_000, Answers: 20_000, Shared: 10_000, RunBytes: 1 << 20, Result: 64 << 10, Answer: 64 << 10,
		Longest: 24 * time.Hour, Grace: 5 * time.Second, KeepFor: 10 * time.Minute, KeyBytes: 512, ReasonSize: 256,
	}
}

// Errors of commands. None of them has changed more than it says.
var (
	ErrFull      = errors.New("no room for another plan")
	ErrBefore    = errors.New("the plan's deadline has passed or is too far off")
	ErrUnknown   = errors.New("unknown run")
	ErrEnded     = errors.New("the run has its final answer")
	ErrFence     = errors.New("another coordinator has the run")
	ErrGivenUp   = errors.New("the run has given up")
	ErrNoSuch    = errors.New("no such stage, item or rule")
	ErrOut       = errors.New("an attempt of it is out")
	ErrSettled   = errors.New("it has ended")
	ErrAttempt   = errors.New("not the next attempt")
	ErrTwice     = errors.New("it may have run, and must never run twice")
	ErrStale     = errors.New("what it would be given is not there, or no longer the current generation")
	ErrEarly     = errors.New("its time has not come")
	ErrElsewhere = errors.New("another run makes this output")
	ErrTooLarge  = errors.New("too large")
)

// Start begins a run. One that is known goes on, or is answered.
type Start struct {
	Run, Plan   string
	Tenant      string
	Digest      uint64
	Shape       Shape
	Input       []byte
	Seed        uint64        // of its jitter
	Before      time.Duration // its deadline, if that comes before Shape.Within; a Start later than this does nothing
	Process     string
	Incarnation uint64
}

// Started is the reply to Start.
type Started struct {
	Known  bool    // it was there before
	Fence  uint64  // under which the caller coordinates it; 0: another does, or it has ended
	Answer *Answer // it has ended
}

// Claim takes over runs whose coordinator is gone.
type Claim struct {
	Process     string
	Incarnation uint64
	Most        int
	Plans       []uint64 // digests of the plans that it knows; none: any
}

// Claimed is a run that was taken over.
type Claimed struct {
	Run   string
	Fence uint64
}

// Open fixes the items of a stage, once, and the key of a shared one.
type Open struct {
	Run   string
	Fence uint64
	Stage int
	Key   string
	Items [][]byte // values of the list as JSON; a stage without a list has one, nil
}

// Sending says that an attempt is about to be sent: from here on it may run.
type Sending struct {
	Run        string
	Fence      uint64
	Stage      int
	Item       int
	Undo       bool
	Generation uint64   // of the stage
	Inputs     []uint64 // generations of what it is given, by Shape.Upstream
	Attempt    uint32
	Rest       time.Duration // the shortest time that the rest of the plan needs, this included
}

// Sent is the reply to an accepted Sending. Again says that it had been accepted
// before: whoever has this reply sends the attempt unless it has sent it.
type Sent struct{ Again bool }

// Ended says how an attempt ended.
type Ended struct {
	Run     string
	Fence   uint64 // under which it was sent
	Stage   int
	Item    int
	Undo    bool
	Attempt uint32
	End     plan.End
	Result  []byte
	Member  string
	Lost    *LostInput // End is plan.Lost
}

// LostInput is what an attempt says was lost.
type LostInput struct {
	Stage      int
	Generation uint64
}

// Counted is the reply to Ended.
type Counted struct {
	Once   bool    // this Ended was the one that counted
	Fresh  bool    // the loss it reports was news: the output is made again
	Answer *Answer // the run has ended
}

// Abandon gives a run up: its coordinator can't evaluate what comes next, or can't
// pay for it.
type Abandon struct {
	Run    string
	Fence  uint64
	Stage  int // -1: the run as a whole
	End    plan.End
	Reason string
}

// Finish asks for the final answer of a run.
type Finish struct{ Run string }

// Book is the progress of all plans. Times are fleet time.
type Book struct {
	limits  Limits
	now     time.Duration
	fence   uint64 // last given
	newest  uint64 // generation that any shared output has had
	shapes  map[uint64]*interned
	runs    map[string]*Run
	ended   map[string]*Answer
	order   []*Answer // by time of their end
	whole   int       // of order, where those begin that have their results
	shared  map[string]*Output
	orphans []string // sorted
	due     indexedheap.Heap[*Run]
}

// NewBook returns an empty one.
func NewBook(l Limits) *Book {
	b := &Book{limits: l}
	b.reset()
	return b
}

func (b *Book) reset() {
	b.shapes, b.runs, b.ended, b.shared = map[uint64]*interned{}, map[string]*Run{}, map[string]*Answer{}, map[string]*Output{}
	b.order, b.whole, b.orphans = nil, 0, nil
	b.due = indexedheap.New(func(x, y *Run) bool { return cmp.Or(cmp.Compare(x.due, y.due), cmp.Compare(x.ID, y.ID)) < 0 }, func(r *Run, at int) { r.place = at })
}

// tick takes in the time of a command; it never runs backward.
func (b *Book) tick(at time.Duration) time.Duration {
	b.now = max(b.now, at)
	return b.now
}

// Len is how many runs are under way, and how many are known by their answers.
func (b *Book) Len() (under, ended int) { return len(b.runs), len(b.ended) }

// View is a copy of a run under way, or an ErrUnknown or ErrEnded.
func (b *Book) View(id string) (View, error) {
	r, err := b.find(id)
	if err != nil {
		return View{}, err
	}
	v := View{Shape: r.shape, Run: r.clone()}
	for i := range r.Stages {
		if o := b.shared[r.Stages[i].Key]; o != nil && r.Stages[i].Key != "" && o.owned(r, i) {
			v.Makes |= 1 << i
		}
	}
	return v, nil
}

// Answer is the final answer of a run, or nil.
func (b *Book) Answer(id string) *Answer {
	if a := b.ended[id]; a != nil {
		c := *a
		return &c
	}
	return nil
}

func (b *Book) find(id string) (*Run, error) {
	if r := b.runs[id]; r != nil {
		return r, nil
	}
	if b.ended[id] != nil {
		return nil, ErrEnded
	}
	return nil, ErrUnknown
}

// mine finds a run for its present coordinator.
func (b *Book) mine(id string, fence uint64) (*Run, error) {
	r, err := b.find(id)
	if err == nil && (r.Orphan || r.Fence != fence) {
		return nil, ErrFence
	}
	return r, err
}

// Start begins a run. An id is one run: started again, by whomever, it is the run
// under way or its answer, for as long as that is known (Limits.KeepFor). A Start
// that is delivered late can't begin it anew after that: then its Before has passed,
// for which an answer is kept in any case.
func (b *Book) Start(at time.Duration, c Start) (Started, error) {
	at = b.tick(at)
	if a := b.Answer(c.Run); a != nil {
		return Started{Known: true, Answer: a}, nil
	}
	if r := b.runs[c.Run]; r != nil {
		reply := Started{Known: true}
		if !r.Orphan && r.Process == c.Process && r.Incarnation == c.Incarnation {
			reply.Fence = r.Fence
		}
		return reply, nil
	}
	switch {
	case c.Before <= at || c.Before-at > b.limits.Longest:
		return Started{}, fmt.Errorf("starting run %s at %v: %w", c.Run, at, ErrBefore)
	case len(b.runs) >= b.limits.Runs || len(b.runs)+len(b.ended) >= b.limits.Known:
		return Started{}, ErrFull
	case len(c.Input) > b.limits.RunBytes || c.Run == "" || len(c.Run) > mostName || len(c.Plan) > mostName || len(c.Tenant) > mostName || len(c.Process) > mostName:
		return Started{}, fmt.Errorf("starting a run of plan %.32s: %w", c.Plan, ErrTooLarge)
	}
	key, shape, err := b.intern(c.Shape)
	if err != nil {
		return Started{}, err
	}
	b.fence++
	r := &Run{
		ID: c.Run, Plan: c.Plan, Tenant: c.Tenant, Digest: c.Digest, Shape: key, Input: c.Input, Seed: c.Seed, Started: at, Before: c.Before,
		Deadline: min(c.Before, at+shape.Within), Process: c.Process, Incarnation: c.Incarnation, Fence: b.fence,
		Bytes: len(c.Input), Stages: make([]Stage, len(shape.Stages)), shape: shape,
	}
	for i := range r.Stages {
		r.Stages[i].Gen = 1
		if shape.Stages[i].simple() {
			r.Stages[i].Opened, r.Stages[i].Items = true, make([]Item, 1)
		}
	}
	r.due = r.Deadline
	b.runs[r.ID] = r
	b.due.Push(r)
	return Started{Fence: r.Fence}, nil
}

// Lost says that the lease of a process's incarnation has ended. Its runs wait to be
// claimed; what they were making for others is handed on.
func (b *Book) Lost(at time.Duration, process string, incarnation uint64) {
	b.tick(at)
	for _, id := range sorted(b.runs) {
		if r := b.runs[id]; !r.Orphan && r.Process == process && r.Incarnation <= incarnation {
			b.orphan(r)
		}
	}
}

func (b *Book) orphan(r *Run) {
	r.Orphan = true
	if i, found := slices.BinarySearch(b.orphans, r.ID); !found {
		b.orphans = slices.Insert(b.orphans, i, r.ID)
	}
	b.handOn(r)
}

func (b *Book) adopted(r *Run) {
	r.Orphan = false
	if i, found := slices.BinarySearch(b.orphans, r.ID); found {
		b.orphans = slices.Delete(b.orphans, i, i+1)
	}
}

// Claim gives orphans to a coordinator, those first whose deadline is next, each
// under a new fencing number. What was out is decided by its effect: what is safe or
// keyed may be sent again, what must never run twice has ended with plan.MayRun.
func (b *Book) Claim(at time.Duration, c Claim) []Claimed {
	at = b.tick(at)
	var list []*Run
	for _, id := range b.orphans {
		if r := b.runs[id]; len(c.Plans) == 0 || slices.Contains(c.Plans, r.Digest) {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(x, y *Run) int { return cmp.Compare(x.Deadline, y.Deadline) })
	var claimed []Claimed
	for _, r := range list[:min(max(c.Most, 0), len(list))] {
		if b.runs[r.ID] != r { // an output that another of them made has ended it
			continue
		}
		b.adopted(r)
		b.fence++
		r.Fence, r.Process, r.Incarnation = b.fence, c.Process, c.Incarnation
		claimed = append(claimed, Claimed{r.ID, r.Fence})
		for i := range r.Stages {
			for k := range r.Stages[i].Items {
				b.overtaken(at, r, i, k)
			}
		}
		b.settle(at, r)
	}
	return claimed
}

// overtaken ends what was out when the coordinator died.
func (b *Book) overtaken(at time.Duration, r *Run, stage, item int) {
	sh, it := &r.shape.Stages[stage], &r.Stages[stage].Items[item]
	if u := &it.Undo; u.State == Out {
		u.State, u.End, u.NotBefore = Idle, plan.MayRun, at
		if !again(sh.Undo.Effect, true) || int(u.Attempt) >= sh.Undo.Most {
			u.State = Dead
		}
	}
	if j := &it.Job; j.State == Out {
		j.State, j.End, j.NotBefore = Idle, plan.MayRun, at
		if !again(sh.Effect, true) {
			b.dead(at, r, stage, item, "its coordinator died while it was under way")
		}
	}
}

// Open fixes the items of a stage. It counts once: further ones are alike, or ignored.
func (b *Book) Open(at time.Duration, c Open) error {
	at = b.tick(at)
	r, err := b.mine(c.Run, c.Fence)
	switch {
	case err != nil:
		return err
	case r.Gave != nil:
		return ErrGivenUp
	case c.Stage < 0 || c.Stage >= len(r.Stages):
		return ErrNoSuch
	}
	sh, st := &r.shape.Stages[c.Stage], &r.Stages[c.Stage]
	size := len(c.Key)
	for _, v := range c.Items {
		size += len(v)
	}
	switch {
	case st.Opened:
		return nil
	case !r.ready(r.shape, c.Stage):
		return ErrStale
	case !sh.Each && len(c.Items) != 1 || sh.Shared != (c.Key != ""):
		return ErrNoSuch
	case sh.Each && len(c.Items) > sh.MostEach || r.Bytes+size > b.limits.RunBytes || len(c.Key) > b.limits.KeyBytes:
		return ErrTooLarge
	case sh.Shared && b.shared[c.Key] == nil && len(b.shared) >= b.limits.Shared:
		return ErrFull
	}
	r.Bytes += size
	st.Opened, st.Items = true, make([]Item, len(c.Items))
	for i, v := range c.Items {
		st.Items[i].Value = v
	}
	if sh.Shared {
		st.Key = c.Key
		b.attach(at, r, c.Stage)
	}
	b.join(at, r, c.Stage)
	b.settle(at, r)
	return nil
}

// Sending lets an attempt be sent, or says why it must not be. What can no longer end
// in time or within the run's attempts makes the run give up.
func (b *Book) Sending(at time.Duration, c Sending) (Sent, error) {
	at = b.tick(at)
	r, err := b.mine(c.Run, c.Fence)
	if err != nil {
		return Sent{}, err
	}
	if c.Stage < 0 || c.Stage >= len(r.Stages) || c.Item < 0 || c.Item >= len(r.Stages[c.Stage].Items) {
		return Sent{}, ErrNoSuch
	}
	sh, st := &r.shape.Stages[c.Stage], &r.Stages[c.Stage]
	it := &st.Items[c.Item]
	t, effect := &it.Job, sh.Effect
	if c.Undo {
		if sh.Undo == nil {
			return Sent{}, ErrNoSuch
		}
		t, effect = &it.Undo, sh.Undo.Effect
	}
	switch {
	case t.State == Out && t.Fence == c.Fence && t.Attempt == c.Attempt:
		return Sent{Again: true}, nil
	case t.State == Out:
		return Sent{}, ErrOut
	case !again(effect, t.Ran):
		return Sent{}, ErrTwice
	case t.State != Idle:
		return Sent{}, ErrSettled
	case c.Attempt != t.Attempt+1:
		return Sent{}, ErrAttempt
	case at < t.NotBefore:
		return Sent{}, ErrEarly
	}
	if c.Undo {
		if r.Gave == nil || r.jobsOut() || r.undoing(r.shape) != c.Stage || !sh.undoes(it) {
			return Sent{}, ErrStale
		}
	} else if err := b.maySend(at, r, c); err != nil {
		b.settle(at, r)
		return Sent{}, err
	}
	r.Used++
	*t = Try{State: Out, Attempt: c.Attempt, Fence: c.Fence, Sent: at, End: t.End, Ran: true, Before: t.Ran}
	if !c.Undo {
		it.Gen, it.Inputs = st.Gen, slices.Clone(c.Inputs)
	}
	return Sent{}, nil
}

// maySend holds an attempt of a stage against the run's inputs and bounds.
func (b *Book) maySend(at time.Duration, r *Run, c Sending) error {
	sh, st := &r.shape.Stages[c.Stage], &r.Stages[c.Stage]
	switch o := b.shared[st.Key]; {
	case r.Gave != nil:
		return ErrGivenUp
	case !st.Opened || !r.ready(r.shape, c.Stage) || c.Generation != st.Gen || !slices.Equal(c.Inputs, r.inputs(r.shape, c.Stage)):
		return ErrStale
	case sh.Shared && (o == nil || !o.owned(r, c.Stage)):
		return ErrElsewhere
	case st.Joined:
		return ErrSettled
	}
	own := 1
	if sh.Undo != nil && !sh.Shared && !st.Items[c.Item].Job.Ran {
		own += sh.Undo.Most
	}
	switch {
	case r.Used+own+r.reserve(r.shape) > r.shape.Most:
		b.dead(at, r, c.Stage, c.Item, "no attempts left")
		return ErrSettled
	case at+max(c.Rest, 0) >= r.Deadline:
		b.late(at, r, c.Stage, c.Item)
		return ErrSettled
	}
	return nil
}

// Ended counts the end of an attempt: that of the one that is out, whoever has the
// run now, and a plan.Done of the last one even after it was given up for lost, as
// long as no other was sent. All else counts no more.
func (b *Book) Ended(at time.Duration, c Ended) (Counted, error) {
	at = b.tick(at)
	r, err := b.find(c.Run)
	if err != nil {
		return Counted{Answer: b.Answer(c.Run)}, err
	}
	if c.Stage < 0 || c.Stage >= len(r.Stages) || c.Item < 0 || c.Item >= len(r.Stages[c.Stage].Items) || c.Undo && r.shape.Stages[c.Stage].Undo == nil {
		return Counted{}, ErrNoSuch
	}
	if len(c.Result) > b.limits.Result || r.Bytes+len(c.Result) > b.limits.RunBytes || len(c.Member) > mostName {
		return Counted{}, ErrTooLarge
	}
	it := &r.Stages[c.Stage].Items[c.Item]
	t := &it.Job
	if c.Undo {
		t = &it.Undo
	}
	if t.Attempt != c.Attempt || t.Fence != c.Fence {
		return Counted{}, nil
	}
	if l := c.Lost; !c.Undo && c.End == plan.Lost {
		at := -1
		if l != nil {
			r.shape.upstream(c.Stage, func(i, u int) {
				if u == l.Stage && it.Inputs[i] == l.Generation {
					at = i
				}
			})
		}
		if at < 0 {
			return Counted{}, fmt.Errorf("a loss of what it was not given: %w", ErrNoSuch)
		}
	}
	var reply Counted
	switch {
	case t.State == Out && c.Undo:
		reply.Once = true
		b.undone(at, r, c)
	case t.State == Out:
		reply.Once = true
		reply.Fresh = b.end(at, r, c)
	case c.End == plan.Done && !c.Undo && t.Ran && t.End != plan.Done && t.State != Ok:
		reply.Once = b.lateDone(at, r, c)
	}
	b.settle(at, r)
	reply.Answer = b.Answer(c.Run)
	return reply, nil
}

// Abandon gives a run up on its coordinator's word.
func (b *Book) Abandon(at time.Duration, c Abandon) error {
	at = b.tick(at)
	r, err := b.mine(c.Run, c.Fence)
	switch {
	case err != nil:
		return err
	case c.Stage < -1 || c.Stage >= len(r.Stages) || len(c.End) > mostName:
		return ErrNoSuch
	}
	b.giveUp(r, c.Stage, c.End, c.Reason)
	b.settle(at, r)
	return nil
}

// Finish is the final answer of a run, the same each time. A run ends by itself, with
// the command after which nothing is left to do; until then this is ErrOut.
func (b *Book) Finish(at time.Duration, c Finish) (*Answer, error) {
	b.tick(at)
	if _, err := b.find(c.Run); err == nil {
		return nil, ErrOut
	} else if errors.Is(err, ErrUnknown) {
		return nil, err
	}
	return b.Answer(c.Run), nil
}

// Advance gives up runs whose deadline has come, ends those whose grace is over, and
// drops answers and shared outputs that are kept no longer.
func (b *Book) Advance(at time.Duration) {
	at = b.tick(at)
	for b.due.Len() > 0 && b.due.All()[0].due <= at {
		r := b.due.All()[0]
		if at >= r.Deadline+b.limits.Grace {
			b.giveUp(r, -1, plan.Late, "its deadline passed")
			b.finish(at, r)
			continue
		}
		b.giveUp(r, -1, plan.Late, "its deadline passed")
		b.settle(at, r)
	}
	b.prune(at)
}
