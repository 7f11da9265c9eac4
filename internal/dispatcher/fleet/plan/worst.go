package plan

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// triesPerItem are the attempts of one item in one run: the first, and those that its
// retries add.
func (s *Stage) triesPerItem() int {
	n := 1
	for _, r := range s.Retries {
		n += r.MaxRetries
	}
	return n
}

// itemCount is how many items a run has at most.
func (s *Stage) itemCount() int { return max(s.MaxItems, 1) }

// runDuration is how long one run takes at most: each attempt until its class gives up,
// and the waits between. Items run side by side.
func (s *Stage) runDuration() time.Duration {
	d := mulSaturating(s.AttemptTimeout, s.triesPerItem())
	for _, r := range s.Retries {
		for k := range r.MaxRetries {
			d = addSaturating(d, r.Pause(k, 1))
		}
	}
	return d
}

// Pause returns how long a further try waits by this rule: k counts those before
// it by the same rule in the same run, and share, from -1 to 1, is its place within
// the jitter.
func (r *Retry) Pause(k int, share float64) time.Duration {
	wait := r.Wait
	for ; k > 0 && wait < r.MaxWait; k-- {
		wait *= 2
	}
	wait = min(wait, r.MaxWait)
	return wait + time.Duration(float64(wait)*r.Jitter*min(max(share, -1), 1))
}

// totalDuration is how long all tries of a compensation take at most.
func (u *Undo) totalDuration() time.Duration {
	return addSaturating(mulSaturating(u.AttemptTimeout, u.MaxTries), mulSaturating(u.Wait, u.MaxTries-1))
}

// totalAttempts is how many attempts the stage takes at most, its undos included.
func (s *Stage) totalAttempts() int {
	n := s.Runs * s.itemCount() * s.triesPerItem()
	if s.Undo != nil {
		n += s.itemCount() * s.Undo.MaxTries
	}
	return n
}

// worstCase computes the worst case. Attempts are jobs handed to the dispatcher:
//
//	sum over stages of  runs x items x tries + items x tries of the undo
//	runs  = 1 + repeats for the loss of its own output and of each that it comes after
//	tries = 1 + most of each retry
//
// The time is that of the longest path, once more for each time that a stage is run
// again the longest path from there on, and the longest path of undos at the end.
func (p *Plan) worstCase() Worst {
	var w Worst
	for _, s := range p.Stages {
		w.Attempts += s.totalAttempts()
	}
	_, w.Duration = p.longestPath("", (*Stage).runDuration)
	for i, most := range p.rerunsByStage() {
		_, d := p.longestPath(p.Stages[i].Name, (*Stage).runDuration)
		w.Duration = addSaturating(w.Duration, mulSaturating(d, most))
	}
	_, undo := p.longestPath("", func(s *Stage) time.Duration {
		if s.Undo == nil {
			return 0
		}
		return s.Undo.totalDuration()
	})
	w.Duration = addSaturating(w.Duration, undo)
	return w
}

// rerunsByStage is by stage how often its own loss may have it run again: the largest most
// of the reruns that name it, which count its generations.
func (p *Plan) rerunsByStage() []int {
	most := make([]int, len(p.Stages))
	for i, of := range p.Stages {
		for _, s := range p.Stages {
			for _, r := range s.Reruns {
				if r.Of == of.Name {
					most[i] = max(most[i], r.MaxReruns)
				}
			}
		}
	}
	return most
}

// longestPath is the path that takes longest of those that begin at a stage; empty:
// anywhere.
func (p *Plan) longestPath(from string, span func(*Stage) time.Duration) (names []string, d time.Duration) {
	type reach struct {
		d  time.Duration
		by []string
	}
	best := map[string]reach{}
	for _, s := range p.Stages {
		var before reach
		reached := from == "" || s.Name == from
		for _, name := range s.After {
			if r, ok := best[name]; ok {
				reached = true
				if r.d > before.d {
					before = r
				}
			}
		}
		if !reached {
			continue
		}
		here := reach{addSaturating(before.d, span(s)), append(slices.Clone(before.by), s.Name)}
		best[s.Name] = here
		if here.d >= d {
			names, d = here.by, here.d
		}
	}
	return names, d
}

func (p *Plan) describeLongestPath() string {
	names, d := p.longestPath("", (*Stage).runDuration)
	return fmt.Sprintf("longest path: %s, %s without reruns and undos", strings.Join(names, " > "), d)
}

// describeCostliest names the stage with most attempts.
func (p *Plan) describeCostliest() string {
	s := slices.MaxFunc(p.Stages, func(a, b *Stage) int { return a.totalAttempts() - b.totalAttempts() })
	return fmt.Sprintf("most are of %q: %s", s.Name, s.describeAttempts())
}

func (s *Stage) describeAttempts() string {
	text := fmt.Sprintf("%s x %s x %s", pluralize(s.Runs, "run"), pluralize(s.itemCount(), "item"), pluralize(s.triesPerItem(), "try"))
	if s.Undo != nil {
		text += fmt.Sprintf(" + %s x %s of its undo", pluralize(s.itemCount(), "item"), pluralize(s.Undo.MaxTries, "try"))
	}
	return fmt.Sprintf("%s = %d", text, s.totalAttempts())
}

func pluralize(n int, what string) string {
	switch {
	case n == 1:
	case what == "try":
		what = "tries"
	default:
		what += "s"
	}
	return fmt.Sprintf("%d %s", n, what)
}

// Describe says what the plan may come to, for who wrote it: a line for the plan,
// one for each stage in the order that they run in, one for each note.
func (p *Plan) Describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "plan %q: at most %d attempts (bound %d) and %s (bound %s)\n", p.Name, p.Worst.Attempts, p.MaxAttempts, p.Worst.Duration, formatDuration(p.Timeout))
	for _, s := range p.Stages {
		fmt.Fprintf(&b, "  %s, %s (%s): %s; a run takes at most %s\n", s.Name, s.Class, effectNames[s.Effect], s.describeAttempts(), s.runDuration())
		if s.Effect == policy.AtMostOnce {
			fmt.Fprintf(&b, "    never again once it may have run\n")
		}
	}
	fmt.Fprintf(&b, "  %s\n", p.describeLongestPath())
	for _, n := range p.Notes {
		fmt.Fprintf(&b, "  note: %s\n", n)
	}
	return b.String()
}

// addSaturating and times stop at the largest time.
func addSaturating(a, b time.Duration) time.Duration {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

func mulSaturating(d time.Duration, n int) time.Duration {
	if n > 0 && d > math.MaxInt64/time.Duration(n) {
		return math.MaxInt64
	}
	return d * time.Duration(max(n, 0))
}
