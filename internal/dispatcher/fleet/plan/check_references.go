package plan

import (
	"fmt"
	"maps"
	"math/big"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// expression is an expression of a plan, with the names that it may use.
type expression struct {
	hclsyntax.Expression
	attribute string
	names     []string
	validate  func(string) error // nil: any value is valid
}

// expressions returns the expressions of a stage.
func (c *checker) expressions(i int) (all []expression) {
	s, upstream := c.plan.Stages[i], append(c.stageNames(c.upstream[i]), "input")
	inside := upstream
	if s.Each != nil {
		inside = append(slices.Clone(upstream), "item")
	}
	add := func(e hcl.Expression, what string, names []string, validate func(string) error) {
		if e != nil {
			all = append(all, expression{e.(hclsyntax.Expression), what, names, validate})
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

// checkReferences checks the names that expressions use, and evaluates each expression with
// unknown values.
func (c *checker) checkReferences() {
	for i, s := range c.plan.Stages {
		for _, e := range c.expressions(i) {
			before := len(c.problems)
			if !c.checkExpression(e.Expression) {
				continue
			}
			for _, t := range e.Variables() {
				if name := t.RootName(); !slices.Contains(e.names, name) && (!c.unresolved[s] || c.plan.ByName[name] == nil) {
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
		return fmt.Sprintf("when can use only end and result, not %q", name)
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

// unknownContext returns a context in which the given names have unknown values, except for
// those whose value is in known.
func unknownContext(names []string, known map[string]cty.Value) *hcl.EvalContext {
	ctx := &hcl.EvalContext{Variables: map[string]cty.Value{}, Functions: functions}
	for _, name := range names {
		ctx.Variables[name] = cty.DynamicVal
	}
	maps.Copy(ctx.Variables, known)
	return ctx
}

func references(e hcl.Expression, name string) bool {
	return slices.ContainsFunc(e.Variables(), func(t hcl.Traversal) bool { return t.RootName() == name })
}

// checkExpression checks that an expression has only allowed kinds of parts, within bounds. It
// reports whether there was no problem.
func (f *fileParser) checkExpression(e hcl.Expression) bool {
	before, nodes, splats := len(f.problems), 0, false
	_ = hclsyntax.VisitAll(e.(hclsyntax.Expression), func(n hclsyntax.Node) hcl.Diagnostics {
		if nodes++; nodes == maxExpressionNodes {
			f.addProblem(e.Range(), "an expression of more than %d parts: make it smaller", maxExpressionNodes)
		}
		if nodes >= maxExpressionNodes { // the rest is not checked
			return nil
		}
		switch n := n.(type) {
		case *hclsyntax.ForExpr:
			f.addProblem(n.Range(), "for is not allowed in a plan: each runs a stage for each item, and list[*].name takes a field of all")
		case *hclsyntax.FunctionCallExpr:
			if _, known := functions[n.Name]; !known {
				f.addProblem(n.NameRange, "unknown function %q%s", n.Name, suggestion(n.Name, slices.Sorted(maps.Keys(functions))))
			}
		case *hclsyntax.SplatExpr:
			if splats { // already reported
				return nil
			}
			_ = hclsyntax.VisitAll(n.Each, func(in hclsyntax.Node) hcl.Diagnostics {
				if s, nested := in.(*hclsyntax.SplatExpr); nested && !splats {
					splats = true
					f.addProblem(s.Range(), "[*] within [*] is not allowed in a plan: let the stage return the list")
				}
				return nil
			})
		case *hclsyntax.LiteralValueExpr:
			if n.Val.Type() == cty.Number && !n.Val.IsNull() && n.Val.AsBigFloat().Cmp(big.NewFloat(maxNumber)) > 0 {
				f.addProblem(n.Range(), "a number above %g", maxNumber)
			}
		}
		return nil
	})
	return len(f.problems) == before
}
