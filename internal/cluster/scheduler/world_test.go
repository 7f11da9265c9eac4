package scheduler_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/scheduler"
)

// The world of these tests: a shard's store with a commit that takes a while, schedulers that
// come and go, and runners with clocks of their own that answer late, not at all, or carry
// orders out seconds later. Virtual time, one goroutine, no sleeping. The checks bear the
// names of the deployment's rules.

const (
	tickLength         = 5 * time.Millisecond
	maxLease           = 6 * time.Second
	gangTimeout        = 3 * time.Second
	checkpointInterval = 500 * time.Millisecond // work between two savings
)

// plantedFault is a bug planted to show that a check finds it.
type plantedFault int

const (
	noFault plantedFault = iota
	acknowledgedBeforeCommit
	tokenNotRaised
	speculationNotAllowed // the scheduler is told that all steps may have speculative attempts
)

// incarnation is one incarnation of a simulated runner.
type incarnation struct {
	w                *world
	id               string
	address          string
	labels           []string
	service          string
	capacity         job.Resources
	enforcesCapacity bool
	clockRate        float64 // 1 is exact
	clockOffsetMs    int64
	up               bool
	unreachableUntil time.Duration
	draining         bool
	failsRuns        bool // all that it starts
	stallsRuns       bool // no run of it makes progress

	highestToken    uint64
	leaseDeadlineMs int64 // its tasks' leases expire then, on its clock
	runs            map[job.TaskRef]*running
	inOrder         []*running
	highestAttempt  map[job.TaskRef]int // attempts stopped or ended there
	finished        []scheduler.ReportedEnd
	number          uint64
	polls           []longPoll
}

type running struct {
	ref        job.TaskRef
	attempt    int
	job        *submitted
	startedAt  time.Duration
	checkpoint string
	workBefore time.Duration // work that was done before
	work       time.Duration
}

type longPoll struct {
	deadline     time.Duration
	ackedThrough uint64
	answer       func()
}

// submitted is what the world knows of a job, apart from the store.
type submitted struct {
	id           string
	spec         job.Spec
	service      string
	retries      int
	alwaysFails  bool
	cancelled    time.Duration                 // when the cancelling was acknowledged; 0: it was not
	ended        map[job.TaskRef]bool          // tasks with a run that ended done
	acknowledged map[job.TaskRef]time.Duration // and of them those whose end was acknowledged to the runner, and when
	failures     map[job.TaskRef]int           // failed ends that were acknowledged
	checkpoints  map[string]bool               // texts that its tasks saved
}

// event is something that happens later.
type event struct {
	at time.Duration
	do func()
}

type world struct {
	t                 testing.TB
	seed              uint64
	random            *rand.Rand
	now               time.Duration
	store             *job.Store
	scheduler         *scheduler.Scheduler
	epoch             uint64
	incarnations      []*incarnation
	jobs              map[string]*submitted
	order             []string
	events            []event
	lateShare         float64 // share of orders that get no answer and are carried out late
	fault             plantedFault
	serial            int
	incompleteGangs   int
	speculativeStarts int // starts beside another run of the same task
	priorities        int
	slowUntil         time.Duration
	sendTime          time.Duration // the leader's node sends its orders one after another, each in so long; 0: at once
	sentUntil         time.Duration // when it has sent all
	startOrders       int           // orders to start
	startsInVain      int           // those of them that started nothing
	decisions         decisions     // what the schedulers decided
}

func newWorld(t testing.TB, seed uint64, runners int) *world {
	w := &world{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 9)), now: time.Hour, store: job.NewStore(), jobs: map[string]*submitted{}, epoch: 1, priorities: 1}
	for i := range runners {
		w.addIncarnation(fmt.Sprintf("10.0.0.%d:1", i), i)
	}
	w.startScheduler()
	return w
}

func (w *world) check(ok bool, rule, format string, args ...any) {
	w.t.Helper()
	if !ok {
		w.t.Fatalf("seed %d at %v: %s: %s", w.seed, w.now, rule, fmt.Sprintf(format, args...))
	}
}

// addIncarnation starts a runner; i chooses its labels, its accelerators and whether it rejects starts
// beyond its capacity.
func (w *world) addIncarnation(address string, i int) {
	w.serial++
	kinds := []string{"a", "b"}
	inc := &incarnation{w: w, id: fmt.Sprintf("i-%d", w.serial), address: address, service: "desk", up: true, enforcesCapacity: i%3 != 0,
		labels: []string{kinds[i%2], fmt.Sprintf("r-%d", i%3)}, capacity: job.Resources{CPU: 16000, MemMB: 32000, GPU: int64(i%2) * 4},
		clockRate: 1 - 0.02*w.random.Float64(), clockOffsetMs: int64(w.random.IntN(1_000_000)), runs: map[job.TaskRef]*running{}, highestAttempt: map[job.TaskRef]int{}}
	w.incarnations = append(w.incarnations, inc)
}

func (w *world) later(in time.Duration, do func()) {
	w.events = append(w.events, event{at: w.now + in, do: do})
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// run lets time pass.
func (w *world) run(span time.Duration) {
	for end := w.now + span; w.now < end; w.now += tickLength {
		due := []event{}
		w.events = slices.DeleteFunc(w.events, func(e event) bool {
			if e.at <= w.now {
				due = append(due, e)
				return true
			}
			return false
		})
		for _, e := range due {
			e.do()
		}
		for _, inc := range w.incarnations {
			inc.tick()
		}
		w.driveScheduler()
	}
}

func (w *world) wallMs() int64 { return 1_700_000_000_000 + (w.now - time.Hour).Milliseconds() }

func (w *world) driveScheduler() {
	if w.scheduler == nil {
		return
	}
	w.scheduler.Tick(w.now, w.wallMs())
	out := w.scheduler.TakeOutput(w.now, true)
	w.checkStartWindow()
	w.decisions.record(w.now, &out)
	if len(out.Commands) > 0 {
		w.commit(out)
	}
	for _, order := range out.Orders {
		w.send(order)
	}
}

// checkStartWindow: each start in flight counts once, and none for much longer than an order without
// an answer takes here. A start that counted for good would leave less and less room for others.
func (w *world) checkStartWindow() {
	const longestStart = 3 * time.Second
	counted, starting, oldest := w.scheduler.StartsInFlight()
	w.check(counted == starting, "START WINDOW", "it counts %d starts in flight, there are %d", counted, starting)
	w.check(starting == 0 || w.now-oldest < longestStart, "START WINDOW", "a start of %v still counts", oldest)
	task, twice := w.scheduler.StartProposedTwice()
	w.check(!twice, "STARTED ONCE", "the start of an attempt of %v is proposed twice", task)
}

// commit applies a batch after a while, in order.
func (w *world) commit(out scheduler.Output) {
	current, epoch := w.scheduler, w.epoch
	if w.fault == acknowledgedBeforeCommit {
		current.Committed(w.now, out.Batch)
	}
	w.later(w.between(5*time.Millisecond, 6*time.Millisecond)+tickLength*2, func() {
		if w.epoch != epoch || w.scheduler != current {
			return // lost with its leader
		}
		w.apply(out.Commands)
		current.Committed(w.now, out.Batch)
	})
}

func (w *world) apply(commands []job.Command) {
	for _, c := range commands {
		outcome := w.store.Apply(c)
		if w.scheduler != nil {
			w.scheduler.Applied(w.now, c, outcome)
		}
	}
}

// recordAcknowledged keeps what a runner was told to be seen, for the rules on further starts.
func (w *world) recordAcknowledged(end scheduler.ReportedEnd) {
	j := w.jobs[end.Task.Job]
	switch end.Reason {
	case job.EndDone:
		for _, ref := range j.peers(end.Task) {
			if j.acknowledged[ref] == 0 {
				j.acknowledged[ref] = w.now
			}
		}
	case job.EndFailed:
		j.failures[end.Task]++
	}
}

// peers lists the tasks that end done with one: all of its gang.
func (j *submitted) peers(ref job.TaskRef) []job.TaskRef {
	spec := j.spec.Steps[ref.Step]
	if !spec.Gang {
		return []job.TaskRef{ref}
	}
	var all []job.TaskRef
	for index := range spec.Count {
		ref.Index = index
		all = append(all, ref)
	}
	return all
}

// startScheduler replaces the scheduler. The old one's orders may still be on their way.
func (w *world) startScheduler() {
	if w.fault != tokenNotRaised {
		w.epoch++
	}
	w.scheduler = scheduler.New(w.store, w.epoch, scheduler.Config{MaxLease: maxLease, RemoteSlowdown: 1.5, RestoreTime: 250 * time.Millisecond, StatusRetention: 2 * time.Minute},
		w.now, w.wallMs(), slog.New(slog.DiscardHandler))
	w.listRunners()
}

// loseLeader lets the leader, and its scheduler, vanish, some of its orders still on their way.
func (w *world) loseLeader() {
	w.slowUntil = w.now + 100*time.Millisecond
	w.later(100*time.Millisecond, func() { w.scheduler = nil })
	w.later(w.between(150*time.Millisecond, 2*time.Second), func() {
		if w.scheduler == nil {
			w.startScheduler()
		}
	})
}

// listRunners tells the scheduler of the runners, as the platform does.
func (w *world) listRunners() {
	if w.scheduler == nil {
		return
	}
	var runners []scheduler.Runner
	for _, inc := range w.incarnations {
		if inc.up || w.random.IntN(2) == 0 && !w.replaced(inc) {
			runners = append(runners, scheduler.Runner{ID: inc.id, Service: inc.service, Address: inc.address, Labels: inc.labels, Capacity: inc.capacity, Draining: inc.draining})
		}
	}
	w.scheduler.UpdateRunners(w.now, runners)
}

func (w *world) replaced(inc *incarnation) bool {
	for _, other := range w.incarnations {
		if other != inc && other.address == inc.address && other.up {
			return true
		}
	}
	return false
}

// incarnationAt returns the incarnation that answers at an address.
func (w *world) incarnationAt(address string) *incarnation {
	for _, inc := range w.incarnations {
		if inc.up && inc.address == address {
			return inc
		}
	}
	return nil
}

func (w *world) submit(spec job.Spec, alwaysFails bool) string {
	w.serial++
	id := fmt.Sprintf("%016x", w.serial)
	retries := 2 + w.random.IntN(3)
	w.jobs[id] = &submitted{id: id, spec: spec, service: "desk", retries: retries, alwaysFails: alwaysFails, ended: map[job.TaskRef]bool{}, acknowledged: map[job.TaskRef]time.Duration{}, failures: map[job.TaskRef]int{}, checkpoints: map[string]bool{}}
	w.order = append(w.order, id)
	if w.fault == speculationNotAllowed {
		spec.Steps = slices.Clone(spec.Steps)
		for at := range spec.Steps {
			spec.Steps[at].Speculative = true
		}
	}
	w.apply([]job.Command{{Kind: job.AcceptJob, ProposedAtMs: w.wallMs(), Submission: &job.Submission{ID: id, Queue: "q/", Service: "desk", Spec: spec, Retries: retries, Priority: w.random.IntN(w.priorities)}}})
	return id
}

func (w *world) cancel(id string) {
	w.apply([]job.Command{{Kind: job.CancelJob, Task: job.TaskRef{Job: id}, ProposedAtMs: w.wallMs()}})
	if w.store.Jobs[id].State == job.StateCanceled {
		w.jobs[id].cancelled = w.now
	}
}

// send carries an order to its runner and the answer back.
func (w *world) send(order scheduler.Order) {
	current := w.scheduler
	latency := w.between(time.Millisecond, 4*time.Millisecond)
	if w.now < w.slowUntil { // the leader is about to be lost; these arrive after the next one's first
		latency = w.between(100*time.Millisecond, 240*time.Millisecond) // within an order's time
	}
	if w.sendTime > 0 {
		w.sentUntil = max(w.now, w.sentUntil) + w.sendTime
		latency += w.sentUntil - w.now
	}
	if w.random.Float64() < w.lateShare { // no answer; carried out seconds later
		w.later(w.between(2*time.Second, 12*time.Second), func() { w.carryOut(order, func(func(*scheduler.Scheduler)) {}) })
		w.later(time.Second, func() { w.unanswered(current, order) })
		return
	}
	answered := false
	w.later(latency, func() {
		w.carryOut(order, func(tell func(*scheduler.Scheduler)) {
			w.later(w.between(time.Millisecond, 4*time.Millisecond), func() {
				if !answered && w.scheduler == current {
					answered = true
					tell(current)
				}
			})
		})
	})
	w.later(time.Duration(order.WaitMs)*time.Millisecond+time.Second, func() {
		if !answered {
			answered = true
			w.unanswered(current, order)
		}
	})
}

func (w *world) unanswered(current *scheduler.Scheduler, order scheduler.Order) {
	if w.scheduler != current || current == nil {
		return
	}
	switch order.Kind {
	case scheduler.OrderRenewLease:
		current.LeaseReplied(w.now, order, scheduler.LeaseNoReply, scheduler.RunnerReport{})
	case scheduler.OrderStart:
		current.StartReplied(w.now, order, scheduler.StartNoReply, 0)
	case scheduler.OrderStop:
		current.StopReplied(w.now, order, scheduler.StopNotConfirmed, 0)
	}
}

// carryOut does what an order says at the runner, if one is there, and answers.
func (w *world) carryOut(order scheduler.Order, answer func(tell func(*scheduler.Scheduler))) {
	inc := w.incarnationAt(order.Address)
	if inc == nil || w.now < inc.unreachableUntil {
		return
	}
	if inc.id != order.Runner {
		answer(func(s *scheduler.Scheduler) {
			switch order.Kind {
			case scheduler.OrderRenewLease:
				s.LeaseReplied(w.now, order, scheduler.LeaseOtherIncarnation, scheduler.RunnerReport{})
			case scheduler.OrderStart:
				s.StartReplied(w.now, order, scheduler.StartOtherIncarnation, 0)
			case scheduler.OrderStop:
				s.StopReplied(w.now, order, scheduler.StopOtherIncarnation, 0)
			}
		})
		return
	}
	switch order.Kind {
	case scheduler.OrderRenewLease:
		inc.renewLease(order, answer)
	case scheduler.OrderStart:
		reply := inc.start(order)
		w.startOrders++
		if reply != scheduler.StartAccepted {
			w.startsInVain++
		}
		clock := inc.clockMs()
		answer(func(s *scheduler.Scheduler) { s.StartReplied(w.now, order, reply, clock) })
	case scheduler.OrderStop:
		reply := inc.stop(order)
		clock := inc.clockMs()
		answer(func(s *scheduler.Scheduler) { s.StopReplied(w.now, order, reply, clock) })
	}
}
