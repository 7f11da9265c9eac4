package scheduler

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"basaltloft/internal/admission"
	"basaltloft/internal/job"
	"basaltloft/internal/lateness"
	"basaltloft/internal/placement"
)

// bundleKey names the tasks of one step of one time of a job.
type bundleKey struct {
	job  string
	time int
	step int
}

func keyOf(ref job.TaskRef) bundleKey { return bundleKey{job: ref.Job, time: ref.Time, step: ref.Step} }

// bundle is what is to start of one step: tasks that are alike.
type bundle struct {
	key     bundleKey
	job     *job.Job
	step    *job.Step
	pending []int        // tasks to be started, by index
	waiting map[int]bool // tasks whose start waits for its commitment
	readyAt time.Duration
	seq     uint64
	avoid   map[string]bool // runners at which a task of it failed
	rank    admission.Rank
	expects float64
	ended   []admission.PeerRun // runs that ended well, for the runners' speeds
	cameMs  int64               // time of day from which on the job's time is owed
	queue   *lateness.Queue
	trails  map[int]*lateness.Trail // by task
}

// passEvery is how often ready work is looked at though nothing happened.
const passEvery = 200 * time.Millisecond

// agingMultiple: shorter work may not pass a task that has waited so many times what it is
// expected to run.
const agingMultiple = 2.0

// weight is the size of resources in cores. One accelerator counts as eight cores.
func weight(r job.Resources) float64 {
	const coresPerGPU, coresPerMB = 8, 1.0 / 2048
	return max(float64(r.CPU)/1000, float64(r.MemMB)*coresPerMB) + float64(r.GPU)*coresPerGPU
}

// cost is what a task is expected to take of a runner, in core-seconds.
func cost(seconds float64, need job.Resources) float64 { return seconds * max(0.1, weight(need)) }

// stepCost is the cost of a step's task. A lasting task has none: it takes capacity for good,
// and no end of it would ever give its part of a budget back.
func stepCost(seconds float64, step *job.Step) float64 {
	if step.LongRunning {
		return 0
	}
	return cost(seconds, step.Resources)
}

func (o *Owner) typeOf(j *job.Job, step int) admission.Type {
	return admission.Type{Queue: j.Queue, Step: step}
}

// expected returns the run time to expect of a step's task, in seconds.
func (o *Owner) expected(j *job.Job, step int) float64 {
	return o.costs.Expect(o.typeOf(j, step), float64(j.Spec.Steps[step].EstimateMs)/1000)
}

// openTime makes bundles of the steps of a time that are ready and not complete.
func (o *Owner) openTime(j *job.Job, time int) {
	if time >= len(j.Times) || j.Times[time] == nil {
		return
	}
	state := j.Times[time]
	for step := range state.Steps {
		key := bundleKey{job: j.ID, time: time, step: step}
		if o.bundles[key] != nil || state.Steps[step].Complete() || !j.Ready(state, step) {
			continue
		}
		o.sequence++
		o.byJob[j.ID] = append(o.byJob[j.ID], key)
		o.bundles[key] = &bundle{key: key, job: j, step: &j.Spec.Steps[step], waiting: map[int]bool{}, avoid: map[string]bool{}, readyAt: o.now, seq: o.sequence,
			cameMs: cameMs(j, time), queue: lateness.NewQueue(o.now), trails: map[int]*lateness.Trail{}}
		o.accountOf(j)
		o.refill(j, job.TaskRef{Job: j.ID, Time: time, Step: step})
	}
}

// refill finds anew which tasks of a step are to be started, one of which does not wait for
// the commitment of its start any more.
func (o *Owner) refill(j *job.Job, ref job.TaskRef) {
	b := o.bundles[keyOf(ref)]
	if b == nil || j == nil {
		return
	}
	delete(b.waiting, ref.Index)
	o.fill(b, j)
}

// fill finds anew which tasks of a step are to be started, those last that run already.
func (o *Owner) fill(b *bundle, j *job.Job) {
	o.dirty = true
	b.pending = b.pending[:0]
	step := &j.Times[b.key.time].Steps[b.key.step]
	var copies []int
	for index := range step.Tasks {
		task := &step.Tasks[index]
		switch {
		case task.Done || b.waiting[index]:
		case len(task.Runs) == 0:
			b.pending = append(b.pending, index)
		case o.wantsCopy(b, index, task):
			copies = append(copies, index)
		}
	}
	b.pending = append(b.pending, copies...)
	if b.step.Gang && len(b.pending) < len(step.Tasks) {
		b.pending = b.pending[:0]
	}
}

// pass starts what fits, in the aged order. Work at the head that fits no budget holds up
// the rest while some runner has the capacity for it; work for which none has is passed by,
// and once it has aged a runner is kept for it.
func (o *Owner) pass() {
	o.passAt = o.now
	ready := o.readyBundles()
	if len(ready) == 0 {
		return
	}
	candidates, sessions := o.candidates()
	for _, b := range ready {
		b.queue.Wait(o.now, lateness.Behind)
	}
	kept := 0
	for _, b := range ready {
		result := o.place(b, candidates, sessions)
		if len(b.pending) == 0 {
			continue
		}
		b.queue.Wait(o.now, waitsFor(o.ask(b), b.step.Gang, result))
		if result == placement.NoBudget {
			o.holdBack(b, candidates, sessions)
			return
		}
		if result == placement.NoCapacity && b.rank.Aged && kept < len(candidates)/keptPart {
			kept++
			reserve(o.ask(b), candidates)
		}
	}
}

// keptPart: at most one runner in so many is kept for work that has aged.
const keptPart = 8

func (o *Owner) readyBundles() []*bundle {
	var ready []*bundle
	for _, b := range o.bundles {
		if len(b.pending) == 0 {
			continue
		}
		b.expects = o.expected(b.job, b.key.step)
		agedAt := b.readyAt + time.Duration(agingMultiple*b.expects*float64(time.Second))
		b.rank = admission.Rank{Aged: o.now >= agedAt, AgedAt: agedAt, Cost: b.expects, Seq: b.seq}
		ready = append(ready, b)
	}
	slices.SortFunc(ready, func(a, b *bundle) int {
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), admission.Compare(a.rank, b.rank))
	})
	return ready
}

// candidates are the runners that take work now.
func (o *Owner) candidates() ([]placement.Candidate, []*session) {
	candidates, sessions := o.scratchCandidates[:0], o.scratchSessions[:0]
	for _, s := range o.ordered {
		if !s.listed || s.draining || !s.inTouch(o.now) || s.silent() {
			continue
		}
		doubtful := s.doubtful()
		candidates = append(candidates, placement.Candidate{
			Key: len(sessions), Service: s.service, Labels: s.labels, Capacity: s.capacity, Free: s.capacity.Minus(s.used),
			Room: s.budget.Room(s.out, o.meansOf(s.service)), Idle: len(s.runs) == 0, Pace: s.paceNow(), Speed: s.speed.Now(),
			Doubtful: doubtful, Reserved: doubtful && (s.onTrial() || o.now < s.trialAt),
		})
		sessions = append(sessions, s)
	}
	o.scratchCandidates, o.scratchSessions = candidates, sessions
	return candidates, sessions
}

func (o *Owner) ask(b *bundle) *placement.Ask {
	return &placement.Ask{
		Service: b.job.Service, Count: len(b.pending), Haste: haste(b), SoundOnly: haste(b) == placement.Tight && o.now-b.readyAt < soundFor,
		Need: b.step.Resources, Cost: stepCost(b.expects, b.step), Constraints: b.step.Constraints, Rack: b.step.Affinity,
		NearOnly: b.step.Affinity != "" && o.waitsNear(b),
	}
}

// A job's objective leaves it so many times its work. Below tightBelow a slow runner, or a
// short wait, makes it late; from looseFrom on neither does.
const (
	tightBelow = 2.0
	looseFrom  = 3.0
)

// soundFor is how long tight tasks wait for a sound runner rather than try a doubtful one: where
// all sound ones are full and others have room, work must not stand for three seconds.
const soundFor = time.Second

// haste tells how much time a bundle's job has to spare.
func haste(b *bundle) placement.Haste {
	if b.step.LongRunning {
		return placement.Loose
	}
	allowed := b.job.Stretch + float64(b.job.TargetMs)/1000/max(b.expects, 0.001)/float64(len(b.job.Spec.Steps))
	switch {
	case b.job.Stretch <= 0:
		return placement.Usual
	case allowed < tightBelow:
		return placement.Tight
	case allowed >= looseFrom:
		return placement.Loose
	}
	return placement.Usual
}

// nearPatience is the part of the time lost by running far that is waited for a near place; a
// tight job that waits so long and then runs far is late by all means, so that it waits less.
const (
	nearPatience      = 0.5
	nearPatienceTight = 0.1
)

// waitsNear tells whether a bundle's tasks rather wait than run far from their data.
func (o *Owner) waitsNear(b *bundle) bool {
	patience := nearPatience
	if haste(b) == placement.Tight {
		patience = nearPatienceTight
	}
	return (o.now - b.readyAt).Seconds() < patience*(o.bounds.FarX-1)*b.expects
}

// place starts as much of a bundle as fits, as many tasks at one runner as fit there.
func (o *Owner) place(b *bundle, candidates []placement.Candidate, sessions []*session) placement.Result {
	if b.step.Gang {
		return o.placeGang(b, candidates, sessions)
	}
	for len(b.pending) > 0 {
		alike := o.alike(b)
		chosen, result := o.choose(b, alike, candidates, sessions)
		if result != placement.Found {
			return result
		}
		for range chosen.Takes {
			ask := o.ask(b)
			candidates[chosen.At].Take(ask)
			o.start(b, b.pending[0], o.nextAttempt(b, b.pending[0]), sessions[candidates[chosen.At].Key], ask)
			b.pending = b.pending[1:]
		}
	}
	return placement.Found
}

// alike returns how many of a bundle's next tasks may go to the same runner: those that have
// no run, which stand first, or else one that is to have a second run.
func (o *Owner) alike(b *bundle) int {
	n := 0
	for n < len(b.pending) && len(o.taskOf(b, b.pending[n]).Runs) == 0 {
		n++
	}
	return max(1, n)
}

// taskOf returns the state of one task of a bundle.
func (o *Owner) taskOf(b *bundle, index int) *job.Task {
	return &b.job.Times[b.key.time].Steps[b.key.step].Tasks[index]
}

// choose finds a runner for a bundle's next tasks, one at which none of its step failed where
// it can, and never one that has a run of the task.
func (o *Owner) choose(b *bundle, alike int, candidates []placement.Candidate, sessions []*session) (placement.Place, placement.Result) {
	ask := o.ask(b)
	ask.Count = alike
	beside := o.taskOf(b, b.pending[0]).Runs
	room := o.roomApart(b, sessions)
	limit := func(key int) int {
		for _, live := range beside {
			if live.Runner == sessions[key].id {
				return 0
			}
		}
		return room(key)
	}
	ask.Limit = func(key int) int {
		if b.avoid[sessions[key].id] {
			return 0
		}
		return limit(key)
	}
	chosen, result := placement.Choose(ask, candidates)
	if result != placement.Found && len(b.avoid) > 0 {
		ask.Limit = limit
		chosen, result = placement.Choose(ask, candidates)
	}
	return chosen, result
}

// roomApart tells how many more tasks of a step a runner may take beside those it has.
func (o *Owner) roomApart(b *bundle, sessions []*session) func(key int) int {
	if b.step.AntiAffinity == 0 {
		return func(int) int { return b.step.Count }
	}
	return func(key int) int {
		left := b.step.AntiAffinity
		for other := range sessions[key].runs {
			if keyOf(other.task) == b.key {
				left--
			}
		}
		return left
	}
}

func (o *Owner) nextAttempt(b *bundle, index int) int {
	step := &b.job.Times[b.key.time].Steps[b.key.step]
	if !b.step.Gang {
		return step.Tasks[index].Attempt + 1
	}
	highest := 0
	for _, task := range step.Tasks {
		highest = max(highest, task.Attempt)
	}
	return highest + 1
}

// start proposes a start and keeps its place at the runner.
func (o *Owner) start(b *bundle, index, attempt int, s *session, ask *placement.Ask) {
	ref := job.TaskRef{Job: b.key.job, Time: b.key.time, Step: b.key.step, Index: index}
	r := &run{runKey: runKey{task: ref, attempt: attempt}, need: ask.Need, cost: ask.Cost, expected: b.expects, sentAt: o.now}
	r.far = ask.Rack != "" && !slices.Contains(s.labels, ask.Rack)
	if r.far {
		r.expected *= o.bounds.FarX
	}
	r.expected *= s.speed.Now()
	if s.doubtful() {
		s.trials++
		s.trialAt = o.now + min(trialMax, trialFirst<<min(s.trials, 4))
	}
	s.add(r)
	b.waiting[index] = true
	b.trail(index).Leaves(b.queue.Waited(o.now))
	o.meansOf(b.job.Service).Add(ask.Cost)
	o.propose(job.Command{Kind: job.Start, Task: ref, Attempt: attempt, Runner: s.id, Address: s.address})
}

// Trials of a runner that fails most of what it runs.
const (
	trialFirst = 400 * time.Millisecond
	trialMax   = 4 * time.Second
)

// placeGang starts all tasks of a step or none.
func (o *Owner) placeGang(b *bundle, candidates []placement.Candidate, sessions []*session) placement.Result {
	if b.step.SameRack {
		if places := o.gangOnOneRack(b, candidates, sessions); places != nil {
			o.startGang(b, places, candidates, sessions)
			return placement.Found
		}
		if o.waitsNear(b) {
			return placement.NoCapacity
		}
	}
	places, result := o.gangPlaces(b, slices.Clone(candidates), sessions)
	if result != placement.Found {
		return result
	}
	o.startGang(b, places, candidates, sessions)
	return placement.Found
}

// gangPlaces finds a runner for each task, on a copy of the candidates.
func (o *Owner) gangPlaces(b *bundle, copies []placement.Candidate, sessions []*session) ([]int, placement.Result) {
	places := make([]int, 0, len(b.pending))
	taken := map[int]int{}
	room := o.roomApart(b, sessions)
	ask := o.ask(b)
	ask.Limit = func(key int) int { return room(key) - taken[key] }
	for len(places) < len(b.pending) {
		ask.Count = len(b.pending) - len(places)
		chosen, result := placement.Choose(ask, copies)
		if result != placement.Found {
			return nil, result
		}
		for range chosen.Takes {
			copies[chosen.At].Take(ask)
			taken[copies[chosen.At].Key]++
			places = append(places, chosen.At)
		}
	}
	return places, placement.Found
}

// gangOnOneRack finds the rack with the most room that takes all tasks.
func (o *Owner) gangOnOneRack(b *bundle, candidates []placement.Candidate, sessions []*session) []int {
	racks := map[string][]int{}
	for at := range candidates {
		rack := sessions[candidates[at].Key].rack()
		racks[rack] = append(racks[rack], at)
	}
	var best []int
	bestRoom := 0.0
	for _, rack := range sortedKeys(racks) {
		room := 0.0
		copies := make([]placement.Candidate, 0, len(racks[rack]))
		for _, at := range racks[rack] {
			copies = append(copies, candidates[at])
			room += candidates[at].Room
		}
		places, result := o.gangPlaces(b, copies, sessions)
		if result != placement.Found || best != nil && room <= bestRoom {
			continue
		}
		bestRoom = room
		best = best[:0]
		for _, place := range places {
			best = append(best, racks[rack][place])
		}
	}
	return best
}

func (o *Owner) startGang(b *bundle, places []int, candidates []placement.Candidate, sessions []*session) {
	attempt := o.nextAttempt(b, 0)
	for i, at := range places {
		ask := o.ask(b)
		candidates[at].Take(ask)
		o.start(b, b.pending[i], attempt, sessions[candidates[at].Key], ask)
	}
	b.pending = b.pending[:0]
}

// holdBack notes which budgets keep the head of the queue from leaving, so that they grow
// with the next run that ends well.
func (o *Owner) holdBack(b *bundle, candidates []placement.Candidate, sessions []*session) {
	ask := o.ask(b)
	for at := range candidates {
		c := &candidates[at]
		if c.Service == ask.Service && ask.Need.Fits(c.Free) && hasAll(c.Labels, ask.Constraints) {
			s := sessions[c.Key]
			s.budget.HeldBack(o.now, ask.Cost, max(o.mostBudget(s), s.out+ask.Cost))
		}
	}
}

// reserve keeps the suitable runner with the most free capacity, too little as yet, for work
// that has aged.
func reserve(ask *placement.Ask, candidates []placement.Candidate) {
	best := -1
	for at := range candidates {
		c := &candidates[at]
		if c.Reserved || c.Service != ask.Service || ask.Need.Fits(c.Free) || !ask.Need.Fits(c.Capacity) || !hasAll(c.Labels, ask.Constraints) {
			continue
		}
		if best < 0 || c.Free.CPU > candidates[best].Free.CPU {
			best = at
		}
	}
	if best >= 0 {
		candidates[best].Reserved = true
	}
}

func hasAll(labels, wanted []string) bool {
	for _, label := range wanted {
		if !slices.Contains(labels, label) {
			return false
		}
	}
	return true
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
