package plan

import (
	"errors"
	"fmt"
	"strings"
	"unicode"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

// Bounds of values.
const (
	maxValueSize  = 1 << 20 // bytes of JSON, in and out
	maxInputSize  = 8 << 20 // bytes of JSON that one expression may read
	maxDepth      = 32      // lists and objects within one another
	maxListLength = 1 << 10 // entries of one list or object, and items of a stage
	maxEntries    = 1 << 15 // of all lists and objects of a value together
	maxPathLength = 2048
	maxKeyLength  = 256
	maxNumber     = 1e300 // of a number
)

// evaluateString evaluates an expression that must give a valid string.
func evaluateString(e hcl.Expression, names map[string][]byte, fits func(string) error) (string, error) {
	made, err := evaluate(e, names)
	if err != nil {
		return "", err
	}
	text, err := convert.Convert(made, cty.String)
	if err != nil || text.IsNull() || !text.IsKnown() {
		return "", fmt.Errorf("text is needed, not %s", typeName(made))
	}
	return text.AsString(), fits(text.AsString())
}

func validatePath(path string) error {
	if !strings.HasPrefix(path, "/") || len(path) > maxPathLength ||
		strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r > '~' || r == '#' }) {
		return fmt.Errorf(`%.80q is no path: it begins with / and has at most %d of the letters that a URL may have; segment() writes others`, path, maxPathLength)
	}
	return nil
}

func validateKey(key string) error {
	if key == "" || len(key) > maxKeyLength || strings.ContainsFunc(key, func(r rune) bool { return !unicode.IsPrint(r) || r > '~' }) {
		return fmt.Errorf("%.80q is no key: 1 to %d printable ASCII letters; segment() writes others", key, maxKeyLength)
	}
	return nil
}

// evaluate evaluates an expression over names. It decodes only those in use.
func evaluate(e hcl.Expression, names map[string][]byte) (cty.Value, error) {
	ctx, weight := &hcl.EvalContext{Variables: map[string]cty.Value{}, Functions: functions}, 0
	for _, t := range e.Variables() {
		name := t.RootName()
		text, known := names[name]
		if !known {
			return cty.NilVal, fmt.Errorf("there is no %s yet", name)
		}
		if weight += len(text); len(text) > maxValueSize || weight > maxInputSize {
			return cty.NilVal, fmt.Errorf("%s has %d bytes, and the values in use have %d; at most %d and %d are used", name, len(text), weight, maxValueSize, maxInputSize)
		}
		if _, done := ctx.Variables[name]; !done {
			v, err := decodeJSON(text)
			if err != nil {
				return cty.NilVal, fmt.Errorf("%s: %w", name, err)
			}
			ctx.Variables[name] = v
		}
	}
	made, diags := evaluateRaw(e, ctx)
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			return cty.NilVal, fmt.Errorf("%s:%d:%d: %s", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column, diagnosticText(d))
		}
	}
	if !made.IsWhollyKnown() {
		return cty.NilVal, errors.New("its value can't be known")
	}
	return made, nil
}

// evaluateRaw evaluates an expression. A panic of the library, over values that it did not
// foresee, is an error of the expression.
func evaluateRaw(e hcl.Expression, ctx *hcl.EvalContext) (v cty.Value, diags hcl.Diagnostics) {
	defer func() {
		if r := recover(); r != nil {
			v, diags = cty.DynamicVal, hcl.Diagnostics{{Severity: hcl.DiagError, Summary: "Can't be evaluated", Detail: fmt.Sprint(r), Subject: e.Range().Ptr()}}
		}
	}()
	return e.Value(ctx)
}
