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

// The benchmarks measure a scheduler under load: runners accept all orders to start, runs end and
// new jobs arrive. Each step of benchStep runs all of this, but only the scheduler's own calls are
// measured.
//
//	go test -run '^$' -bench 'Cycle|Tick' ./internal/cluster/scheduler

const (
	// benchStep is the virtual time of one step.
	benchStep = 5 * time.Millisecond
	// benchSlots is the number of short tasks that a runner has capacity for. A long-running task
	// takes half of that capacity.
	benchSlots = 4
	// benchRate is the number of short tasks per second, benchJobTasks the number of tasks per job,
	// and benchTaskTime the run time of each task.
	benchRate     = 900
	benchJobTasks = 4
	benchTaskTime = 600 * time.Millisecond
	// benchBacklog is the number of waiting jobs in benchmarks with a backlog, each with one task
	// that needs a whole runner.
	benchBacklog = 2000
	// benchWarmup is the number of steps that run before the measurement, both before and after the
	// backlog is submitted.
	benchWarmup = 800
	// benchInitialClockMs is the initial time of the runners' clocks. It isn't 0, which would mean
	// that the clock is not known.
	benchInitialClockMs = 1000
)

// benchRun is a run at a runner of the benchmarks.
type benchRun struct {
	reported scheduler.ReportedRun
	endsAt   time.Duration
}

// benchRunner accepts all orders to start, runs each task for benchTaskTime (long-running tasks
// until they are stopped) and replies to a renewal when a run ends or the wait is over.
type benchRunner struct {
	running  []benchRun
	finished []scheduler.ReportedEnd
	number   uint64
	renewal  *scheduler.Order // the pending renewal; nil if there is none
	replyAt  time.Duration    // when to reply to the renewal if no run ends
}

// neverEnds is the end of a run that continues until it is stopped.
const neverEnds = time.Duration(math.MaxInt64)

// benchFleet is a scheduler with its store and runners.
type benchFleet struct {
	store     *job.Store
	scheduler *scheduler.Scheduler
	now       time.Duration
	runners   map[string]*benchRunner
	inOrder   []string
	replies   []scheduler.Order // orders to start and to stop of the last step
	unapplied scheduler.Output  // commands of the last step
	serial    int
	rate      float64 // short tasks per second
	owed      float64 // number of tasks still to be submitted according to the rate

	spent  map[string]time.Duration // time spent in the scheduler, by kind of call
	starts int                      // number of confirmed starts
	ends   int                      // number of committed ends

	renewals int // number of lease renewals that were ordered
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

// timed makes a call of the scheduler and adds its duration to spent.
func (f *benchFleet) timed(kind string, call func()) {
	began := time.Now()
	call()
	f.spent[kind] += time.Since(began)
}

// step simulates benchStep of virtual time.
func (f *benchFleet) step() {
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

// benchResources returns the resources of the given number of slots.
func benchResources(slots int64) job.Resources {
	return job.Resources{CPU: 1000 * slots, MemMB: 1000 * slots}
}

// submit submits a job of one step.
func (f *benchFleet) submit(step job.Step) {
	f.serial++
	spec := job.Spec{Text: "t", Steps: []job.Step{step}, LongRunning: step.LongRunning}
	submission := &job.Submission{ID: fmt.Sprintf("%016x", f.serial), Queue: "h/q/", Service: "desk", Retries: 3, Spec: spec}
	f.apply(job.Command{Kind: job.AcceptJob, ProposedAtMs: f.now.Milliseconds(), Submission: submission})
}

// apply commits a command and passes its outcome to the scheduler.
func (f *benchFleet) apply(command job.Command) {
	outcome := f.store.Apply(command)
	if command.Kind == job.EndRun && outcome == job.Applied {
		f.ends++
	}
	f.timed("applied", func() { f.scheduler.Applied(f.now, command, outcome) })
}

// applyCommands commits the commands of the last step.
func (f *benchFleet) applyCommands() {
	for _, command := range f.unapplied.Commands {
		f.apply(command)
	}
	if len(f.unapplied.Commands) > 0 {
		f.timed("committed", func() { f.scheduler.Committed(f.now, f.unapplied.Batch) })
	}
	f.unapplied.Commands = nil
}

// replyToOrders makes the runners carry out the orders to start and to stop of the last step.
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

// endRuns ends the runs whose time is over, and replies to the renewals that are due for a reply.
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

// percent returns the progress of a run. The reported progress of a run that never ends also
// changes.
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

// benchWork runs one benchmark. It reports the time of one kind of call per step as the benchmark's
// time, the total time of all calls per run, and the rate of starts.
func benchWork(b *testing.B, runners int, backlog bool, kind string) {
	f := warmBenchFleet(runners, benchRate, backlog)
	for b.Loop() {
		f.step()
	}
	total := f.total(b)
	b.ReportMetric(float64(f.spent[kind].Nanoseconds())/float64(b.N), "ns/op")
	b.ReportMetric(float64(total.Nanoseconds())/float64(f.starts), "ns/run")
	b.ReportMetric(float64(f.starts)/(float64(b.N)*benchStep.Seconds()), "starts/s")
}

// warmBenchFleet returns a fleet under load after the warm-up, with all counters at zero.
func warmBenchFleet(runners int, rate float64, backlog bool) *benchFleet {
	f := newBenchFleet(runners, rate)
	f.submit(job.Step{Count: runners, Resources: benchResources(benchSlots / 2), AntiAffinity: 1, LongRunning: true})
	for range benchWarmup {
		f.step()
	}
	if backlog {
		for range benchBacklog {
			f.submit(job.Step{Count: 1, EstimateMs: benchTaskTime.Milliseconds(), Resources: benchResources(benchSlots)})
		}
	}
	for range benchWarmup {
		f.step()
	}
	clear(f.spent)
	f.starts, f.ends, f.renewals = 0, 0, 0
	return f
}

// total returns the total time of all calls of the scheduler. It fails the benchmark if no run has
// started or ended.
func (f *benchFleet) total(b *testing.B) time.Duration {
	b.Helper()
	if f.starts == 0 || f.ends == 0 {
		b.Fatalf("%d starts and %d ends in %d steps: the scheduler was idle", f.starts, f.ends, b.N)
	}
	total := time.Duration(0)
	for _, spent := range f.spent {
		total += spent
	}
	return total
}

// benchSizes are the numbers of runners of the grown and the large deployments, and of the target.
var benchSizes = []int{350, 1700, 3000, 6200}

// benchEach runs a benchmark for each size, with and without a backlog.
func benchEach(b *testing.B, kind string) {
	for _, runners := range benchSizes {
		for _, backlog := range []bool{false, true} {
			b.Run(fmt.Sprintf("runners=%d/backlog=%v", runners, backlog), func(b *testing.B) { benchWork(b, runners, backlog, kind) })
		}
	}
}

// BenchmarkCycle measures TakeOutput once per step: the scheduling cycle and the collected orders
// and commands.
func BenchmarkCycle(b *testing.B) { benchEach(b, "cycle") }

// BenchmarkTick measures Tick: the check of all runners in one of eight steps, averaged over all
// steps.
func BenchmarkTick(b *testing.B) { benchEach(b, "tick") }

// Numbers of runners and of short tasks per second of the busiest leader of a large deployment.
const (
	loadRunners = 1224
	loadRate    = 2000
)

// BenchmarkLoad measures the scheduler's time per run, by kind of call, and the number of lease
// renewals per second, for the busiest leader of a large deployment. A step is benchStep of virtual
// time, so ns/op divided by benchStep is the fraction of a core that is used.
func BenchmarkLoad(b *testing.B) {
	for _, backlog := range []bool{false, true} {
		b.Run(fmt.Sprintf("backlog=%v", backlog), func(b *testing.B) {
			f := warmBenchFleet(loadRunners, loadRate, backlog)
			for b.Loop() {
				f.step()
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
