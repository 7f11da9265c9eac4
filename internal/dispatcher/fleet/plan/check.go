package plan

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

var (
	// allEnds are all that an attempt may come to, and endWords the same as words.
	allEnds  = []End{Done, Refused, Full, Unsent, Late, Failed, Reset, MayRun, Lost}
	endWords = []string{"done", "refused", "full", "unsent", "late", "failed", "reset", "may_have_run", "lost_input"}
	// reservedNames are the names that expressions know.
	reservedNames = []string{"input", "item", "end", "result"}
)

// checks are made in this order, each on plans whose graph is sound. A test takes
// one out to see that what it guards against is then found at work.
var checks = []func(*checker){(*checker).checkReferences, (*checker).checkRules, (*checker).checkAtMostOnce, (*checker).checkKeys, (*checker).checkWorstCase}

// stageSet holds stages of one plan, by their place in Stages.
type stageSet uint64

func (s stageSet) has(i int) bool { return s&(1<<i) != 0 }

// checker checks one plan.
type checker struct {
	*fileParser
	plan       *Plan
	upstream   []stageSet // by stage: all that it comes after, directly or not
	downstream []stageSet // by stage: all that come after it
	rerunnable stageSet   // stages that may be run again, and whose results that may change

	unresolved map[*Stage]bool // it can't be told what these come after
}

// check names all that is wrong with a plan, and fills in what follows from it.
func check(f *fileParser, p *Plan) {
	c := &checker{fileParser: f, plan: p}
	if !c.sortStages() {
		return
	}
	for _, one := range checks {
		one(c)
	}
}

// sortStages puts the stages in an order in which each is after what it comes after.
func (c *checker) sortStages() bool {
	p := c.plan
	c.unresolved = map[*Stage]bool{}
	for _, s := range p.Stages {
		var names []string
		var at []hcl.Range
		for i, name := range s.After {
			before := len(c.problems)
			switch {
			case p.ByName[name] == nil:
				c.addProblem(s.afterRanges[i], "unknown stage %q%s", name, suggestion(name, c.otherStageNames(s)))
			case name == s.Name:
				c.addProblem(s.afterRanges[i], "stage %q comes after itself: leave that out", name)
			case slices.Index(s.After, name) < i:
				c.addProblem(s.afterRanges[i], "%q is there twice: leave one out", name)
			default:
				names, at = append(names, name), append(at, s.afterRanges[i])
			}
			c.unresolved[s] = c.unresolved[s] || len(c.problems) > before
		}
		s.After, s.afterRanges = names, at
	}
	var sorted []*Stage
	var under []*Stage // being visited, each because the one before comes after it
	var visit func(*Stage) bool
	visit = func(s *Stage) bool {
		if slices.Contains(sorted, s) {
			return true
		}
		under = append(under, s)
		for i, name := range s.After {
			next := p.ByName[name]
			if at := slices.Index(under, next); at >= 0 {
				var names []string
				for _, u := range under[at:] {
					names = append(names, u.Name)
				}
				c.addProblem(s.afterRanges[i], "a cycle: %s: one of them must not come after the next", strings.Join(append(names, next.Name), " after "))
				return false
			}
			if !visit(next) {
				return false
			}
		}
		under = under[:len(under)-1]
		sorted = append(sorted, s)
		return true
	}
	for _, s := range p.Stages {
		if !visit(s) {
			return false
		}
	}
	p.Stages = sorted
	c.upstream, c.downstream = make([]stageSet, len(sorted)), make([]stageSet, len(sorted))
	for i, s := range sorted {
		for _, name := range s.After {
			j := c.stageIndex(name)
			c.upstream[i] |= c.upstream[j] | 1<<j
		}
		for j := range i {
			if c.upstream[i].has(j) {
				c.downstream[j] |= 1 << i
				c.unresolved[s] = c.unresolved[s] || c.unresolved[sorted[j]]
			}
		}
	}
	before := len(c.problems)
	for i, s := range sorted {
		for k := range s.Reruns {
			r := &s.Reruns[k]
			switch {
			case c.unresolved[s]:
			case p.ByName[r.Of] == nil:
				c.addProblem(r.ofRange, "unknown stage %q%s", r.Of, suggestion(r.Of, c.stageNames(c.upstream[i])))
			case !c.upstream[i].has(c.stageIndex(r.Of)):
				c.addProblem(r.ofRange, "stage %q does not come after %q, so it can't have that run again%s", s.Name, r.Of, suggestion(r.Of, c.stageNames(c.upstream[i])))
			case slices.ContainsFunc(s.Reruns[:k], func(o Rerun) bool { return o.Of == r.Of }):
				c.addProblem(r.ofRange, "%q is run again by two rules of %q: make one of them, with a || b", r.Of, s.Name)
			}
		}
	}
	if len(c.problems) > before {
		return false
	}
	for i, s := range sorted {
		s.Runs = 1
		for _, x := range sorted {
			s.Runs += c.maxRerunsFor(i, x)
		}
		if s.Runs > 1 || s.Shared != nil { // a shared one is run again for other plans too
			c.rerunnable |= 1 << i
		}
	}
	return true
}

// maxRerunsFor is how often a stage may be run again for the loss of what another made,
// or of its own: the largest most of the rules that ask for it, since most counts the
// generations, whichever rule asked. A rule of a stage that this one comes after
// counts for nothing: that stage has not ended well when it asks, so that this one
// has not begun.
func (c *checker) maxRerunsFor(i int, of *Stage) (most int) {
	for j, s := range c.plan.Stages {
		for k := range s.Reruns {
			if r := &s.Reruns[k]; r.Of == of.Name && c.rerunSet(r).has(i) && !c.downstream[j].has(i) {
				most = max(most, r.MaxReruns)
			}
		}
	}
	return most
}

// rerunSet is what a rerun runs again: a stage, and all that hang on it.
func (c *checker) rerunSet(r *Rerun) stageSet {
	if i := c.stageIndex(r.Of); i >= 0 {
		return c.downstream[i] | 1<<i
	}
	return 0 // of a vague stage
}

func (c *checker) stageIndex(name string) int {
	return slices.Index(c.plan.Stages, c.plan.ByName[name])
}

func (c *checker) stageNames(s stageSet) (names []string) {
	for i, one := range c.plan.Stages {
		if s.has(i) {
			names = append(names, one.Name)
		}
	}
	return names
}

func (c *checker) otherStageNames(but *Stage) (names []string) {
	for _, s := range c.plan.Stages {
		if s != but {
			names = append(names, s.Name)
		}
	}
	return names
}

// expression is one of a plan's, and what it may use.
type expression struct {
	hclsyntax.Expression
	attribute string
	names     []string
	validate  func(string) error // nil: any value does
}

// expressions are those of a stage that are evaluated over input, item and results.
func (c *checker) expressions(i int) (all []expression) {
	s, upstream := c.plan.Stages[i], append(c.stageNames(c.upstream[i]), "input")
	inside := upstream
	if s.Each != nil {
		inside = append(slices.Clone(upstream), "item")
	}
	add := func(e hcl.Expression, what string, names []string, fits func(string) error) {
		if e != nil {
			all = append(all, expression{e.(hclsyntax.Expression), what, names, fits})
		}
	}
	add(s.Path, "path", inside, validatePath)
	add(s.Body, "body", inside, nil)
	add(s.Key, "key", inside, validateKey)
	add(s.Each, "each", upstream, nil)
	add(s.Shared, "shared", upstream, validateKey)
	if u := s.Undo; u != nil {
		add(u.Path, "path", inside, validatePath)
		add(u.Body, "body", inside, nil)
		add(u.Key, "key", inside, validateKey)
	}
	for _, r := range s.Reruns {
		add(r.When, "when", []string{"end", "result"}, nil)
	}
	return all
}

// checkReferences checks what expressions use, and evaluates each with nothing known.
func (c *checker) checkReferences() {
	for i, s := range c.plan.Stages {
		for _, e := range c.expressions(i) {
			before := len(c.problems)
			if !c.checkExpression(e.Expression) {
				continue
			}
			for _, t := range e.Variables() {
				if name := t.RootName(); !slices.Contains(e.names, name) && !(c.unresolved[s] && c.plan.ByName[name] != nil) {
					c.addProblem(t.SourceRange(), "%s", c.explainMisuse(s, e, name))
				}
			}
			if len(c.problems) > before {
				continue
			}
			_, diags := evaluateRaw(e, unknownContext(slices.Concat(e.names, c.otherStageNames(s)), nil))
			c.addDiagnostics(diags)
			if len(diags) > 0 || len(e.Variables()) > 0 || e.validate == nil {
				continue
			}
			if _, err := evaluateString(e, nil, e.validate); err != nil {
				c.addProblem(e.Range(), "%s: %v", e.attribute, err)
			}
		}
	}
}

func (c *checker) explainMisuse(s *Stage, e expression, name string) string {
	other := c.plan.ByName[name]
	switch {
	case e.attribute == "when":
		return fmt.Sprintf("when knows only end and result, not %q", name)
	case name == "item":
		return "item is known where a stage is run for each entry of a list: add each, or use something else"
	case name == "end" || name == "result":
		return fmt.Sprintf("%s is known in the when of a rerun only; results of stages go by their names", name)
	case other == s:
		return fmt.Sprintf("stage %q can't use its own result", name)
	case other != nil:
		return fmt.Sprintf("the result of %q can't be used by %q, which does not come after it: add it to after", name, s.Name)
	}
	return fmt.Sprintf("unknown name %q%s", name, suggestion(name, e.names))
}

// unknownContext is a context in which the named values exist and nothing is known of
// them, but for those given.
func unknownContext(names []string, known map[string]cty.Value) *hcl.EvalContext {
	ctx := &hcl.EvalContext{Variables: map[string]cty.Value{}, Functions: functions}
	for _, name := range names {
		ctx.Variables[name] = cty.DynamicVal
	}
	maps.Copy(ctx.Variables, known)
	return ctx
}

// mayHold tells whether a condition may hold, and whether it must, at an end with any
// result. Where that can't be told it may.
func (r *Rerun) mayHold(e End) (may, must bool) {
	v, diags := evaluateRaw(r.When, unknownContext([]string{"result"}, map[string]cty.Value{"end": cty.StringVal(string(e))}))
	if diags.HasErrors() || v.IsNull() || v.Type() != cty.Bool {
		return true, false
	}
	if !v.IsKnown() {
		return true, false
	}
	return v.True(), v.True()
}

// checkRules finds rules that can never count, and conditions on ends that there are not.
func (c *checker) checkRules() {
	for _, s := range c.plan.Stages {
		var taken []End
		for _, r := range s.Retries {
			before := len(taken)
			for k, e := range r.On {
				switch {
				case e == Lost && len(s.Reruns) == 0:
					c.addProblem(r.onRanges[k], "%q can't end as %s: that is when a rerun's condition holds, and it has no rerun; leave it out or add one", s.Name, e)
				case e == MayRun && s.Effect != policy.AtMostOnce: // the other is for neverTwice to say
					c.addProblem(r.onRanges[k], "%q is %s and can't end as %s: it goes on by itself, with its key, after its dispatcher died; leave it out", s.Name, effectNames[s.Effect], e)
					taken = append(taken, e)
				case !slices.Contains(taken, e):
					taken = append(taken, e)
				}
			}
			if len(taken) == before && !slices.Contains(r.On, Lost) {
				c.addProblem(r.Range, "this retry never counts: earlier ones take %s; the first that names an end counts", joinEnds(r.On))
			}
		}
		for k := range s.Reruns {
			c.checkCondition(s, &s.Reruns[k])
		}
	}
}

func (c *checker) checkCondition(s *Stage, r *Rerun) {
	before := len(c.problems)
	_ = hclsyntax.VisitAll(r.When.(hclsyntax.Expression), func(n hclsyntax.Node) hcl.Diagnostics {
		if op, ok := n.(*hclsyntax.BinaryOpExpr); ok && (op.Op == hclsyntax.OpEqual || op.Op == hclsyntax.OpNotEqual) {
			c.checkComparison(op.LHS, op.RHS)
			c.checkComparison(op.RHS, op.LHS)
		}
		return nil
	})
	if len(c.problems) > before {
		return
	}
	ever := false
	for _, e := range allEnds {
		if e == Lost {
			continue // what it becomes once a condition holds
		}
		may, must := r.mayHold(e)
		ever = ever || may
		if e == Done && must {
			c.addProblem(r.When.Range(), "when holds for each good end, so that %q could never end well: ask for something in result too", s.Name)
		}
	}
	if !ever {
		c.addProblem(r.When.Range(), "when never holds, whatever the end and the result: it must be true for some")
	}
}

// checkComparison checks a literal that end is compared with.
func (c *checker) checkComparison(a, b hclsyntax.Expression) {
	v, ok := a.(*hclsyntax.ScopeTraversalExpr)
	if !ok || v.Traversal.RootName() != "end" || len(b.Variables()) > 0 {
		return
	}
	word, diags := evaluateRaw(b, unknownContext(nil, nil))
	switch {
	case diags.HasErrors() || word.IsNull() || !word.IsKnown() || word.Type() != cty.String:
		c.addProblem(b.Range(), "end is compared with text: one of %s", strings.Join(endWords, ", "))
	case word.AsString() == string(Lost):
		c.addProblem(b.Range(), "end is never %q here: that is what an end becomes once this condition holds; ask for the end before, such as %q", Lost, Failed)
	case !slices.Contains(endWords, word.AsString()):
		c.addProblem(b.Range(), "unknown end %q%s", word.AsString(), suggestion(word.AsString(), endWords))
	}
}

// checkAtMostOnce: no rule may run a never-twice stage again once it may have run.
func (c *checker) checkAtMostOnce() {
	for i, s := range c.plan.Stages {
		if s.Effect == policy.AtMostOnce {
			if s.Shared != nil {
				c.addProblem(s.Shared.Range(), "%q must never run twice, so plans can't share it: each would take its run for another's; leave shared out", s.Name)
			}
			for _, r := range s.Retries {
				for k, e := range r.On {
					if e.MayHaveRun() {
						c.addProblem(r.onRanges[k], "%q must never run twice, and after %q it may have run: it may be tried again on %s only", s.Name, e, joinEnds([]End{Refused, Full, Unsent}))
					}
				}
			}
		}
		if u := s.Undo; u != nil && u.Effect == policy.AtMostOnce && u.MaxTries > 1 {
			c.addProblem(u.Range, "the undo of %q is of class %q, which must never run twice: most must be 1, not %d", s.Name, u.Class, u.MaxTries)
		}
		for k := range s.Reruns {
			r := &s.Reruns[k]
			if c.unresolved[s] {
				break
			}
			for j, d := range c.plan.Stages {
				if d.Effect == policy.AtMostOnce && c.rerunSet(r).has(j) {
					if why := c.secondRunReason(i, r, j); why != "" {
						c.addProblem(r.ofRange, "a rerun of %q would run %q again, which must never run twice: %s", r.Of, d.Name, why)
					}
				}
			}
		}
	}
}

// secondRunReason says how never-twice stage j may have run when a rerun of stage i begins;
// empty: it can't have.
func (c *checker) secondRunReason(i int, r *Rerun, j int) string {
	s := c.plan.Stages[i]
	switch {
	case j == i && s.Each != nil:
		return "others of its items may have run; take it out of the list, or leave the rerun out"
	case j == i:
		for _, e := range allEnds {
			if may, _ := r.mayHold(e); may && e != Lost && e.MayHaveRun() {
				return fmt.Sprintf("when may hold after %q, and then it may have run; ask for %s", e, joinEnds([]End{Refused, Full, Unsent}))
			}
		}
		return ""
	case c.upstream[i].has(j):
		return fmt.Sprintf("it has run before %q; put it after", s.Name)
	case !c.downstream[i].has(j):
		return fmt.Sprintf("it may run beside %q; put it after", s.Name)
	}
	return ""
}

// checkKeys: what is run again has the same key, and a key stands for one job.
func (c *checker) checkKeys() {
	for i, s := range c.plan.Stages {
		c.checkKey(i, s.Key, s.Class, s.Effect, s.Range)
		if u := s.Undo; u != nil {
			c.checkKey(i, u.Key, u.Class, u.Effect, u.Range)
			c.checkAvailableAtUndo(s, u.Path)
			c.checkAvailableAtUndo(s, u.Body)
			if s.Key != nil && u.Key != nil && s.Class == u.Class && c.sourceText(s.Key) == c.sourceText(u.Key) {
				c.addProblem(u.Key.Range(), "the undo has the key and the class of %q, so that it would be dropped as a repeat: give it another", s.Name)
			}
		}
		if s.Shared != nil {
			c.checkShared(i)
		}
		for _, r := range s.Retries {
			group := c.classes[s.Class].Group
			if s.Effect != policy.Deduplicated || r.Where != OtherZone || group == policy.DedupAll {
				continue
			}
			for k, e := range r.On {
				if e.MayHaveRun() {
					c.addProblem(r.onRanges[k], "after %q it may have run, and in another zone a repeat of its key isn't known (the key of %q holds in its %s): use where = %q", e, s.Class, map[policy.DedupScope]string{policy.DedupZone: "zone", policy.DedupCell: "cell"}[group], OtherMember)
				}
			}
		}
	}
}

func (c *checker) sourceText(e hcl.Expression) string { return string(e.Range().SliceBytes(c.text)) }

func (c *checker) checkKey(i int, key hcl.Expression, class string, effect policy.Effect, at hcl.Range) {
	s := c.plan.Stages[i]
	switch {
	case effect != policy.Deduplicated && key != nil:
		c.addProblem(key.Range(), "class %q is %s, where a key changes nothing: leave it out", class, effectNames[effect])
	case effect == policy.Deduplicated && key == nil:
		c.addProblem(at, "class %q drops repeats by key: add key = ..., the same at each run and of no other job", class)
	case key != nil:
		c.checkStable(i, key, "the key")
		if s.Each != nil && !references(key, "item") {
			c.addProblem(key.Range(), "all items of %q have this key, so that all but one would be dropped as repeats: make item part of it", s.Name)
		}
	}
}

// checkStable names what a rerun may change in an expression.
func (c *checker) checkStable(i int, e hcl.Expression, what string) {
	s := c.plan.Stages[i]
	for _, t := range e.Variables() {
		name := t.RootName()
		if name == "item" {
			for _, through := range s.Each.Variables() {
				if from := through.RootName(); c.mayChange(from) {
					c.addProblem(t.SourceRange(), "%s of %q uses item, of a list from the result of %q, which a rerun may change: make the list of input, or the key of what stays", what, s.Name, from)
				}
			}
		} else if c.mayChange(name) {
			c.addProblem(t.SourceRange(), "%s of %q uses the result of %q, which a rerun may change: make it of input, item, or stages that no rerun runs again", what, s.Name, name)
		}
	}
}

// checkAvailableAtUndo: what an undo uses is there when the plan gives up. The result of a stage that
// is being run again is not.
func (c *checker) checkAvailableAtUndo(s *Stage, e hcl.Expression) {
	if e == nil {
		return
	}
	for _, t := range e.Variables() {
		if name := t.RootName(); c.mayChange(name) {
			c.addProblem(t.SourceRange(), "the undo of %q uses the result of %q, which may be gone by then, when a rerun has set it back: make it of input, item, or stages that no rerun runs again", s.Name, name)
		}
	}
}

func (c *checker) mayChange(name string) bool {
	return c.plan.ByName[name] != nil && c.rerunnable.has(c.stageIndex(name))
}

func references(e hcl.Expression, name string) bool {
	return slices.ContainsFunc(e.Variables(), func(t hcl.Traversal) bool { return t.RootName() == name })
}

// checkShared: plans that share a run mean the same job by the same key.
func (c *checker) checkShared(i int) {
	s := c.plan.Stages[i]
	c.checkStable(i, s.Shared, "the shared key")
	for k, name := range s.After {
		if c.plan.ByName[name].Shared == nil {
			c.addProblem(s.afterRanges[k], "%q is shared and comes after %q, which is not, so that other plans give it another input: share that too, or leave this one out", s.Name, name)
		}
	}
	for _, r := range s.Reruns {
		c.addProblem(r.ofRange, "%q is shared, so that its report speaks for other plans: let a stage that comes after it have the rerun", s.Name)
	}
	if s.Each != nil {
		c.addProblem(s.Shared.Range(), "%q is run for each item of a list, which plans can't share: share a stage that it comes after", s.Name)
	}
	if s.Undo != nil {
		c.addProblem(s.Undo.Range, "%q is shared, so that its undo would take it from other plans: leave one out", s.Name)
	}
}

// checkWorstCase: every plan ends, within what it says.
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
			p.noteForgottenKey(s.Name, c.classes[s.Class].Window, last)
		}
		if u := s.Undo; u != nil && u.Effect == policy.Deduplicated {
			p.noteForgottenKey("the undo of "+s.Name, c.classes[u.Class].Window, u.totalDuration()-u.AttemptTimeout)
		}
	}
}

// noteForgottenKey notes a key that may be sent again after members have forgotten it.
func (p *Plan) noteForgottenKey(what string, window, last time.Duration) {
	if last > window {
		p.Notes = append(p.Notes, fmt.Sprintf("%s: members remember its key for %s, and its last send may come %s after its first: such a late one counts anew", what, formatDuration(window), formatDuration(last)))
	}
}

var effectNames = map[policy.Effect]string{policy.Idempotent: "idempotent", policy.Deduplicated: "deduplicated", policy.AtMostOnce: "at most once"}

func joinEnds(list []End) string {
	words := make([]string, len(list))
	for i, e := range list {
		words[i] = string(e)
	}
	return strings.Join(words, ", ")
}
