package plan

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/shared/saturating"
)

// triesPerItem returns the largest number of attempts at one item in one run of the stage: the
// first, and its retries.
func (s *Stage) triesPerItem() int {
	n := 1
	for _, r := range s.Retries {
		n += r.MaxRetries
	}
	return n
}

// itemCount returns the largest number of items.
func (s *Stage) itemCount() int { return max(s.MaxItems, 1) }

// runDuration returns how long one run takes at most: each attempt until its timeout, and
// the waits between. Items run in parallel.
func (s *Stage) runDuration() time.Duration {
	d := mulSaturating(s.AttemptTimeout, s.triesPerItem())
	for _, r := range s.Retries {
		for k := range r.MaxRetries {
			d = addSaturating(d, r.Pause(k, 1))
		}
	}
	return d
}

// Pause returns how long to wait before a retry by this rule. The argument k is the number of
// earlier retries by the same rule in the same run; share, from -1 to 1, is the share of the
// jitter that is added.
func (r *Retry) Pause(k int, share float64) time.Duration {
	wait := r.Wait
	for ; k > 0 && wait < r.MaxWait; k-- {
		wait *= 2
	}
	wait = min(wait, r.MaxWait)
	return wait + saturating.Duration(float64(wait)*r.Jitter*min(max(share, -1), 1))
}

// totalDuration returns how long all attempts at a compensation take at most.
func (u *Undo) totalDuration() time.Duration {
	return addSaturating(mulSaturating(u.AttemptTimeout, u.MaxTries), mulSaturating(u.Wait, u.MaxTries-1))
}

// totalAttempts returns how many attempts the stage takes at most, including its undos.
func (s *Stage) totalAttempts() int {
	n := s.Runs * s.itemCount() * s.triesPerItem()
	if s.Undo != nil {
		n += s.itemCount() * s.Undo.MaxTries
	}
	return n
}

// worstCase computes the worst case. Attempts are jobs submitted to the dispatcher:
//
//	sum over stages of  runs x items x tries + items x tries of the undo
//	runs  = 1 + reruns for the loss of its own output and of each that it depends on
//	tries = 1 + the sum of MaxRetries over its retry rules
//
// The duration is that of the longest path, plus the longest path from a stage on for each
// time that this stage may be run again, plus the longest path of undos at the end.
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

// rerunsByStage returns, by stage, how often the loss of its own output may make it run again:
// the largest MaxReruns of the rules that name it, since MaxReruns limits its generations.
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

// longestPath returns the path that takes longest, among those that begin at the stage from
// or, if that is empty, among all.
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

// describeCostliest describes the stage with the most attempts.
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

// Describe describes the plan for its author: a line for the plan, one for each stage in
// the order in which they run, and one for each note.
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

// addSaturating adds two durations. It returns the largest duration on overflow.
func addSaturating(a, b time.Duration) time.Duration {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// mulSaturating multiplies a duration. It returns the largest duration on overflow.
func mulSaturating(d time.Duration, n int) time.Duration {
	if n > 0 && d > math.MaxInt64/time.Duration(n) {
		return math.MaxInt64
	}
	return d * time.Duration(max(n, 0))
}

// checkWorstCase checks that the worst case of a run is within the plan's bounds, and adds
// notes on keys that may be sent again too late.
func (c *checker) checkWorstCase() {
	p, items := c.plan, 0
	for _, s := range p.Stages {
		if items += s.itemCount(); items > maxItems {
			c.addProblem(s.Range, "plan %q has more than %d items over all its stages: lower most", p.Name, maxItems)
			return
		}
	}
	p.Worst = p.worstCase()
	if p.Worst.Attempts > p.MaxAttempts {
		c.addProblem(c.plan.boundRanges["attempts"], "plan %q may take %d attempts, above its bound of %d: raise attempts, or lower most of retries, reruns, lists or undos (%s)", p.Name, p.Worst.Attempts, p.MaxAttempts, p.describeCostliest())
	}
	if p.Worst.Duration > p.Timeout {
		c.addProblem(c.plan.boundRanges["within"], "plan %q may take %s, above its bound of %s: raise within, or lower most and waits (%s)", p.Name, p.Worst.Duration, p.Timeout, p.describeLongestPath())
	}
	for _, s := range p.Stages {
		if s.Effect == policy.Deduplicated {
			last := s.runDuration() - s.AttemptTimeout // from the first send to the last
			if s.Runs > 1 {
				last = p.Worst.Duration - s.AttemptTimeout
			}
			p.noteForgottenKey(s.Name, c.classes[s.Class].DedupWindow, last)
		}
		if u := s.Undo; u != nil && u.Effect == policy.Deduplicated {
			p.noteForgottenKey("the undo of "+s.Name, c.classes[u.Class].DedupWindow, u.totalDuration()-u.AttemptTimeout)
		}
	}
}

// noteForgottenKey adds a note on a key that may be sent again after its deduplication window.
func (p *Plan) noteForgottenKey(what string, window, last time.Duration) {
	if last > window {
		p.Notes = append(p.Notes, fmt.Sprintf("%s: members remember its key for %s, and its last send may come %s after its first: such a late one counts anew", what, formatDuration(window), formatDuration(last)))
	}
}
