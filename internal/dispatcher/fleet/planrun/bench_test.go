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

// BenchmarkPlans is one plan of three stages: its Start, three Sendings, three Ends.
func BenchmarkPlans(b *testing.B) {
	book, s, at := NewTracker(DefaultLimits()), chain(policy.Idempotent, policy.Deduplicated, policy.AtMostOnce), time.Duration(0)
	b.ReportAllocs()
	for i := range b.N {
		at += 100 * time.Microsecond
		id := fmt.Sprint("run", i)
		x, err := book.Start(at, Start{Run: id, Plan: "p", Shape: s, Before: at + time.Second, Process: "n", Incarnation: 1})
		var in []uint64
		for st := range 3 {
			if _, e := book.SendAttempt(at, SendAttempt{Run: id, Fence: x.Fence, Stage: st, Generation: 1, Inputs: in, Attempt: 1}); e != nil || err != nil {
				b.Fatal(e, err)
			}
			_, _ = book.ReportEnd(at, ReportEnd{Run: id, Fence: x.Fence, Stage: st, Attempt: 1, End: plan.Done, Result: []byte(`{"ok":true}`)})
			in = append(in, 1)
		}
		if book.Advance(at); book.answers[id] == nil {
			b.Fatal("not served")
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "plans/s")
}

// BenchmarkSnapshot is the encoding of 5,000 plans under way.
func BenchmarkSnapshot(b *testing.B) {
	book, s := NewTracker(DefaultLimits()), chain(policy.Idempotent, policy.Deduplicated, policy.AtMostOnce)
	for i := range 5000 {
		_, _ = book.Start(0, Start{Run: fmt.Sprint("run", i), Plan: "p", Shape: s, Input: make([]byte, 200), Before: time.Second, Process: "n", Incarnation: 1})
	}
	for range b.N {
		text, err := book.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(text)))
	}
	one, _ := codec.Encode(book.runs["run7"])
	b.ReportMetric(float64(len(one)), "B/plan")
}

// BenchmarkStudy runs fifty plans of one tour, whose list is lost once all have it,
// with some of all stage runs failing: by the Tracker, by retries of each stage alone, and
// with a plan that meets the loss making the list anew for itself.
func BenchmarkStudy(b *testing.B) {
	for _, failing := range []float64{0, 0.1, 0.3} {
		for _, lost := range []bool{false, true} {
			for name, study := range map[string]func(*rand.Rand, float64, bool) (int, int, int){"book": byBook, "stage-alone": byStage(false), "own-list": byStage(true)} {
				b.Run(fmt.Sprintf("failing=%.0f%%/lost=%v/%s", failing*100, lost, name), func(b *testing.B) {
					var served, attempts, makes int
					for i := range b.N {
						s, a, m := study(rand.New(rand.NewPCG(uint64(i), 7)), failing, lost)
						served, attempts, makes = served+s, attempts+a, makes+m
					}
					n := float64(b.N)
					b.ReportMetric(float64(served)/n*2, "served/100")
					b.ReportMetric(float64(attempts)/n/50, "attempts/plan")
					b.ReportMetric(float64(served)/float64(attempts)*100, "served/100attempts")
					b.ReportMetric(float64(makes)/n, "lists")
				})
			}
		}
	}
}

// byBook steps through time; each attempt takes 10 ms.
func byBook(rng *rand.Rand, failing float64, lose bool) (served, attempts, makes int) { //nolint:gocognit // one scenario, to be read from top to bottom
	book, s, at, lost := NewTracker(DefaultLimits()), chain(policy.Idempotent, policy.Deduplicated, policy.Deduplicated, policy.Idempotent), time.Duration(0), uint64(0)
	s.Stages[0].Shared, s.Stages[0].SharedFor = true, time.Minute
	s.Stages[1].Reruns = []RerunShape{{Of: 0, Most: 2}}
	var ids []string
	for i := range 50 {
		ids = append(ids, fmt.Sprint(i))
		_, _ = book.Start(at, Start{Run: ids[i], Shape: s, Seed: uint64(i), Before: time.Minute, Process: "n"})
	}
	for len(book.runs) > 0 {
		at += 10 * ms
		for _, id := range ids {
			v, err := book.View(id)
			if err != nil {
				continue
			}
			for _, a := range Next(at, time.Second, v) {
				switch a.Kind {
				case OpenStage:
					_ = book.Open(at, Open{Run: id, Fence: v.Run.Fence, Stage: a.Stage, Key: "tour", Items: [][]byte{nil}})
				case SendJob:
					_, _ = book.SendAttempt(at, SendAttempt{Run: id, Fence: v.Run.Fence, Stage: a.Stage, Generation: a.Generation, Inputs: a.Inputs, Attempt: a.Attempt})
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
						makes++
					}
					_, _ = book.ReportEnd(at, e)
				}
			}
		}
		book.Advance(at)
	}
	for _, a := range book.answers {
		if a.Outcome == Served {
			served++
		}
	}
	return served, attempts, makes
}

// byStage has three tries for each stage, and a list that is made once and kept.
func byStage(own bool) func(*rand.Rand, float64, bool) (int, int, int) { //nolint:gocognit // one scenario, to be read from top to bottom
	return func(rng *rand.Rand, failing float64, lost bool) (served, attempts, makes int) {
		try := func(bad bool) bool {
			for range 3 {
				if attempts++; rng.Float64() >= failing && !bad {
					return true
				}
				if bad && own {
					return false // it knows that trying again is of no use
				}
			}
			return false
		}
		made := false
		for range 50 {
			ok := made || try(false)
			if ok && !made {
				made = true
				makes++
			}
			held := ok && try(lost)
			if ok && !held && lost && own {
				if ok = try(false); ok {
					makes++
				}
				held = ok && try(false)
			}
			if held && try(false) && try(false) {
				served++
			}
		}
		return served, attempts, makes
	}
}
