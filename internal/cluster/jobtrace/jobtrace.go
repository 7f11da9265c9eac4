// Package jobtrace appends the scheduler's commands, orders and reports to traces of package digesttest. It
// appends the value of each field in a fixed order. Only tests import it. Adding a field here changes all
// recorded digests.
package jobtrace

import (
	"cmp"
	"slices"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/scheduler"
	"basaltloft/internal/shared/digesttest"
)

// Task appends a reference to a task.
func Task(t *digesttest.Trace, task job.TaskRef) {
	t.String(task.Job).Int(int64(task.Occurrence), int64(task.Step), int64(task.Index))
}

// Command appends a command.
func Command(t *digesttest.Trace, c *job.Command) {
	t.Int(int64(c.Kind))
	Task(t, c.Task)
	t.Int(int64(c.Attempt)).String(c.Runner, c.Address).Int(int64(c.EndReason)).String(c.Checkpoint)
	t.Int(c.ProposedAtMs).String(c.Queue).Int(c.ConfigVersion).Bool(c.Submission != nil)
	if c.Submission != nil {
		submission(t, c.Submission)
	}
}

func submission(t *digesttest.Trace, n *job.Submission) {
	t.String(n.ID, n.Queue, n.Service).Uint(n.BodyHash)
	Spec(t, &n.Spec)
	t.Int(int64(n.Priority), int64(n.Retries), n.TargetMs).Float(n.Extension).Int(n.ConfigVersion)
}

// Spec appends a job's specification.
func Spec(t *digesttest.Trace, s *job.Spec) {
	t.String(s.Text).Int(int64(s.Repeats), s.StartAtMs, s.IntervalMs).Bool(s.LongRunning, s.Speculative).Int(int64(len(s.Steps)))
	for i := range s.Steps {
		step(t, &s.Steps[i])
	}
}

func step(t *digesttest.Trace, s *job.Step) {
	t.Int(int64(s.Count), s.CPU, s.MemMB, s.GPU, s.EstimateMs, int64(len(s.DependsOn)))
	for _, dependency := range s.DependsOn {
		t.Int(int64(dependency))
	}
	t.Bool(s.Checkpoints, s.Gang, s.SameRack).Int(int64(len(s.Constraints))).String(s.Constraints...)
	t.String(s.Affinity).Int(int64(s.AntiAffinity)).Bool(s.Speculative, s.LongRunning)
}

// Order appends an order to a runner.
func Order(t *digesttest.Trace, o *scheduler.Order) {
	t.Int(int64(o.Kind)).String(o.Runner, o.Address).Uint(o.Token)
	Task(t, o.Task)
	t.Int(int64(o.Attempt)).String(o.Spec, o.Checkpoint).Int(o.DeadlineMs).Uint(o.AckedThrough).Int(o.WaitMs).Uint(o.Sequence)
}

// SortStops sorts consecutive stop orders to one runner by their tasks. The build that recorded the digests sent
// such orders in the random order of a map, so that the recorded digests cover them sorted. All other orders
// keep their positions.
func SortStops(orders []scheduler.Order) {
	for begin := 0; begin < len(orders); {
		end := begin + 1
		for end < len(orders) && stopsTogether(&orders[begin], &orders[end]) {
			end++
		}
		slices.SortStableFunc(orders[begin:end], compareStops)
		begin = end
	}
}

func stopsTogether(a, b *scheduler.Order) bool {
	return a.Kind == scheduler.OrderStop && b.Kind == scheduler.OrderStop && a.Runner == b.Runner
}

func compareStops(a, b scheduler.Order) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Occurrence, b.Task.Occurrence), cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
}

// RunnerReport appends a runner's report.
func RunnerReport(t *digesttest.Trace, r *scheduler.RunnerReport) {
	t.Int(r.ClockMs, r.RemainingMs, int64(len(r.Running)))
	for _, run := range r.Running {
		Task(t, run.Task)
		t.Int(int64(run.Attempt)).String(run.Checkpoint).Int(int64(run.Percent))
	}
	t.Int(int64(len(r.Finished)))
	for _, end := range r.Finished {
		t.Uint(end.Number)
		Task(t, end.Task)
		t.Int(int64(end.Attempt), int64(end.Reason)).String(end.Checkpoint)
	}
}
