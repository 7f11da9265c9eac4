package plan

import (
	"slices"
	"strings"

	"basaltloft/internal/dispatcher/policy"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// mayHold reports whether the condition holds for some result of an attempt with the given
// end, and whether it holds for every result. If that can't be determined, it may hold.
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

// checkRules finds retry rules that can never apply, and rerun conditions that are never true,
// always true, or compare end with an unknown word.
func (c *checker) checkRules() {
	for _, s := range c.plan.Stages {
		var covered []End
		for _, r := range s.Retries {
			before := len(covered)
			for k, e := range r.On {
				switch {
				case e == Lost && len(s.Reruns) == 0:
					c.addProblem(r.onRanges[k], "%q can't end as %s: that is when a rerun's condition holds, and it has no rerun; leave it out or add one", s.Name, e)
				case e == MayRun && s.Effect != policy.AtMostOnce: // checkAtMostOnce reports it for an at-most-once stage
					c.addProblem(r.onRanges[k], "%q is %s and can't end as %s: it is sent again without a rule, with its key, after its dispatcher failed; leave it out", s.Name, effectNames[s.Effect], e)
					covered = append(covered, e)
				case !slices.Contains(covered, e):
					covered = append(covered, e)
				}
			}
			if len(covered) == before && !slices.Contains(r.On, Lost) {
				c.addProblem(r.Range, "this retry never applies: earlier ones cover %s; the first that names an end applies", joinEnds(r.On))
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
			continue // an end becomes Lost only once a condition holds
		}
		may, must := r.mayHold(e)
		ever = ever || may
		if e == Done && must {
			c.addProblem(r.When.Range(), "when holds for every attempt that is done, so that %q could never succeed: test something in result too", s.Name)
		}
	}
	if !ever {
		c.addProblem(r.When.Range(), "when never holds, whatever the end and the result: it must be true for some")
	}
}

// checkComparison checks b, if a is end and b is the constant that it is compared with.
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
		c.addProblem(b.Range(), "end is never %q here: that is what an end becomes once this condition holds; test the end that it had before, such as %q", Lost, Failed)
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
