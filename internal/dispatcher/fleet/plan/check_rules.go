package plan

import (
	"slices"
	"strings"

	"basaltloft/internal/dispatcher/policy"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// mayHold reports whether a condition may hold, and whether it must, at an end with any
// result. Where that can't be determined it may.
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

// checkRules finds rules that can never apply, and conditions on ends that don't exist.
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

func joinEnds(list []End) string {
	words := make([]string, len(list))
	for i, e := range list {
		words[i] = string(e)
	}
	return strings.Join(words, ", ")
}
