package plan

import (
	"fmt"
	"net/url"
	"strings"
	"unicode"

	"github.com/hashicorp/hcl/v2/ext/tryfunc"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
	"github.com/zclconf/go-cty/cty/function"
	"github.com/zclconf/go-cty/cty/function/stdlib"
)

// functions are all functions that expressions may call. None is random, reads a clock, or
// returns a large output for a small input.
var functions = map[string]function.Function{
	"can":        tryfunc.CanFunc,
	"coalesce":   stdlib.CoalesceFunc,
	"contains":   stdlib.ContainsFunc,
	"format":     withValidation(stdlib.FormatFunc, validateFormat),
	"join":       joinFunc,
	"jsonencode": stdlib.JSONEncodeFunc,
	"length":     stdlib.LengthFunc,
	"lower":      stdlib.LowerFunc,
	"present":    presentFunc,
	"segment":    segmentFunc,
	"try":        tryfunc.TryFunc,
}

// withValidation returns f with a validation of its first argument, a string.
func withValidation(f function.Function, validate func(string) error) function.Function {
	return function.New(&function.Spec{
		Params: f.Params(), VarParam: f.VarParam(), Type: f.ReturnTypeForValues,
		Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
			if args[0].IsKnown() && !args[0].IsNull() {
				if err := validate(args[0].AsString()); err != nil {
					return cty.NilVal, function.NewArgError(0, err)
				}
			}
			return f.Call(args)
		},
	})
}

// validateFormat bounds the widths in a format, since a large width gives a large output for a
// small input.
func validateFormat(spec string) error {
	digits := 0
	for _, r := range spec {
		if digits++; !unicode.IsDigit(r) {
			digits = 0
		}
		if digits > 2 || len(spec) > maxKeyLength || strings.Count(spec, "%") > 16 {
			return fmt.Errorf("a format has at most %d characters, 16 verbs, and numbers of 2 digits", maxKeyLength)
		}
	}
	return nil
}

// joinFunc joins strings and numbers. The library's function is not used, since it first finds
// one type for all entries, in quadratic time.
var joinFunc = function.New(&function.Spec{
	Params: []function.Parameter{{Name: "between", Type: cty.String}, {Name: "list", Type: cty.DynamicPseudoType}},
	Type:   function.StaticReturnType(cty.String),
	Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
		separator := args[0].AsString()
		if len(separator) > maxNameLength {
			return cty.NilVal, function.NewArgErrorf(0, "the separator has at most %d letters", maxNameLength)
		}
		if t := args[1].Type(); !t.IsTupleType() && !t.IsListType() {
			return cty.NilVal, function.NewArgErrorf(1, "a list is needed, not %s", typeName(args[1]))
		}
		var words []string
		for it := args[1].ElementIterator(); it.Next(); {
			_, one := it.Element()
			if !one.IsKnown() { // in the check
				return cty.UnknownVal(cty.String), nil
			}
			text, err := convert.Convert(one, cty.String)
			if err != nil || text.IsNull() {
				return cty.NilVal, function.NewArgErrorf(1, "entry %d is not text but %s", len(words), typeName(one))
			}
			words = append(words, text.AsString())
		}
		return cty.StringVal(strings.Join(words, separator)), nil
	},
})

// presentFunc returns a list without its null entries.
var presentFunc = function.New(&function.Spec{
	Params: []function.Parameter{{Name: "list", Type: cty.DynamicPseudoType}},
	Type: func([]cty.Value) (cty.Type, error) {
		return cty.DynamicPseudoType, nil
	},
	Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
		if t := args[0].Type(); !t.IsTupleType() && !t.IsListType() {
			return cty.NilVal, function.NewArgErrorf(0, "a list is needed, not %s", typeName(args[0]))
		}
		var kept []cty.Value
		for it := args[0].ElementIterator(); it.Next(); {
			_, one := it.Element()
			if !one.IsKnown() { // in the check
				return cty.DynamicVal, nil
			}
			if !one.IsNull() {
				kept = append(kept, one)
			}
		}
		return cty.TupleVal(kept), nil
	},
})

// segmentFunc escapes a string as one segment of a path.
var segmentFunc = function.New(&function.Spec{
	Params: []function.Parameter{{Name: "text", Type: cty.String}},
	Type:   function.StaticReturnType(cty.String),
	Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
		text := url.PathEscape(args[0].AsString())
		if text == "" || text == "." || text == ".." {
			return cty.NilVal, function.NewArgErrorf(0, "%q is no segment of a path", text)
		}
		return cty.StringVal(text), nil
	},
})
