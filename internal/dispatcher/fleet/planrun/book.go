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
	Runs               int           // under way
	KnownRuns          int           `cbor:"Known"`   // under way or ended and still known by their id
	AnswersWithResults int           `cbor:"Answers"` // ended ones that keep their results
	SharedOutputs      int           `cbor:"Shared"`  // shared outputs
	RunBytes           int           // of one run: input, items, results
	ResultBytes        int           `cbor:"Result"`  // bytes of one result
	AnswerBytes        int           `cbor:"Answer"`  // bytes of the results of an answer
	MaxTimeout         time.Duration `cbor:"Longest"` // a deadline is at most so far off
	Grace              time.Duration // a run has its answer this long after its deadline, at the latest
	AnswerRetention    time.Duration `cbor:"KeepFor"` // an answer is known for so long
	KeyBytes           int           // of a shared key
	ReasonSize         int           // bytes of a reason; longer ones are cut
}

// DefaultLimits keep a Book within what a keeper can snapshot.
func DefaultLimits() Limits {
	return Limits{
		Runs: 20_000, KnownRuns: 500_000, AnswersWithResults: 20_000, SharedOutputs: 10_000, RunBytes: 1 << 20, ResultBytes: 64 << 10, AnswerBytes: 64 << 10,
		MaxTimeout: 24 * time.Hour, Grace: 5 * time.Second, AnswerRetention: 10 * time.Minute, KeyBytes: 512, ReasonSize: 256,
	}
}

// Errors of commands. None of them has changed more than it says.
var (
	ErrFull              = errors.New("no room for another plan")
	ErrDeadline          = errors.New("the plan's deadline has passed or is too far off")
	ErrUnknownRun        = errors.New("unknown run")
	ErrEnded             = errors.New("the run has its final answer")
	ErrFenced            = errors.New("another coordinator has the run")
	ErrGivenUp           = errors.New("the run has given up")
	ErrNotFound          = errors.New("no such stage, item or rule")
	ErrInFlight          = errors.New("an attempt of it is out")
	ErrSettled           = errors.New("it has ended")
	ErrWrongAttempt      = errors.New("not the next attempt")
	ErrAtMostOnce        = errors.New("it may have run, and must never run twice")
	ErrStale             = errors.New("what it would be given is not there, or no longer the current generation")
	ErrTooEarly          = errors.New("its time has not come")
	ErrProducedElsewhere = errors.New("another run makes this output")
	ErrTooLarge          = errors.New("too large")
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

// StartReply is the reply to Start.
type StartReply struct {
	Known  bool    // it was there before
	Fence  uint64  // under which the caller coordinates it; 0: another does, or it has ended
	Answer *Answer // it has ended
}

// Claim takes over runs whose coordinator is gone.
type Claim struct {
	Process     string
	Incarnation uint64
	MaxRuns     int      `cbor:"Most"`
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

// SendAttempt says that an attempt is about to be sent: from here on it may run.
type SendAttempt struct {
	Run           string
	Fence         uint64
	Stage         int
	Item          int
	Undo          bool
	Generation    uint64   // of the stage
	Inputs        []uint64 // generations of what it is given, by Shape.Upstream
	Attempt       uint32
	RemainingTime time.Duration `cbor:"Rest"` // the shortest time that the rest of the plan needs, this included
}

// SendAttemptReply is the reply to an accepted Sending. Again says that it had been accepted
// before: whoever has this reply sends the attempt unless it has sent it.
type SendAttemptReply struct{ Again bool }

// ReportEnd says how an attempt ended.
type ReportEnd struct {
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

// ReportEndReply is the reply to Ended.
type ReportEndReply struct {
	Accepted bool    `cbor:"Once"`  // this Ended was the one that counted
	NewLoss  bool    `cbor:"Fresh"` // the loss it reports was news: the output is made again
	Answer   *Answer // the run has ended
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

// Tracker is the progress of all plans. Times are fleet time.
type Tracker struct {
	limits               Limits
	now                  time.Duration
	lastFence            uint64 // last given
	lastSharedGeneration uint64 // generation that any shared output has had
	shapes               map[uint64]*internedShape
	runs                 map[string]*Run
	answers              map[string]*Answer
	answersByEnd         []*Answer // by time of their end
	firstWithResults     int       // of order, where those begin that have their results
	outputs              map[string]*Output
	orphans              []string // sorted
	deadlines            indexedheap.Heap[*Run]
}

// NewTracker returns an empty one.
func NewTracker(l Limits) *Tracker {
	b := &Tracker{limits: l}
	b.reset()
	return b
}

func (b *Tracker) reset() {
	b.shapes, b.runs, b.answers, b.outputs = map[uint64]*internedShape{}, map[string]*Run{}, map[string]*Answer{}, map[string]*Output{}
	b.answersByEnd, b.firstWithResults, b.orphans = nil, 0, nil
	b.deadlines = indexedheap.New(func(x, y *Run) bool { return cmp.Or(cmp.Compare(x.dueAt, y.dueAt), cmp.Compare(x.ID, y.ID)) < 0 }, func(r *Run, at int) { r.heapIndex = at })
}

// advanceClock takes in the time of a command; it never runs backward.
func (b *Tracker) advanceClock(at time.Duration) time.Duration {
	b.now = max(b.now, at)
	return b.now
}

// Counts is how many runs are under way, and how many are known by their answers.
func (b *Tracker) Counts() (under, ended int) { return len(b.runs), len(b.answers) }

// View is a copy of a run under way, or an ErrUnknown or ErrEnded.
func (b *Tracker) View(id string) (View, error) {
	r, err := b.findRun(id)
	if err != nil {
		return View{}, err
	}
	v := View{Shape: r.shape, Run: r.clone()}
	for i := range r.Stages {
		if o := b.outputs[r.Stages[i].SharedKey]; o != nil && r.Stages[i].SharedKey != "" && o.isOwnedBy(r, i) {
			v.Producing |= 1 << i
		}
	}
	return v, nil
}

// Answer is the final answer of a run, or nil.
func (b *Tracker) Answer(id string) *Answer {
	if a := b.answers[id]; a != nil {
		c := *a
		return &c
	}
	return nil
}

func (b *Tracker) findRun(id string) (*Run, error) {
	if r := b.runs[id]; r != nil {
		return r, nil
	}
	if b.answers[id] != nil {
		return nil, ErrEnded
	}
	return nil, ErrUnknownRun
}

// ownedRun finds a run for its present coordinator.
func (b *Tracker) ownedRun(id string, fence uint64) (*Run, error) {
	r, err := b.findRun(id)
	if err == nil && (r.Orphan || r.Fence != fence) {
		return nil, ErrFenced
	}
	return r, err
}

// Start begins a run. An id is one run: started again, by whomever, it is the run
// under way or its answer, for as long as that is known (Limits.KeepFor). A Start
// that is delivered late can't begin it anew after that: then its Before has passed,
// for which an answer is kept in any case.
func (b *Tracker) Start(at time.Duration, c Start) (StartReply, error) {
	at = b.advanceClock(at)
	if a := b.Answer(c.Run); a != nil {
		return StartReply{Known: true, Answer: a}, nil
	}
	if r := b.runs[c.Run]; r != nil {
		reply := StartReply{Known: true}
		if !r.Orphan && r.Process == c.Process && r.Incarnation == c.Incarnation {
			reply.Fence = r.Fence
		}
		return reply, nil
	}
	switch {
	case c.Before <= at || c.Before-at > b.limits.MaxTimeout:
		return StartReply{}, fmt.Errorf("starting run %s at %v: %w", c.Run, at, ErrDeadline)
	case len(b.runs) >= b.limits.Runs || len(b.runs)+len(b.answers) >= b.limits.KnownRuns:
		return StartReply{}, ErrFull
	case len(c.Input) > b.limits.RunBytes || c.Run == "" || len(c.Run) > maxNameLength || len(c.Plan) > maxNameLength || len(c.Tenant) > maxNameLength || len(c.Process) > maxNameLength:
		return StartReply{}, fmt.Errorf("starting a run of plan %.32s: %w", c.Plan, ErrTooLarge)
	}
	key, shape, err := b.internShape(c.Shape)
	if err != nil {
		return StartReply{}, err
	}
	b.lastFence++
	r := &Run{
		ID: c.Run, Plan: c.Plan, Tenant: c.Tenant, Digest: c.Digest, Shape: key, Input: c.Input, Seed: c.Seed, Started: at, StartBy: c.Before,
		Deadline: min(c.Before, at+shape.Timeout), Process: c.Process, Incarnation: c.Incarnation, Fence: b.lastFence,
		Bytes: len(c.Input), Stages: make([]Stage, len(shape.Stages)), shape: shape,
	}
	for i := range r.Stages {
		r.Stages[i].Generation = 1
		if shape.Stages[i].needsNoOpen() {
			r.Stages[i].Opened, r.Stages[i].Items = true, make([]Item, 1)
		}
	}
	r.dueAt = r.Deadline
	b.runs[r.ID] = r
	b.deadlines.Push(r)
	return StartReply{Fence: r.Fence}, nil
}

// LeaseExpired says that the lease of a process's incarnation has ended. Its runs wait to be
// claimed; what they were making for others is handed on.
func (b *Tracker) LeaseExpired(at time.Duration, process string, incarnation uint64) {
	b.advanceClock(at)
	for _, id := range sortedKeys(b.runs) {
		if r := b.runs[id]; !r.Orphan && r.Process == process && r.Incarnation <= incarnation {
			b.orphanRun(r)
		}
	}
}

func (b *Tracker) orphanRun(r *Run) {
	r.Orphan = true
	if i, found := slices.BinarySearch(b.orphans, r.ID); !found {
		b.orphans = slices.Insert(b.orphans, i, r.ID)
	}
	b.reassignOutputs(r)
}

func (b *Tracker) unorphanRun(r *Run) {
	r.Orphan = false
	if i, found := slices.BinarySearch(b.orphans, r.ID); found {
		b.orphans = slices.Delete(b.orphans, i, i+1)
	}
}

// Claim gives orphans to a coordinator, those first whose deadline is next, each
// under a new fencing number. What was out is decided by its effect: what is safe or
// keyed may be sent again, what must never run twice has ended with plan.MayRun.
func (b *Tracker) Claim(at time.Duration, c Claim) []Claimed {
	at = b.advanceClock(at)
	var list []*Run
	for _, id := range b.orphans {
		if r := b.runs[id]; len(c.Plans) == 0 || slices.Contains(c.Plans, r.Digest) {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(x, y *Run) int { return cmp.Compare(x.Deadline, y.Deadline) })
	var claimed []Claimed
	for _, r := range list[:min(max(c.MaxRuns, 0), len(list))] {
		if b.runs[r.ID] != r { // an output that another of them made has ended it
			continue
		}
		b.unorphanRun(r)
		b.lastFence++
		r.Fence, r.Process, r.Incarnation = b.lastFence, c.Process, c.Incarnation
		claimed = append(claimed, Claimed{r.ID, r.Fence})
		for i := range r.Stages {
			for k := range r.Stages[i].Items {
				b.resolveInFlight(at, r, i, k)
			}
		}
		b.finishIfDone(at, r)
	}
	return claimed
}

// resolveInFlight ends what was out when the coordinator died.
func (b *Tracker) resolveInFlight(at time.Duration, r *Run, stage, item int) {
	sh, it := &r.shape.Stages[stage], &r.Stages[stage].Items[item]
	if u := &it.Undo; u.State == InFlight {
		u.State, u.End, u.NotBefore = Pending, plan.MayRun, at
		if !maySendAgain(sh.Undo.Effect, true) || int(u.Attempt) >= sh.Undo.MaxTries {
			u.State = PermanentlyFailed
		}
	}
	if j := &it.Job; j.State == InFlight {
		j.State, j.End, j.NotBefore = Pending, plan.MayRun, at
		if !maySendAgain(sh.Effect, true) {
			b.failItem(at, r, stage, item, "its coordinator died while it was under way")
		}
	}
}

// Open fixes the items of a stage. It counts once: further ones are alike, or ignored.
func (b *Tracker) Open(at time.Duration, c Open) error {
	at = b.advanceClock(at)
	r, err := b.ownedRun(c.Run, c.Fence)
	switch {
	case err != nil:
		return err
	case r.GaveUp != nil:
		return ErrGivenUp
	case c.Stage < 0 || c.Stage >= len(r.Stages):
		return ErrNotFound
	}
	sh, st := &r.shape.Stages[c.Stage], &r.Stages[c.Stage]
	size := len(c.Key)
	for _, v := range c.Items {
		size += len(v)
	}
	switch {
	case st.Opened:
		return nil
	case !r.inputsReady(r.shape, c.Stage):
		return ErrStale
	case !sh.Each && len(c.Items) != 1 || sh.Shared != (c.Key != ""):
		return ErrNotFound
	case sh.Each && len(c.Items) > sh.MaxItems || r.Bytes+size > b.limits.RunBytes || len(c.Key) > b.limits.KeyBytes:
		return ErrTooLarge
	case sh.Shared && b.outputs[c.Key] == nil && len(b.outputs) >= b.limits.SharedOutputs:
		return ErrFull
	}
	r.Bytes += size
	st.Opened, st.Items = true, make([]Item, len(c.Items))
	for i, v := range c.Items {
		st.Items[i].Value = v
	}
	if sh.Shared {
		st.SharedKey = c.Key
		b.attachOutput(at, r, c.Stage)
	}
	b.completeIfDone(at, r, c.Stage)
	b.finishIfDone(at, r)
	return nil
}

// SendAttempt lets an attempt be sent, or says why it must not be. What can no longer end
// in time or within the run's attempts makes the run give up.
func (b *Tracker) SendAttempt(at time.Duration, c SendAttempt) (SendAttemptReply, error) {
	at = b.advanceClock(at)
	r, err := b.ownedRun(c.Run, c.Fence)
	if err != nil {
		return SendAttemptReply{}, err
	}
	if c.Stage < 0 || c.Stage >= len(r.Stages) || c.Item < 0 || c.Item >= len(r.Stages[c.Stage].Items) {
		return SendAttemptReply{}, ErrNotFound
	}
	sh, st := &r.shape.Stages[c.Stage], &r.Stages[c.Stage]
	it := &st.Items[c.Item]
	t, effect := &it.Job, sh.Effect
	if c.Undo {
		if sh.Undo == nil {
			return SendAttemptReply{}, ErrNotFound
		}
		t, effect = &it.Undo, sh.Undo.Effect
	}
	switch {
	case t.State == InFlight && t.Fence == c.Fence && t.Attempt == c.Attempt:
		return SendAttemptReply{Again: true}, nil
	case t.State == InFlight:
		return SendAttemptReply{}, ErrInFlight
	case !maySendAgain(effect, t.MayHaveRun):
		return SendAttemptReply{}, ErrAtMostOnce
	case t.State != Pending:
		return SendAttemptReply{}, ErrSettled
	case c.Attempt != t.Attempt+1:
		return SendAttemptReply{}, ErrWrongAttempt
	case at < t.NotBefore:
		return SendAttemptReply{}, ErrTooEarly
	}
	if c.Undo {
		if r.GaveUp == nil || r.hasJobsInFlight() || r.nextUndoStage(r.shape) != c.Stage || !sh.needsUndo(it) {
			return SendAttemptReply{}, ErrStale
		}
	} else if err := b.checkSend(at, r, c); err != nil {
		b.finishIfDone(at, r)
		return SendAttemptReply{}, err
	}
	r.AttemptsUsed++
	*t = Execution{State: InFlight, Attempt: c.Attempt, Fence: c.Fence, SentAt: at, End: t.End, MayHaveRun: true, MayHaveRunBefore: t.MayHaveRun}
	if !c.Undo {
		it.Generation, it.Inputs = st.Generation, slices.Clone(c.Inputs)
	}
	return SendAttemptReply{}, nil
}

// checkSend holds an attempt of a stage against the run's inputs and bounds.
func (b *Tracker) checkSend(at time.Duration, r *Run, c SendAttempt) error {
	sh, st := &r.shape.Stages[c.Stage], &r.Stages[c.Stage]
	switch o := b.outputs[st.SharedKey]; {
	case r.GaveUp != nil:
		return ErrGivenUp
	case !st.Opened || !r.inputsReady(r.shape, c.Stage) || c.Generation != st.Generation || !slices.Equal(c.Inputs, r.inputGenerations(r.shape, c.Stage)):
		return ErrStale
	case sh.Shared && (o == nil || !o.isOwnedBy(r, c.Stage)):
		return ErrProducedElsewhere
	case st.Complete:
		return ErrSettled
	}
	own := 1
	if sh.Undo != nil && !sh.Shared && !st.Items[c.Item].Job.MayHaveRun {
		own += sh.Undo.MaxTries
	}
	switch {
	case r.AttemptsUsed+own+r.reservedUndoAttempts(r.shape) > r.shape.MaxAttempts:
		b.failItem(at, r, c.Stage, c.Item, "no attempts left")
		return ErrSettled
	case at+max(c.RemainingTime, 0) >= r.Deadline:
		b.failItemLate(at, r, c.Stage, c.Item)
		return ErrSettled
	}
	return nil
}

// ReportEnd counts the end of an attempt: that of the one that is out, whoever has the
// run now, and a plan.Done of the last one even after it was given up for lost, as
// long as no other was sent. All else counts no more.
func (b *Tracker) ReportEnd(at time.Duration, c ReportEnd) (ReportEndReply, error) {
	at = b.advanceClock(at)
	r, err := b.findRun(c.Run)
	if err != nil {
		return ReportEndReply{Answer: b.Answer(c.Run)}, err
	}
	if c.Stage < 0 || c.Stage >= len(r.Stages) || c.Item < 0 || c.Item >= len(r.Stages[c.Stage].Items) || c.Undo && r.shape.Stages[c.Stage].Undo == nil {
		return ReportEndReply{}, ErrNotFound
	}
	if len(c.Result) > b.limits.ResultBytes || r.Bytes+len(c.Result) > b.limits.RunBytes || len(c.Member) > maxNameLength {
		return ReportEndReply{}, ErrTooLarge
	}
	it := &r.Stages[c.Stage].Items[c.Item]
	t := &it.Job
	if c.Undo {
		t = &it.Undo
	}
	if t.Attempt != c.Attempt || t.Fence != c.Fence {
		return ReportEndReply{}, nil
	}
	if l := c.Lost; !c.Undo && c.End == plan.Lost {
		at := -1
		if l != nil {
			r.shape.eachUpstream(c.Stage, func(i, u int) {
				if u == l.Stage && it.Inputs[i] == l.Generation {
					at = i
				}
			})
		}
		if at < 0 {
			return ReportEndReply{}, fmt.Errorf("a loss of what it was not given: %w", ErrNotFound)
		}
	}
	var reply ReportEndReply
	switch {
	case t.State == InFlight && c.Undo:
		reply.Accepted = true
		b.endUndo(at, r, c)
	case t.State == InFlight:
		reply.Accepted = true
		reply.NewLoss = b.endAttempt(at, r, c)
	case c.End == plan.Done && !c.Undo && t.MayHaveRun && t.End != plan.Done && t.State != Succeeded:
		reply.Accepted = b.lateSuccess(at, r, c)
	}
	b.finishIfDone(at, r)
	reply.Answer = b.Answer(c.Run)
	return reply, nil
}

// Abandon gives a run up on its coordinator's word.
func (b *Tracker) Abandon(at time.Duration, c Abandon) error {
	at = b.advanceClock(at)
	r, err := b.ownedRun(c.Run, c.Fence)
	switch {
	case err != nil:
		return err
	case c.Stage < -1 || c.Stage >= len(r.Stages) || len(c.End) > maxNameLength:
		return ErrNotFound
	}
	b.giveUp(r, c.Stage, c.End, c.Reason)
	b.finishIfDone(at, r)
	return nil
}

// Finish is the final answer of a run, the same each time. A run ends by itself, with
// the command after which nothing is left to do; until then this is ErrOut.
func (b *Tracker) Finish(at time.Duration, c Finish) (*Answer, error) {
	b.advanceClock(at)
	if _, err := b.findRun(c.Run); err == nil {
		return nil, ErrInFlight
	} else if errors.Is(err, ErrUnknownRun) {
		return nil, err
	}
	return b.Answer(c.Run), nil
}

// Advance gives up runs whose deadline has come, ends those whose grace is over, and
// drops answers and shared outputs that are kept no longer.
func (b *Tracker) Advance(at time.Duration) {
	at = b.advanceClock(at)
	for b.deadlines.Len() > 0 && b.deadlines.All()[0].dueAt <= at {
		r := b.deadlines.All()[0]
		if at >= r.Deadline+b.limits.Grace {
			b.giveUp(r, -1, plan.Late, "its deadline passed")
			b.finishRun(at, r)
			continue
		}
		b.giveUp(r, -1, plan.Late, "its deadline passed")
		b.finishIfDone(at, r)
	}
	b.pruneAnswers(at)
}
