package scheduler_test

import (
	"fmt"
	"log/slog"
	"math"
	"testing"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/scheduler"
)

// The benchmarks time a scheduler that is at work: runners accept what they are ordered to start, runs
// end, and new jobs come. Of each turn of benchStep only the scheduler's own calls are timed.
//
//	go test -run '^$' -bench 'Cycle|Tick' ./internal/cluster/scheduler

const (
	// benchStep is the virtual time of one turn.
	benchStep = 5 * time.Millisecond
	// benchSlots is how many quick tasks a runner has capacity for. A long-running task takes half of it.
	benchSlots = 4
	// benchRate is how many quick tasks a second come, benchJobTasks a job, and benchTaskTime how long
	// each takes.
	benchRate     = 900
	benchJobTasks = 4
	benchTaskTime = 600 * time.Millisecond
	// benchBacklog is how many jobs of a task that needs a whole runner wait, where there is a backlog.
	benchBacklog = 2000
	// benchWarmup is how many turns pass before any is timed.
	benchWarmup = 800
	// benchInitialClockMs is what the runners' clocks show at first; 0 would mean that they have none.
	benchInitialClockMs = 1000
)

// benchRun is a run at a runner of the benchmarks.
type benchRun struct {
	reported scheduler.ReportedRun
	endsAt   time.Duration
}

// benchRunner accepts all that it is ordered to start, runs it for as long as its job estimated, and
// holds a renewal until an end comes or its wait is over.
type benchRunner struct {
	running  []benchRun
	finished []scheduler.ReportedEnd
	number   uint64
	renewal  *scheduler.Order // nil: none waits
	replyAt  time.Duration    // when it is replied to without an end
}

// neverEnds is the end of a run that goes on until it is stopped.
const neverEnds = time.Duration(math.MaxInt64)

// benchFleet is a scheduler with its store and runners.
type benchFleet struct {
	store     *job.Store
	scheduler *scheduler.Scheduler
	now       time.Duration
	runners   map[string]*benchRunner
	inOrder   []string
	replies   []scheduler.Order // starts and stops of the last turn
	unapplied scheduler.Output  // commands of the last turn
	serial    int
	rate      float64 // quick tasks a second
	owed      float64 // tasks that are to be submitted, by the rate

	spent  map[string]time.Duration // in the scheduler, by kind of call
	starts int                      // starts that were confirmed
	ends   int                      // ends that were committed

	renewals int // renewals of leases that were ordered
}

func newBenchFleet(runners int, rate float64) *benchFleet {
	f := &benchFleet{
		rate: rate, store: job.NewStore(), now: time.Hour, runners: map[string]*benchRunner{}, spent: map[string]time.Duration{},
	}
	f.scheduler = scheduler.New(f.store, 1, scheduler.Config{MaxLease: maxLease, RemoteSlowdown: 1.5, StatusRetention: time.Second}, f.now, f.now.Milliseconds(), slog.New(slog.DiscardHandler))
	var list []scheduler.Runner
	for i := range runners {
		id := fmt.Sprint("i-", i)
		f.runners[id] = &benchRunner{}
		f.inOrder = append(f.inOrder, id)
		list = append(list, scheduler.Runner{ID: id, Service: "desk", Address: fmt.Sprint("10.0.0.1:", i), Labels: []string{"a", fmt.Sprint("r-", i/8)},
			Capacity: benchResources(benchSlots)})
	}
	f.scheduler.UpdateRunners(f.now, list)
	return f
}

func (f *benchFleet) clockMs() int64 { return benchInitialClockMs + (f.now - time.Hour).Milliseconds() }

// timed runs a call of the scheduler.
func (f *benchFleet) timed(kind string, call func()) {
	began := time.Now()
	call()
	f.spent[kind] += time.Since(began)
}

// turn lets benchStep pass.
func (f *benchFleet) turn() {
	f.now += benchStep
	for f.owed += f.rate * benchStep.Seconds(); f.owed >= benchJobTasks; f.owed -= benchJobTasks {
		f.submit(job.Step{Count: benchJobTasks, EstimateMs: benchTaskTime.Milliseconds(), Resources: benchResources(1)})
	}
	f.replyToOrders()
	f.endRuns()
	f.applyCommands()
	f.timed("tick", func() { f.scheduler.Tick(f.now, f.now.Milliseconds()) })
	f.timed("cycle", func() { f.unapplied = f.scheduler.TakeOutput(f.now, true) })
	for at := range f.unapplied.Orders {
		order := &f.unapplied.Orders[at]
		if order.Kind != scheduler.OrderRenewLease {
			f.replies = append(f.replies, *order)
			continue
		}
		f.renewals++
		runner := f.runners[order.Runner]
		runner.renewal, runner.replyAt = order, f.now+time.Duration(order.WaitMs)*time.Millisecond
	}
}

// benchResources returns the resources of so many slots.
func benchResources(slots int64) job.Resources {
	return job.Resources{CPU: 1000 * slots, MemMB: 1000 * slots}
}

// submit accepts a job of one step.
func (f *benchFleet) submit(step job.Step) {
	f.serial++
	spec := job.Spec{Text: "t", Steps: []job.Step{step}, LongRunning: step.LongRunning}
	submission := &job.Submission{ID: fmt.Sprintf("%016x", f.serial), Queue: "h/q/", Service: "desk", Retries: 3, Spec: spec}
	f.apply(job.Command{Kind: job.AcceptJob, ProposedAtMs: f.now.Milliseconds(), Submission: submission})
}

func (f *benchFleet) apply(command job.Command) {
	outcome := f.store.Apply(command)
	if command.Kind == job.EndRun && outcome == job.Applied {
		f.ends++
	}
	f.timed("applied", func() { f.scheduler.Applied(f.now, command, outcome) })
}

// applyCommands commits what the last turn proposed.
func (f *benchFleet) applyCommands() {
	for _, command := range f.unapplied.Commands {
		f.apply(command)
	}
	if len(f.unapplied.Commands) > 0 {
		f.timed("committed", func() { f.scheduler.Committed(f.now, f.unapplied.Batch) })
	}
	f.unapplied.Commands = nil
}

// replyToOrders lets the runners carry out the starts and stops of the last turn.
func (f *benchFleet) replyToOrders() {
	orders := f.replies
	f.replies = nil
	for _, order := range orders {
		if order.Kind == scheduler.OrderStop {
			f.timed("replied", func() { f.scheduler.StopReplied(f.now, order, scheduler.StopConfirmed, f.clockMs()) })
			continue
		}
		run := benchRun{reported: scheduler.ReportedRun{Task: order.Task, Attempt: order.Attempt}, endsAt: f.now + benchTaskTime}
		if f.store.Jobs[order.Task.Job].Spec.LongRunning {
			run.endsAt = neverEnds
		}
		f.runners[order.Runner].running = append(f.runners[order.Runner].running, run)
		f.starts++
		f.timed("replied", func() { f.scheduler.StartReplied(f.now, order, scheduler.StartAccepted, f.clockMs()) })
	}
}

// endRuns ends the runs whose time is over, and replies to the renewals that have waited long enough.
func (f *benchFleet) endRuns() {
	for _, id := range f.inOrder {
		runner := f.runners[id]
		f.endRunsOf(runner)
		if runner.renewal == nil || len(runner.finished) == 0 && f.now < runner.replyAt {
			continue
		}
		order := *runner.renewal
		runner.renewal = nil
		for len(runner.finished) > 0 && runner.finished[0].Number <= order.AckedThrough {
			runner.finished = runner.finished[1:]
		}
		report := scheduler.RunnerReport{ClockMs: f.clockMs(), Finished: runner.finished}
		for _, run := range runner.running {
			run.reported.Percent = f.percent(run)
			report.Running = append(report.Running, run.reported)
		}
		f.timed("replied", func() { f.scheduler.LeaseReplied(f.now, order, scheduler.LeaseRenewed, report) })
	}
}

// percent returns how much of a run is done. One that never ends goes on all the same.
func (f *benchFleet) percent(run benchRun) int {
	if run.endsAt == neverEnds {
		return int(f.now/benchTaskTime) % 100
	}
	return 100 - int(100*(run.endsAt-f.now)/benchTaskTime)
}

func (f *benchFleet) endRunsOf(runner *benchRunner) {
	kept := runner.running[:0]
	for _, run := range runner.running {
		if run.endsAt > f.now {
			kept = append(kept, run)
			continue
		}
		runner.number++
		runner.finished = append(runner.finished, scheduler.ReportedEnd{Number: runner.number, Task: run.reported.Task, Attempt: run.reported.Attempt, Reason: job.EndDone})
	}
	runner.running = kept
}

// benchWork runs the turns of one benchmark, and reports the time of one kind of call a turn as its
// time; also what the scheduler spends on all calls for a run.
func benchWork(b *testing.B, runners int, backlog bool, kind string) {
	f := warmBenchFleet(runners, benchRate, backlog)
	for b.Loop() {
		f.turn()
	}
	total := f.total(b)
	b.ReportMetric(float64(f.spent[kind].Nanoseconds())/float64(b.N), "ns/op")
	b.ReportMetric(float64(total.Nanoseconds())/float64(f.starts), "ns/run")
	b.ReportMetric(float64(f.starts)/(float64(b.N)*benchStep.Seconds()), "starts/s")
}

// warmBenchFleet returns a fleet at work, with nothing counted yet.
func warmBenchFleet(runners int, rate float64, backlog bool) *benchFleet {
	f := newBenchFleet(runners, rate)
	f.submit(job.Step{Count: runners, Resources: benchResources(benchSlots / 2), AntiAffinity: 1, LongRunning: true})
	for range benchWarmup {
		f.turn()
	}
	if backlog {
		for range benchBacklog {
			f.submit(job.Step{Count: 1, EstimateMs: benchTaskTime.Milliseconds(), Resources: benchResources(benchSlots)})
		}
	}
	for range benchWarmup {
		f.turn()
	}
	clear(f.spent)
	f.starts, f.ends, f.renewals = 0, 0, 0
	return f
}

// total returns the time of all calls of the scheduler.
func (f *benchFleet) total(b *testing.B) time.Duration {
	b.Helper()
	if f.starts == 0 || f.ends == 0 {
		b.Fatalf("%d starts and %d ends in %d turns: the scheduler was not at work", f.starts, f.ends, b.N)
	}
	total := time.Duration(0)
	for _, spent := range f.spent {
		total += spent
	}
	return total
}

// benchSizes are the runners of the grown and large deployments, and those of the target.
var benchSizes = []int{350, 1700, 3000, 6200}

func benchEach(b *testing.B, kind string) {
	for _, runners := range benchSizes {
		for _, backlog := range []bool{false, true} {
			b.Run(fmt.Sprintf("runners=%d/backlog=%v", runners, backlog), func(b *testing.B) { benchWork(b, runners, backlog, kind) })
		}
	}
}

// BenchmarkCycle is the output of a turn: its scheduling cycle, and the orders and commands.
func BenchmarkCycle(b *testing.B) { benchEach(b, "cycle") }

// BenchmarkTick is the check of all runners, one turn in eight, spread over the turns.
func BenchmarkTick(b *testing.B) { benchEach(b, "tick") }

// Runners and quick tasks a second of the busiest leader of a large deployment.
const (
	loadRunners = 1224
	loadRate    = 2000
)

// BenchmarkLoad is what a run costs the scheduler of a large deployment's busiest leader, by kind of
// call, and how many renewals of leases it sends a second. A turn is benchStep of virtual time: ns/op over
// that is the part of a core.
func BenchmarkLoad(b *testing.B) {
	for _, backlog := range []bool{false, true} {
		b.Run(fmt.Sprintf("backlog=%v", backlog), func(b *testing.B) {
			f := warmBenchFleet(loadRunners, loadRate, backlog)
			for b.Loop() {
				f.turn()
			}
			total := f.total(b)
			b.ReportMetric(float64(total.Nanoseconds())/float64(b.N), "ns/op")
			for kind, spent := range f.spent {
				b.ReportMetric(float64(spent.Nanoseconds())/float64(f.starts), kind+"-ns/run")
			}
			virtual := float64(b.N) * benchStep.Seconds()
			b.ReportMetric(float64(f.starts)/virtual, "starts/s")
			b.ReportMetric(float64(f.renewals)/virtual, "renewals/s")
		})
	}
}
