package planrun

import (
	"errors"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var allEnds = []plan.End{plan.Done, plan.Done, plan.Done, plan.Refused, plan.Full, plan.Unsent, plan.Late, plan.Failed, plan.Reset, plan.MayRun, plan.Lost}

// sentAttempt is what the model stores of an attempt that was accepted.
type sentAttempt struct {
	SendAttempt
	end       plan.End
	counted   int
	takenOver bool // the run was claimed by another coordinator while it was in flight
}

// TestModel applies random commands, valid and invalid, to a Tracker. The model is the history
// of the attempts and ends that the Tracker accepted; the test checks the rules against it.
func TestModel(t *testing.T) { //nolint:funlen,gocognit // one scenario, to be read from top to bottom
	shape := booking(3)
	shape.MaxAttempts = 30
	shape.Stages[2].Undo = &UndoShape{Class: "refund", Effect: policy.AtMostOnce, MaxTries: 2}
	outcomes := map[Outcome]int{}
	check := func(t *rapid.T) {
		l := DefaultLimits()
		l.Runs, l.AnswersWithResults, l.Grace = 3, 1, 200*ms
		r, at := newReplicas(l), time.Duration(0)
		fence, history, answers := map[string]uint64{}, map[string][]*sentAttempt{}, map[string]*Answer{}
		run := func(t *rapid.T) string { return rapid.SampledFrom([]string{"r1", "r2", "r3", "r4"}).Draw(t, "run") }
		draw := func(t *rapid.T, label string, most int) int { return rapid.IntRange(0, most).Draw(t, label) }
		view := func(id string) *Run {
			v, _ := r[0].View(id)
			return v.Run
		}
		send := func(t *rapid.T, c SendAttempt, v *Run) {
			id := c.Run
			reply, err := r.apply(at, c)
			if err != nil || reply.Sent.Again {
				return
			}
			require.Equal(t, fence[id], c.Fence, "an attempt with an older fencing number was accepted")
			require.Equal(t, c.Undo, v.GaveUp != nil)
			sh, n := shape.Stages[c.Stage], uint32(0)
			effect := sh.Effect
			if c.Undo {
				effect = sh.Undo.Effect
			}
			for _, h := range history[id] {
				if h.Stage == c.Stage && h.Item == c.Item && h.Undo == c.Undo {
					n++
					require.True(t, h.counted > 0 || h.takenOver, "two attempts at once")
					require.False(t, effect == policy.AtMostOnce && (h.takenOver && h.counted == 0 || h.end.MayHaveRun()), "an at-most-once job that may have run was sent again")
				}
				if c.Undo && !h.Undo {
					require.True(t, h.counted > 0 || h.takenOver, "an undo while a job was in flight")
				}
			}
			require.Equal(t, n+1, c.Attempt)
			if !c.Undo {
				require.Equal(t, v.Stages[c.Stage].Generation, c.Generation)
				require.Equal(t, v.inputGenerations(v.shape, c.Stage), c.Inputs)
				require.Less(t, at, v.Deadline)
			}
			history[id] = append(history[id], &sentAttempt{SendAttempt: c})
			require.LessOrEqual(t, len(history[id]), shape.MaxAttempts)
		}
		end := func(t *rapid.T, h *sentAttempt, how plan.End) {
			id := h.Run
			e := ReportEnd{Run: id, Fence: h.Fence, Stage: h.Stage, Item: h.Item, Undo: h.Undo, Attempt: h.Attempt, End: how, Result: []byte("1")}
			if e.End == plan.Lost && len(h.Inputs) > 0 {
				e.Lost = &LostInput{0, h.Inputs[0]}
			}
			before := view(id)
			reply, err := r.apply(at, e)
			if c := *reply.Counted; err == nil && c.Accepted {
				require.True(t, h.counted == 0 && (!h.takenOver || e.End == plan.Done) || e.End == plan.Done && h.end != plan.Done, "counted twice")
				h.end = e.End
				h.counted++
				if now := view(id); e.End == plan.Lost && !h.Undo && now != nil && before.GaveUp == nil && now.GaveUp == nil && before.Stages[0].RerunsUsed < 2 {
					require.Greater(t, now.Stages[0].Generation, h.Inputs[0])
					require.LessOrEqual(t, now.Stages[0].RerunsUsed, 2)
					require.Equal(t, before.Stages[0].LostThrough >= h.Inputs[0], now.Stages[0].RerunsUsed == before.Stages[0].RerunsUsed, "a loss counts once")
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"go on": func(t *rapid.T) { // as a correct coordinator does, for some steps
				id := run(t)
				for range draw(t, "steps", 30) {
					v, err := r[0].View(id)
					if err != nil {
						return
					}
					for _, a := range Next(at, l.Grace, v) {
						switch a.Kind {
						case OpenStage:
							o := Open{Run: id, Fence: fence[id], Stage: a.Stage, Items: make([][]byte, max(1, v.Shape.Stages[a.Stage].MaxItems))}
							if a.Stage == 0 {
								o.Key = "tour"
							}
							_, _ = r.apply(at, o)
						case SendJob, SendUndo:
							send(t, SendAttempt{Run: id, Fence: fence[id], Stage: a.Stage, Item: a.Item, Undo: a.Undo, Generation: a.Generation, Inputs: a.Inputs, Attempt: a.Attempt}, view(id))
						case AwaitEnd:
							for _, h := range history[id] {
								if h.Stage == a.Stage && h.Item == a.Item && h.Undo == a.Undo && h.Attempt == a.Attempt {
									end(t, h, rapid.SampledFrom(append(allEnds, plan.Done, plan.Done, plan.Done, plan.Done, plan.Done, plan.Done, plan.Done, plan.Done)).Draw(t, "end"))
								}
							}
						case WaitUntil:
							at = min(a.At, at+25*ms)
							_, _ = r.apply(at, nil)
						}
					}
				}
			},
			"start": func(t *rapid.T) {
				id := run(t)
				known := view(id) != nil || answers[id] != nil
				reply, err := r.apply(at, Start{Run: id, Plan: "p", Shape: shape, Before: at + 2*time.Second, Seed: 1, Process: "n1", Incarnation: 1})
				if x := *reply.Started; err == nil {
					require.Equal(t, known, x.Known)
					if require.Equal(t, answers[id], x.Answer); x.Fence > 0 {
						fence[id] = x.Fence
					}
				} else {
					require.False(t, known)
				}
			},
			"open": func(t *rapid.T) {
				o := Open{Run: run(t), Stage: draw(t, "stage", 2), Items: make([][]byte, draw(t, "items", 4))}
				if o.Fence = fence[o.Run]; o.Stage == 0 {
					o.Key, o.Items = "tour", o.Items[:min(1, len(o.Items))]
				}
				_, _ = r.apply(at, o)
			},
			"send": func(t *rapid.T) {
				id := run(t)
				v := view(id)
				if v == nil {
					t.Skip()
				}
				c := SendAttempt{Run: id, Fence: fence[id] - uint64(draw(t, "older", 4)/4), Stage: draw(t, "stage", 3), Undo: v.GaveUp != nil, RemainingTime: 10 * ms}
				if items := v.Stages[c.Stage].Items; len(items) > 0 {
					c.Item = draw(t, "item", len(items)-1)
					c.Attempt = items[c.Item].Job.Attempt + 1
					if c.Undo {
						c.Attempt = items[c.Item].Undo.Attempt + 1
					}
				}
				c.Attempt += uint32(draw(t, "ahead", 4) / 4)
				c.Generation = v.Stages[c.Stage].Generation - uint64(draw(t, "stale", 4)/4)
				c.Inputs = v.inputGenerations(v.shape, c.Stage)
				if len(c.Inputs) > 0 {
					c.Inputs[0] -= uint64(draw(t, "old input", 2) / 2)
				}
				send(t, c, v)
			},
			"end": func(t *rapid.T) {
				id := run(t)
				if len(history[id]) == 0 {
					t.Skip()
				}
				h := history[id][len(history[id])-1-draw(t, "which", min(3, len(history[id])-1))]
				end(t, h, rapid.SampledFrom(allEnds).Draw(t, "end"))
			},
			"take over": func(t *rapid.T) {
				if draw(t, "rarely", 3) > 0 {
					t.Skip()
				}
				_, _ = r.apply(at, LeaseExpired{"n1", 1})
				reply, _ := r.apply(at, Claim{Process: "n1", Incarnation: 1, MaxRuns: draw(t, "most", 3)})
				for _, c := range reply.Claimed {
					require.Greater(t, c.Fence, fence[c.Run])
					fence[c.Run] = c.Fence
					for _, h := range history[c.Run] {
						h.takenOver = h.takenOver || h.counted == 0
					}
				}
			},
			"abandon": func(t *rapid.T) {
				if id := run(t); draw(t, "rarely", 9) == 0 {
					_, _ = r.apply(at, Abandon{Run: id, Fence: fence[id], Stage: -1, End: plan.Failed, Reason: "told to"})
				}
			},
			"time": func(t *rapid.T) {
				at += time.Duration(draw(t, "ms", 60)*rapid.SampledFrom([]int{1, 1, 20}).Draw(t, "times")) * ms
				_, _ = r.apply(at, nil)
			},
			"": func(t *rapid.T) {
				r.requireEqual(t)
				for _, id := range []string{"r1", "r2", "r3", "r4"} {
					a, err := r.apply(at, Finish{id})
					if old := answers[id]; old != nil {
						if a := r[0].Answer(id); old.ResultsOmitted != a.ResultsOmitted {
							old.Results, old.ResultsOmitted = nil, true // the oldest answers lose their results
						}
						require.Equal(t, old, r[0].Answer(id))
					} else if err == nil {
						answers[id] = a.Answer
						checkAnswer(t, answers[id], history[id])
						outcomes[answers[id].Outcome]++
					} else if v := view(id); v != nil {
						require.Less(t, at, v.Deadline+l.Grace)
						require.Equal(t, len(history[id]), v.AttemptsUsed)
					} else {
						require.True(t, errors.Is(err, ErrUnknownRun))
					}
				}
			},
		})
	}
	for range 10 {
		rapid.Check(t, check)
		if len(outcomes) == int(Unknown)+1 {
			return
		}
	}
	t.Fatalf("only %v were met: the model tests little", outcomes)
}

// checkAnswer checks an answer against the history of its run.
func checkAnswer(t *rapid.T, a *Answer, history []*sentAttempt) {
	ran, unknownTicket := false, false
	for _, h := range history {
		if !h.Undo && (h.counted == 0 || h.end.MayHaveRun()) {
			ran = true
			unknownTicket = unknownTicket || h.Stage == 2 && h.end != plan.Done
		}
	}
	require.Equal(t, len(history), a.Attempts)
	require.Equal(t, a.Outcome == Refused, !ran && a.Outcome != Served, "refused if and only if nothing ran")
	if a.Outcome == Served || a.Outcome == Failed {
		for _, h := range history {
			unknownTicket = unknownTicket && (!h.Undo || h.Stage != 2 || h.end != plan.Done)
		}
		require.False(t, unknownTicket, "the outcome hides that a ticket may have run")
	}
}

func FuzzDecode(f *testing.F) {
	b := NewTracker(DefaultLimits())
	x, _ := b.Start(0, Start{Run: "r", Shape: booking(2), Before: time.Second, Process: "n"})
	_ = b.Open(0, Open{Run: "r", Fence: x.Fence, Stage: 0, Key: "tour", Items: [][]byte{nil}})
	_, _ = b.SendAttempt(0, SendAttempt{Run: "r", Fence: x.Fence, Generation: 1, Attempt: 1})
	text, _ := b.Encode()
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		b := NewTracker(DefaultLimits())
		if before, _ := b.Digest(); b.Decode(text) != nil {
			after, _ := b.Digest()
			require.Equal(t, before, after)
			return
		}
		for _, id := range sortedKeys(b.runs) {
			v, _ := b.View(id)
			Next(b.now, time.Second, v)
			new(RuntimeEstimator).RemainingTime(b.now, v)
		}
		b.Claim(b.now, Claim{Process: "x", MaxRuns: 9})
		b.Advance(b.now + 48*time.Hour)
		_, err := b.Encode()
		require.NoError(t, err)
	})
}
