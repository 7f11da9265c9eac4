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

// The simulation of these tests consists of a shard's store whose commits take some time, a
// succession of schedulers, and runners with clocks of their own that reply late, not at all, or
// carry out orders seconds later. It uses virtual time and a single goroutine and never sleeps. The
// first argument of check is the name of the deployment rule that is checked.

const (
	tickLength         = 5 * time.Millisecond
	maxLease           = 6 * time.Second
	gangTimeout        = 3 * time.Second
	checkpointInterval = 500 * time.Millisecond // work between two checkpoints
)

// plantedFault is a fault that is injected into the simulation to show that a check detects it.
type plantedFault int

const (
	noFault plantedFault = iota
	acknowledgedBeforeCommit
	tokenNotRaised
	speculationNotAllowed // the scheduler sees all steps as allowing speculative attempts
)

// incarnation is one incarnation of a simulated runner.
type incarnation struct {
	sim              *simulation
	id               string
	address          string
	labels           []string
	service          string
	capacity         job.Resources
	enforcesCapacity bool
	clockRate        float64 // 1 means exact
	clockOffsetMs    int64
	up               bool
	unreachableUntil time.Duration
	draining         bool
	failsRuns        bool // all its runs fail
	stallsRuns       bool // none of its runs makes progress
	rejectsStarts    bool // it rejects all orders to start
	slowness         int  // factor by which the work of runs that start there takes longer; 0 means none

	highestToken    uint64
	leaseDeadlineMs int64 // on its clock: when the leases of its tasks expire
	runs            map[job.TaskRef]*running
	inOrder         []*running
	highestAttempt  map[job.TaskRef]int // highest attempt of each task that was stopped or ended there
	finished        []scheduler.ReportedEnd
	number          uint64
	polls           []longPoll
}

// running is a run that is active at a simulated runner.
type running struct {
	ref        job.TaskRef
	attempt    int
	job        *submitted
	startedAt  time.Duration
	checkpoint string
	workBefore time.Duration // work done before this run
	work       time.Duration
}

// longPoll is a lease renewal that waits for its reply.
type longPoll struct {
	deadline     time.Duration
	ackedThrough uint64
	answer       func()
}

// submitted is what the simulation records about a job, independently of the store.
type submitted struct {
	id           string
	spec         job.Spec
	service      string
	retries      int
	alwaysFails  bool
	work         time.Duration                 // of each task; 0 means about the estimate
	cancelled    time.Duration                 // when the cancellation was acknowledged; 0 means it was not
	ended        map[job.TaskRef]bool          // tasks with a successful run
	acknowledged map[job.TaskRef]time.Duration // when the successful end of a task was acknowledged to its runner
	failures     map[job.TaskRef]int           // number of failed runs whose ends were acknowledged
	checkpoints  map[string]bool               // checkpoints that its tasks saved
}

// event is an action that is scheduled for later.
type event struct {
	at time.Duration
	do func()
}

// simulation is the state of one simulated shard with its runners.
type simulation struct {
	t                   testing.TB
	seed                uint64
	random              *rand.Rand
	now                 time.Duration
	store               *job.Store
	scheduler           *scheduler.Scheduler
	epoch               uint64
	incarnations        []*incarnation
	jobs                map[string]*submitted
	order               []string
	events              []event
	lateShare           float64 // fraction of orders that get no reply and are carried out seconds later
	fault               plantedFault
	serial              int
	incompleteGangs     int
	speculativeStarts   int // starts while another run of the same task was active
	priorities          int
	slowUntil           time.Duration
	sendTime            time.Duration // the leader's node takes this long to send each order; 0 means none
	sentUntil           time.Duration // when it has sent all previous orders
	startOrders         int           // orders to start
	startsWithoutEffect int           // orders to start that started nothing
	decisions           decisions     // recorded output of the schedulers
}

func newSimulation(t testing.TB, seed uint64, runners int) *simulation {
	sim := &simulation{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 9)), now: time.Hour, store: job.NewStore(), jobs: map[string]*submitted{}, epoch: 1, priorities: 1}
	for i := range runners {
		sim.addIncarnation(fmt.Sprintf("10.0.0.%d:1", i), i)
	}
	sim.startScheduler()
	return sim
}

// check ends the test with the name of a rule if the rule is violated.
func (sim *simulation) check(ok bool, rule, format string, args ...any) {
	sim.t.Helper()
	if !ok {
		sim.t.Fatalf("seed %d at %v: %s: %s", sim.seed, sim.now, rule, fmt.Sprintf(format, args...))
	}
}

// addIncarnation starts an incarnation of a runner. i determines its labels, its accelerators and
// whether it rejects starts beyond its capacity.
func (sim *simulation) addIncarnation(address string, i int) {
	sim.serial++
	kinds := []string{"a", "b"}
	inc := &incarnation{sim: sim, id: fmt.Sprintf("i-%d", sim.serial), address: address, service: "desk", up: true, enforcesCapacity: i%3 != 0,
		labels: []string{kinds[i%2], fmt.Sprintf("r-%d", i%3)}, capacity: job.Resources{CPU: 16000, MemMB: 32000, GPU: int64(i%2) * 4},
		clockRate: 1 - float64(0.02*sim.random.Float64()), clockOffsetMs: int64(sim.random.IntN(1_000_000)), runs: map[job.TaskRef]*running{}, highestAttempt: map[job.TaskRef]int{}}
	sim.incarnations = append(sim.incarnations, inc)
}

func (sim *simulation) later(in time.Duration, do func()) {
	sim.events = append(sim.events, event{at: sim.now + in, do: do})
}

func (sim *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.random.Int64N(int64(high-low)))
}

// run advances the simulation by a span of virtual time.
func (sim *simulation) run(span time.Duration) {
	for end := sim.now + span; sim.now < end; sim.now += tickLength {
		due := []event{}
		sim.events = slices.DeleteFunc(sim.events, func(e event) bool {
			if e.at <= sim.now {
				due = append(due, e)
				return true
			}
			return false
		})
		for _, e := range due {
			e.do()
		}
		for _, inc := range sim.incarnations {
			inc.tick()
		}
		sim.driveScheduler()
	}
}

func (sim *simulation) wallMs() int64 {
	return 1_700_000_000_000 + (sim.now - time.Hour).Milliseconds()
}

func (sim *simulation) driveScheduler() {
	if sim.scheduler == nil {
		return
	}
	sim.scheduler.Tick(sim.now, sim.wallMs())
	out := sim.scheduler.TakeOutput(sim.now, true)
	sim.checkStartWindow()
	sim.decisions.record(sim.now, &out)
	if len(out.Commands) > 0 {
		sim.commit(out)
	}
	for _, order := range out.Orders {
		sim.send(order)
	}
}

// checkStartWindow checks that each start in flight is counted once, and that none is counted for
// much longer than an order without a reply takes. A start that stayed counted forever would
// permanently reduce the capacity of the window.
func (sim *simulation) checkStartWindow() {
	const longestStart = 3 * time.Second
	counted, starting, oldest := sim.scheduler.StartsInFlight()
	sim.check(counted == starting, "START WINDOW", "%d starts are counted as in flight, %d are", counted, starting)
	sim.check(starting == 0 || sim.now-oldest < longestStart, "START WINDOW", "a start of %v is still counted", oldest)
	task, twice := sim.scheduler.StartProposedTwice()
	sim.check(!twice, "STARTED ONCE", "the start of an attempt of %v is proposed twice", task)
}

// commit applies a batch in order after a delay.
func (sim *simulation) commit(out scheduler.Output) {
	current, epoch := sim.scheduler, sim.epoch
	if sim.fault == acknowledgedBeforeCommit {
		current.Committed(sim.now, out.Batch)
	}
	sim.later(sim.between(5*time.Millisecond, 6*time.Millisecond)+tickLength*2, func() {
		if sim.epoch != epoch || sim.scheduler != current {
			return // lost with its leader
		}
		sim.apply(out.Commands)
		current.Committed(sim.now, out.Batch)
	})
}

func (sim *simulation) apply(commands []job.Command) {
	for _, c := range commands {
		outcome := sim.store.Apply(c)
		if sim.scheduler != nil {
			sim.scheduler.Applied(sim.now, c, outcome)
		}
	}
}

// recordAcknowledged records an end that was acknowledged to a runner, for the checks of later
// starts.
func (sim *simulation) recordAcknowledged(end scheduler.ReportedEnd) {
	j := sim.jobs[end.Task.Job]
	switch end.Reason {
	case job.EndDone:
		for _, ref := range j.peers(end.Task) {
			if j.acknowledged[ref] == 0 {
				j.acknowledged[ref] = sim.now
			}
		}
	case job.EndFailed:
		j.failures[end.Task]++
	}
}

// peers returns the tasks that are done together with a task: all tasks of its gang, or just the
// task.
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

// startScheduler replaces the scheduler with that of the next epoch. Orders of the old one may
// still be in flight.
func (sim *simulation) startScheduler() {
	if sim.fault != tokenNotRaised {
		sim.epoch++
	}
	sim.scheduler = scheduler.New(sim.store, sim.epoch, scheduler.Config{MaxLease: maxLease, RemoteSlowdown: 1.5, RestoreTime: 250 * time.Millisecond, StatusRetention: 2 * time.Minute},
		sim.now, sim.wallMs(), slog.New(slog.DiscardHandler))
	sim.listRunners()
}

// loseLeader makes the leader fail with its scheduler while some of its orders are in flight.
func (sim *simulation) loseLeader() {
	sim.slowUntil = sim.now + 100*time.Millisecond
	sim.later(100*time.Millisecond, func() { sim.scheduler = nil })
	sim.later(sim.between(150*time.Millisecond, 2*time.Second), func() {
		if sim.scheduler == nil {
			sim.startScheduler()
		}
	})
}

// listRunners passes the list of runners to the scheduler, as the platform does.
func (sim *simulation) listRunners() {
	if sim.scheduler == nil {
		return
	}
	var runners []scheduler.Runner
	for _, inc := range sim.incarnations {
		if inc.up || sim.random.IntN(2) == 0 && !sim.replaced(inc) {
			runners = append(runners, scheduler.Runner{ID: inc.id, Service: inc.service, Address: inc.address, Labels: inc.labels, Capacity: inc.capacity, Draining: inc.draining})
		}
	}
	sim.scheduler.UpdateRunners(sim.now, runners)
}

// replaced reports whether another incarnation runs at an incarnation's address.
func (sim *simulation) replaced(inc *incarnation) bool {
	for _, other := range sim.incarnations {
		if other != inc && other.address == inc.address && other.up {
			return true
		}
	}
	return false
}

// incarnationAt returns the active incarnation at an address.
func (sim *simulation) incarnationAt(address string) *incarnation {
	for _, inc := range sim.incarnations {
		if inc.up && inc.address == address {
			return inc
		}
	}
	return nil
}

func (sim *simulation) submit(spec job.Spec, alwaysFails bool) string {
	sim.serial++
	id := fmt.Sprintf("%016x", sim.serial)
	retries := 2 + sim.random.IntN(3)
	sim.jobs[id] = &submitted{id: id, spec: spec, service: "desk", retries: retries, alwaysFails: alwaysFails, ended: map[job.TaskRef]bool{}, acknowledged: map[job.TaskRef]time.Duration{}, failures: map[job.TaskRef]int{}, checkpoints: map[string]bool{}}
	sim.order = append(sim.order, id)
	if sim.fault == speculationNotAllowed {
		spec.Steps = slices.Clone(spec.Steps)
		for at := range spec.Steps {
			spec.Steps[at].Speculative = true
		}
	}
	sim.apply([]job.Command{{Kind: job.AcceptJob, ProposedAtMs: sim.wallMs(), Submission: &job.Submission{ID: id, Queue: "q/", Service: "desk", Spec: spec, Retries: retries, Priority: sim.random.IntN(sim.priorities)}}})
	return id
}

func (sim *simulation) cancel(id string) {
	sim.apply([]job.Command{{Kind: job.CancelJob, Task: job.TaskRef{Job: id}, ProposedAtMs: sim.wallMs()}})
	if sim.store.Jobs[id].State == job.StateCanceled {
		sim.jobs[id].cancelled = sim.now
	}
}

// send delivers an order to its runner after a delay, and the reply to the scheduler.
func (sim *simulation) send(order scheduler.Order) {
	current := sim.scheduler
	latency := sim.between(time.Millisecond, 4*time.Millisecond)
	if sim.now < sim.slowUntil { // the leader is about to fail: orders arrive after its successor's first ones
		latency = sim.between(100*time.Millisecond, 240*time.Millisecond) // within the deadline of an order
	}
	if sim.sendTime > 0 {
		sim.sentUntil = max(sim.now, sim.sentUntil) + sim.sendTime
		latency += sim.sentUntil - sim.now
	}
	if sim.random.Float64() < sim.lateShare { // no reply; carried out seconds later
		sim.later(sim.between(2*time.Second, 12*time.Second), func() { sim.carryOut(order, func(func(*scheduler.Scheduler)) {}) })
		sim.later(time.Second, func() { sim.unanswered(current, order) })
		return
	}
	answered := false
	sim.later(latency, func() {
		sim.carryOut(order, func(deliver func(*scheduler.Scheduler)) {
			sim.later(sim.between(time.Millisecond, 4*time.Millisecond), func() {
				if !answered && sim.scheduler == current {
					answered = true
					deliver(current)
				}
			})
		})
	})
	sim.later(time.Duration(order.WaitMs)*time.Millisecond+time.Second, func() {
		if !answered {
			answered = true
			sim.unanswered(current, order)
		}
	})
}

func (sim *simulation) unanswered(current *scheduler.Scheduler, order scheduler.Order) {
	if sim.scheduler != current || current == nil {
		return
	}
	switch order.Kind {
	case scheduler.OrderRenewLease:
		current.LeaseReplied(sim.now, order, scheduler.LeaseNoReply, scheduler.RunnerReport{})
	case scheduler.OrderStart:
		current.StartReplied(sim.now, order, scheduler.StartNoReply, 0)
	case scheduler.OrderStop:
		current.StopReplied(sim.now, order, scheduler.StopNotConfirmed, 0)
	}
}

// carryOut carries out an order at the runner, if there is one, and passes the reply to answer.
func (sim *simulation) carryOut(order scheduler.Order, answer func(deliver func(*scheduler.Scheduler))) {
	inc := sim.incarnationAt(order.Address)
	if inc == nil || sim.now < inc.unreachableUntil {
		return
	}
	if inc.id != order.Runner {
		answer(func(s *scheduler.Scheduler) {
			switch order.Kind {
			case scheduler.OrderRenewLease:
				s.LeaseReplied(sim.now, order, scheduler.LeaseOtherIncarnation, scheduler.RunnerReport{})
			case scheduler.OrderStart:
				s.StartReplied(sim.now, order, scheduler.StartOtherIncarnation, 0)
			case scheduler.OrderStop:
				s.StopReplied(sim.now, order, scheduler.StopOtherIncarnation, 0)
			}
		})
		return
	}
	switch order.Kind {
	case scheduler.OrderRenewLease:
		inc.renewLease(order, answer)
	case scheduler.OrderStart:
		reply := inc.start(order)
		sim.startOrders++
		if reply != scheduler.StartAccepted {
			sim.startsWithoutEffect++
		}
		clock := inc.clockMs()
		answer(func(s *scheduler.Scheduler) { s.StartReplied(sim.now, order, reply, clock) })
	case scheduler.OrderStop:
		reply := inc.stop(order)
		clock := inc.clockMs()
		answer(func(s *scheduler.Scheduler) { s.StopReplied(sim.now, order, reply, clock) })
	}
}
