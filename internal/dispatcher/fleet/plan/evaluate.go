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
	maxDepth      = 32      // nesting of lists and objects
	maxListLength = 1 << 10 // entries of one list or object, and items of a stage
	maxEntries    = 1 << 15 // of all lists and objects of a value together
	maxPathLength = 2048
	maxKeyLength  = 256
	maxNumber     = 1e300 // largest absolute value of a number
)

// evaluateString evaluates an expression that must give a valid string.
func evaluateString(e hcl.Expression, names map[string][]byte, validate func(string) error) (string, error) {
	value, err := evaluate(e, names)
	if err != nil {
		return "", err
	}
	text, err := convert.Convert(value, cty.String)
	if err != nil || text.IsNull() || !text.IsKnown() {
		return "", fmt.Errorf("text is needed, not %s", typeName(value))
	}
	return text.AsString(), validate(text.AsString())
}

func validatePath(path string) error {
	if !strings.HasPrefix(path, "/") || len(path) > maxPathLength ||
		strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r > '~' || r == '#' }) {
		return fmt.Errorf(`%.80q is no path: it begins with / and has at most %d characters that a URL may have; segment() escapes others`, path, maxPathLength)
	}
	return nil
}

func validateKey(key string) error {
	if key == "" || len(key) > maxKeyLength || strings.ContainsFunc(key, func(r rune) bool { return !unicode.IsPrint(r) || r > '~' }) {
		return fmt.Errorf("%.80q is no key: 1 to %d printable ASCII characters; segment() escapes others", key, maxKeyLength)
	}
	return nil
}

// evaluate evaluates an expression over named values as JSON. It decodes only those that the
// expression uses.
func evaluate(e hcl.Expression, names map[string][]byte) (cty.Value, error) {
	ctx, total := &hcl.EvalContext{Variables: map[string]cty.Value{}, Functions: functions}, 0
	for _, t := range e.Variables() {
		name := t.RootName()
		text, known := names[name]
		if !known {
			return cty.NilVal, fmt.Errorf("there is no %s yet", name)
		}
		if total += len(text); len(text) > maxValueSize || total > maxInputSize {
			return cty.NilVal, fmt.Errorf("%s has %d bytes, and the values in use have %d; at most %d and %d are used", name, len(text), total, maxValueSize, maxInputSize)
		}
		if _, done := ctx.Variables[name]; !done {
			v, err := decodeJSON(text)
			if err != nil {
				return cty.NilVal, fmt.Errorf("%s: %w", name, err)
			}
			ctx.Variables[name] = v
		}
	}
	value, diags := evaluateRaw(e, ctx)
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			return cty.NilVal, fmt.Errorf("%s:%d:%d: %s", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column, diagnosticText(d))
		}
	}
	if !value.IsWhollyKnown() {
		return cty.NilVal, errors.New("its value can't be known")
	}
	return value, nil
}

// evaluateRaw evaluates an expression. It recovers from a panic of the HCL library over
// unexpected values, and returns it as an error of the expression.
func evaluateRaw(e hcl.Expression, ctx *hcl.EvalContext) (v cty.Value, diags hcl.Diagnostics) {
	defer func() {
		if r := recover(); r != nil {
			v, diags = cty.DynamicVal, hcl.Diagnostics{{Severity: hcl.DiagError, Summary: "Can't be evaluated", Detail: fmt.Sprint(r), Subject: e.Range().Ptr()}}
		}
	}()
	return e.Value(ctx)
}
