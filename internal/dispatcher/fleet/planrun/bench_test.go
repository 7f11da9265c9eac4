package planrun

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/policy"
)

func chain(effects ...policy.Effect) Shape {
	s := Shape{MaxAttempts: 40, Timeout: 10 * time.Second}
	for i, e := range effects {
		st := StageShape{Name: string(rune('a' + i)), Class: "c", Effect: e, Retries: []RetryShape{{On: allEnds[3:10], MaxRetries: 2, Wait: 10 * ms, Jitter: 200}}}
		if i > 0 {
			st.After = []int{i - 1}
		}
		s.Stages = append(s.Stages, st)
	}
	return s
}

// BenchmarkPlans measures runs of a plan of three stages: a Start, and a SendAttempt and a
// ReportEnd for each stage.
func BenchmarkPlans(b *testing.B) {
	tracker, s, at := NewTracker(DefaultLimits()), chain(policy.Idempotent, policy.Deduplicated, policy.AtMostOnce), time.Duration(0)
	b.ReportAllocs()
	for i := range b.N {
		at += 100 * time.Microsecond
		id := fmt.Sprint("run", i)
		x, err := tracker.Start(at, Start{Run: id, Plan: "p", Shape: s, Before: at + time.Second, Process: "n", Incarnation: 1})
		var in []uint64
		for st := range 3 {
			if _, e := tracker.SendAttempt(at, SendAttempt{Run: id, Fence: x.Fence, Stage: st, Generation: 1, Inputs: in, Attempt: 1}); e != nil || err != nil {
				b.Fatal(e, err)
			}
			_, _ = tracker.ReportEnd(at, ReportEnd{Run: id, Fence: x.Fence, Stage: st, Attempt: 1, End: plan.Done, Result: []byte(`{"ok":true}`)})
			in = append(in, 1)
		}
		if tracker.Advance(at); tracker.answers[id] == nil {
			b.Fatal("not served")
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "plans/s")
}

// BenchmarkSnapshot measures the encoding of the state of 5,000 runs in progress.
func BenchmarkSnapshot(b *testing.B) {
	tracker, s := NewTracker(DefaultLimits()), chain(policy.Idempotent, policy.Deduplicated, policy.AtMostOnce)
	for i := range 5000 {
		_, _ = tracker.Start(0, Start{Run: fmt.Sprint("run", i), Plan: "p", Shape: s, Input: make([]byte, 200), Before: time.Second, Process: "n", Incarnation: 1})
	}
	for range b.N {
		text, err := tracker.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(text)))
	}
	one, _ := codec.Encode(tracker.runs["run7"])
	b.ReportMetric(float64(len(one)), "B/plan")
}

// BenchmarkStudy compares three ways to run fifty plans of four stages that share the list of
// one tour. A share of all attempts fails, and the list may be lost once it was produced. The
// plans run by the Tracker, with retries of each stage alone, or with such retries and each
// plan that finds the list lost producing it again for itself.
func BenchmarkStudy(b *testing.B) {
	for _, failing := range []float64{0, 0.1, 0.3} {
		for _, lost := range []bool{false, true} {
			for name, study := range map[string]func(*rand.Rand, float64, bool) (int, int, int){"book": studyTracker, "stage-alone": studyStageRetries(false), "own-list": studyStageRetries(true)} {
				b.Run(fmt.Sprintf("failing=%.0f%%/lost=%v/%s", failing*100, lost, name), func(b *testing.B) {
					var served, attempts, productions int
					for i := range b.N {
						s, a, m := study(rand.New(rand.NewPCG(uint64(i), 7)), failing, lost)
						served, attempts, productions = served+s, attempts+a, productions+m
					}
					n := float64(b.N)
					b.ReportMetric(float64(served)/n*2, "served/100")
					b.ReportMetric(float64(attempts)/n/50, "attempts/plan")
					b.ReportMetric(float64(served)/float64(attempts)*100, "served/100attempts")
					b.ReportMetric(float64(productions)/n, "lists")
				})
			}
		}
	}
}

// studyTracker runs the plans by a Tracker, in steps of 10 ms; each attempt takes one step.
func studyTracker(rng *rand.Rand, failing float64, lose bool) (served, attempts, productions int) { //nolint:gocognit // one scenario, to be read from top to bottom
	tracker, s, at, lost := NewTracker(DefaultLimits()), chain(policy.Idempotent, policy.Deduplicated, policy.Deduplicated, policy.Idempotent), time.Duration(0), uint64(0)
	s.Stages[0].Shared, s.Stages[0].SharedFor = true, time.Minute
	s.Stages[1].Reruns = []RerunShape{{Of: 0, Most: 2}}
	var ids []string
	for i := range 50 {
		ids = append(ids, fmt.Sprint(i))
		_, _ = tracker.Start(at, Start{Run: ids[i], Shape: s, Seed: uint64(i), Before: time.Minute, Process: "n"})
	}
	for len(tracker.runs) > 0 {
		at += 10 * ms
		for _, id := range ids {
			v, err := tracker.View(id)
			if err != nil {
				continue
			}
			for _, a := range Next(at, time.Second, v) {
				switch a.Kind {
				case OpenStage:
					_ = tracker.Open(at, Open{Run: id, Fence: v.Run.Fence, Stage: a.Stage, Key: "tour", Items: [][]byte{nil}})
				case SendJob:
					_, _ = tracker.SendAttempt(at, SendAttempt{Run: id, Fence: v.Run.Fence, Stage: a.Stage, Generation: a.Generation, Inputs: a.Inputs, Attempt: a.Attempt})
				case AwaitEnd:
					e := ReportEnd{Run: id, Fence: v.Run.Fence, Stage: a.Stage, Attempt: a.Attempt, End: plan.Done, Result: []byte("1")}
					if lose && a.Stage == 1 {
						lost = 1
					}
					if attempts++; rng.Float64() < failing {
						e.End = plan.Failed
					} else if in := v.Run.Stages[a.Stage].Items[0].Inputs; a.Stage == 1 && in[0] <= lost {
						e.End, e.Lost = plan.Lost, &LostInput{0, in[0]}
					} else if a.Stage == 0 {
						productions++
					}
					_, _ = tracker.ReportEnd(at, e)
				}
			}
		}
		tracker.Advance(at)
	}
	for _, a := range tracker.answers {
		if a.Outcome == Served {
			served++
		}
	}
	return served, attempts, productions
}

// studyStageRetries runs the plans without a Tracker: each stage has three tries, and the list
// is produced once and kept. With own, a plan whose second stage finds the list lost fails
// that stage at once, and produces the list again for itself.
func studyStageRetries(own bool) func(*rand.Rand, float64, bool) (int, int, int) { //nolint:gocognit // one scenario, to be read from top to bottom
	return func(rng *rand.Rand, failing float64, lost bool) (served, attempts, productions int) {
		try := func(bad bool) bool {
			for range 3 {
				if attempts++; rng.Float64() >= failing && !bad {
					return true
				}
				if bad && own {
					return false // it can detect the loss, so that it doesn't retry in vain
				}
			}
			return false
		}
		produced := false
		for range 50 {
			ok := produced || try(false)
			if ok && !produced {
				produced = true
				productions++
			}
			held := ok && try(lost)
			if ok && !held && lost && own {
				if ok = try(false); ok {
					productions++
				}
				held = ok && try(false)
			}
			if held && try(false) && try(false) {
				served++
			}
		}
		return served, attempts, productions
	}
}
