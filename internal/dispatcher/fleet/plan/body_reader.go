package plan

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/agext/levenshtein"
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"basaltloft/internal/shared/saturating"
)

// bodyReader reads the body of a block. It records which attributes and blocks were read, so
// that reportUnread can report the others as unknown.
type bodyReader struct {
	*fileParser
	block          *hclsyntax.Body
	description    string
	readAttributes []string
	readBlocks     []string
}

func (f *fileParser) newBodyReader(at *hclsyntax.Body, what string) *bodyReader {
	return &bodyReader{fileParser: f, block: at, description: what}
}

func (b *bodyReader) hasAttribute(name string) bool { return b.block.Attributes[name] != nil }

func (b *bodyReader) attribute(name string) *hclsyntax.Attribute {
	b.readAttributes = append(b.readAttributes, name)
	return b.block.Attributes[name]
}

func (b *bodyReader) blocks(kind string, most int) (found []*hclsyntax.Block) {
	b.readBlocks = append(b.readBlocks, kind)
	for _, block := range b.block.Blocks {
		if block.Type == kind {
			found = append(found, block)
		}
	}
	if len(found) > most {
		b.addProblem(found[most].DefRange(), "%s has at most %d of %s", b.description, most, kind)
		found = found[:most]
	}
	return found
}

// reportUnread adds a problem for each attribute and block that nothing has read.
func (b *bodyReader) reportUnread() {
	for _, name := range slices.Sorted(maps.Keys(b.block.Attributes)) {
		if !slices.Contains(b.readAttributes, name) {
			hint := suggestion(name, append(slices.Clone(b.readAttributes), b.readBlocks...))
			if slices.Contains(b.readBlocks, name) {
				hint = fmt.Sprintf("; %s is a block: %s { ... }, without =", name, name)
			}
			b.addProblem(b.block.Attributes[name].NameRange, "%s has no %q%s", b.description, name, hint)
		}
	}
	for _, block := range b.block.Blocks {
		if !slices.Contains(b.readBlocks, block.Type) {
			hint := suggestion(block.Type, append(slices.Clone(b.readBlocks), b.readAttributes...))
			if slices.Contains(b.readAttributes, block.Type) {
				hint = fmt.Sprintf("; write %s = ...", block.Type)
			}
			b.addProblem(block.TypeRange, "%s has no block %q%s", b.description, block.Type, hint)
		}
	}
}

// expression returns the expression of an attribute, without evaluating it. It returns nil if
// there is no such attribute.
func (b *bodyReader) expression(name string, required bool) hcl.Expression {
	a := b.attribute(name)
	if a == nil {
		if required {
			b.addProblem(b.block.MissingItemRange(), "%s needs %s", b.description, name)
		}
		return nil
	}
	return a.Expr
}

// constant returns the value of an attribute that must be a constant of the given type. The
// argument right describes valid values in problems.
func (b *bodyReader) constant(name string, required bool, as cty.Type, right string) (cty.Value, hcl.Range, bool) {
	e := b.expression(name, required)
	if e == nil {
		return cty.NilVal, hcl.Range{}, false
	}
	if !b.checkExpression(e) {
		return cty.NilVal, hcl.Range{}, false
	}
	if len(e.Variables()) > 0 {
		b.addProblem(e.Range(), "%s must be written out, not computed: %s", name, right)
		return cty.NilVal, hcl.Range{}, false
	}
	v, diags := evaluateRaw(e, nil)
	if diags.HasErrors() {
		b.addDiagnostics(diags)
		return cty.NilVal, hcl.Range{}, false
	}
	if v.IsNull() || v.Type() != as {
		b.addProblem(e.Range(), "%s must be %s", name, right)
		return cty.NilVal, hcl.Range{}, false
	}
	return v, e.Range(), true
}

func (b *bodyReader) stringValue(name string, required bool) string {
	v, _, ok := b.constant(name, required, cty.String, `text, as in "abc"`)
	if !ok {
		return ""
	}
	return v.AsString()
}

func (b *bodyReader) enumValue(name, defaultValue string, right []string) string {
	v, at, ok := b.constant(name, false, cty.String, "one of "+strings.Join(right, ", "))
	if !ok {
		return defaultValue
	}
	if !slices.Contains(right, v.AsString()) {
		b.addProblem(at, "unknown %s %q%s", name, v.AsString(), suggestion(v.AsString(), right))
	}
	return v.AsString()
}

func (b *bodyReader) number(name string, required bool, least, most, defaultValue float64, right string) float64 {
	v, at, ok := b.constant(name, required, cty.Number, right)
	if !ok {
		return defaultValue
	}
	n, _ := v.AsBigFloat().Float64()
	if n < least || n > most {
		b.addProblem(at, "%s must be %s", name, right)
		return defaultValue
	}
	return n
}

// integer returns a whole number from 1 to most.
func (b *bodyReader) integer(name string, required bool, most, defaultValue int) int {
	right := fmt.Sprintf("a whole number from 1 to %d", most)
	n := b.number(name, required, 1, float64(most), float64(defaultValue), right)
	if n != math.Trunc(n) {
		b.addProblem(b.block.Attributes[name].Expr.Range(), "%s must be %s", name, right)
	}
	return saturating.Int(n)
}

func (b *bodyReader) fraction(name string) float64 {
	return b.number(name, false, 0, 1, 0, "a number from 0 to 1")
}

// duration returns a duration from least to maxDuration.
func (b *bodyReader) duration(name string, required bool, least, defaultValue time.Duration) time.Duration {
	right := fmt.Sprintf(`a time from %s to %s, as in "250ms", "2s" or "1m30s"`, formatDuration(least), formatDuration(maxDuration))
	v, at, ok := b.constant(name, required, cty.String, right)
	if !ok {
		return defaultValue
	}
	d, err := time.ParseDuration(v.AsString())
	if err != nil || d < least || d > maxDuration {
		b.addProblem(at, "%s = %q must be %s", name, v.AsString(), right)
		return defaultValue
	}
	return d
}

// stringList returns a list of strings, and the source range of each.
func (b *bodyReader) stringList(name string, required bool) (words []string, at []hcl.Range) {
	e := b.expression(name, required)
	if e == nil {
		return nil, nil
	}
	list, ok := e.(*hclsyntax.TupleConsExpr)
	if !ok {
		b.addProblem(e.Range(), `%s must be a list of texts, as in ["a", "b"]`, name)
		return nil, nil
	}
	if len(list.Exprs) > maxStages {
		b.addProblem(e.Range(), "%s has at most %d entries", name, maxStages)
		return nil, nil
	}
	for _, one := range list.Exprs {
		if v, diags := evaluateRaw(one, nil); !diags.HasErrors() && !v.IsNull() && v.Type() == cty.String && v.IsKnown() {
			words, at = append(words, v.AsString()), append(at, one.Range())
			continue
		}
		b.addProblem(one.Range(), `%s must be a list of texts, as in ["a", "b"]`, name)
	}
	return words, at
}

// formatDuration formats a duration without trailing zero units.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// suggestion returns a hint to add to a problem: the first word of right that differs from the
// given one by at most 2 edits or, if there is none, all words of right.
func suggestion(word string, right []string) string {
	for _, r := range right {
		if levenshtein.Distance(word, r, nil) < 3 {
			return fmt.Sprintf("; did you mean %q?", r)
		}
	}
	if len(right) == 0 {
		return "; there is none"
	}
	return "; one of " + strings.Join(right, ", ")
}
