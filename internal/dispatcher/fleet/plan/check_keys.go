package plan

import (
	"basaltloft/internal/dispatcher/policy"

	"github.com/hashicorp/hcl/v2"
)

// checkKeys checks that each run of a stage has the same key, and that no two jobs share one.
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
			group := c.classes[s.Class].DedupScope
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

// checkStable adds a problem for each value in an expression that a rerun may change.
func (c *checker) checkStable(i int, e hcl.Expression, what string) {
	s := c.plan.Stages[i]
	for _, t := range e.Variables() {
		name := t.RootName()
		if name == "item" {
			for _, through := range s.Each.Variables() {
				if from := through.RootName(); c.mayChange(from) {
					c.addProblem(t.SourceRange(), "%s of %q uses item, of a list from the result of %q, which a rerun may change: make the list of input, or the key of values that no rerun changes", what, s.Name, from)
				}
			}
		} else if c.mayChange(name) {
			c.addProblem(t.SourceRange(), "%s of %q uses the result of %q, which a rerun may change: make it of input, item, or stages that no rerun runs again", what, s.Name, name)
		}
	}
}

// checkAvailableAtUndo checks that the values in an expression of an undo exist when the run
// gives up. The result of a stage that is being run again doesn't.
func (c *checker) checkAvailableAtUndo(s *Stage, e hcl.Expression) {
	if e == nil {
		return
	}
	for _, t := range e.Variables() {
		if name := t.RootName(); c.mayChange(name) {
			c.addProblem(t.SourceRange(), "the undo of %q uses the result of %q, which may be gone by then, when a rerun has reset it: make it of input, item, or stages that no rerun runs again", s.Name, name)
		}
	}
}

func (c *checker) mayChange(name string) bool {
	return c.plan.ByName[name] != nil && c.rerunnable.has(c.stageIndex(name))
}

// checkShared checks that the shared key of a stage stands for the same job in all runs that
// share the output.
func (c *checker) checkShared(i int) {
	s := c.plan.Stages[i]
	c.checkStable(i, s.Shared, "the shared key")
	for k, name := range s.After {
		if c.plan.ByName[name].Shared == nil {
			c.addProblem(s.afterRanges[k], "%q is shared and comes after %q, which is not, so that other plans give it another input: share that too, or leave this one out", s.Name, name)
		}
	}
	for _, r := range s.Reruns {
		c.addProblem(r.ofRange, "%q is shared, so that a loss reported by it would affect other plans: let a stage that comes after it have the rerun", s.Name)
	}
	if s.Each != nil {
		c.addProblem(s.Shared.Range(), "%q is run for each item of a list, which plans can't share: share a stage that it comes after", s.Name)
	}
	if s.Undo != nil {
		c.addProblem(s.Undo.Range, "%q is shared, so that its undo would take it from other plans: leave one out", s.Name)
	}
}

var effectNames = map[policy.Effect]string{policy.Idempotent: "idempotent", policy.Deduplicated: "deduplicated", policy.AtMostOnce: "at most once"}
