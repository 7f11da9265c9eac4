package plan

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/big"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/ext/tryfunc"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/valyala/fastjson"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
	"github.com/zclconf/go-cty/cty/function"
	"github.com/zclconf/go-cty/cty/function/stdlib"
)

// Bounds of values.
const (
	maxValueSize  = 1 << 20 // bytes of JSON, in and out
	maxInputSize  = 8 << 20 // bytes of JSON that one expression may go over
	maxDepth      = 32      // lists and objects within one another
	maxListLength = 1 << 10 // entries of one list or object, and items of a stage
	maxEntries    = 1 << 15 // of all of them together
	maxPathLength = 2048
	maxKeyLength  = 256
	maxNumber     = 1e300 // of a number
)

// Values are what expressions are evaluated over, as JSON. Text that is no JSON is
// taken as a string.
type Values struct {
	Input   []byte            // what the plan was started with
	Item    []byte            // of a stage with a list; nil: none
	Results map[string][]byte // by stage; of a stage with a list, List of its items' results
}

// Item is an entry of a stage's list, as JSON.
type Item []byte

// List is the result of a stage with a list: a JSON list of its items' results, in
// their order. A nil one, of an item that did not end well, is null.
func List(results [][]byte) []byte {
	var a fastjson.Arena
	list := a.NewArray()
	for i, text := range results {
		v := a.NewNull()
		if text != nil {
			var err error
			if v, err = fastjson.ParseBytes(text); err != nil {
				v = fastjson.MustParseBytes(quoteJSON(string(text)))
			}
		}
		list.SetArrayItem(i, v)
	}
	return list.MarshalTo(nil)
}

// Render returns what a run of the stage is sent: its path, its body (nil: none)
// and its key (empty: none).
func (s *Stage) Render(v Values) (path string, body []byte, key string, err error) {
	if path, body, key, err = render(s.Path, s.Body, s.Key, v); err != nil {
		err = fmt.Errorf("stage %q: %w", s.Name, err)
	}
	return path, body, key, err
}

// Render returns what a try of the compensation is sent, over the same values as
// the stage was.
func (u *Undo) Render(v Values) (path string, body []byte, key string, err error) {
	if path, body, key, err = render(u.Path, u.Body, u.Key, v); err != nil {
		err = fmt.Errorf("undo: %w", err)
	}
	return path, body, key, err
}

func render(path, body, key hcl.Expression, v Values) (where string, sent []byte, same string, err error) {
	names := v.names()
	if where, err = evaluateString(path, names, validatePath); err != nil {
		return "", nil, "", fmt.Errorf("path: %w", err)
	}
	if body != nil {
		var made cty.Value
		if made, err = evaluate(body, names); err == nil {
			sent, err = encodeJSON(made)
		}
		if err != nil {
			return "", nil, "", fmt.Errorf("body: %w", err)
		}
	}
	if key != nil {
		if same, err = evaluateString(key, names, validateKey); err != nil {
			return "", nil, "", fmt.Errorf("key: %w", err)
		}
	}
	return where, sent, same, nil
}

// Items returns what the stage is run for: the entries of its list, or one nil
// item if it has none. A list that is too long, or too short for at_least, is an
// error.
func (s *Stage) Items(v Values) ([]Item, error) {
	if s.Each == nil {
		return []Item{nil}, nil
	}
	made, err := evaluate(s.Each, v.names())
	if err != nil {
		return nil, fmt.Errorf("stage %q: each: %w", s.Name, err)
	}
	if t := made.Type(); made.IsNull() || !t.IsTupleType() && !t.IsListType() {
		return nil, fmt.Errorf("stage %q: each: a list is needed, not %s", s.Name, typeName(made))
	}
	switch n := made.LengthInt(); {
	case n > s.MaxItems:
		return nil, fmt.Errorf("stage %q: each: %d items, and at most %d are allowed", s.Name, n, s.MaxItems)
	case n < s.MinSucceeded:
		return nil, fmt.Errorf("stage %q: each: %d items, and at least %d must end well", s.Name, n, s.MinSucceeded)
	}
	items := make([]Item, 0, made.LengthInt())
	for it := made.ElementIterator(); it.Next(); {
		_, one := it.Element()
		text, err := encodeJSON(one)
		if err != nil {
			return nil, fmt.Errorf("stage %q: each: %w", s.Name, err)
		}
		items = append(items, text)
	}
	return items, nil
}

// SharedKey returns the key by which plans share a run of the stage; empty: it is
// not shared. Keys are of the stage of this plan: plans of other names, or of
// another digest, share nothing.
func (s *Stage) SharedKey(v Values) (string, error) {
	if s.Shared == nil {
		return "", nil
	}
	key, err := evaluateString(s.Shared, v.names(), validateKey)
	if err != nil {
		return "", fmt.Errorf("stage %q: shared: %w", s.Name, err)
	}
	return key, nil
}

// Holds tells whether an attempt that ended so, with this result (nil: none),
// reports that its input is lost or stale. Where that can't be told it doesn't
// hold, and the error says why.
func (r *Rerun) Holds(end End, result []byte) (bool, error) {
	made, err := evaluate(r.When, map[string][]byte{"end": quoteJSON(string(end)), "result": result})
	if err == nil {
		made, err = convert.Convert(made, cty.Bool)
	}
	if err == nil && (made.IsNull() || !made.IsKnown()) {
		err = errors.New("true or false is needed")
	}
	if err != nil {
		return false, fmt.Errorf("rerun of %q: when: %w", r.Of, err)
	}
	return made.True(), nil
}

func (v Values) names() map[string][]byte {
	names := maps.Clone(v.Results)
	if names == nil {
		names = map[string][]byte{}
	}
	names["input"], names["item"] = v.Input, v.Item
	return names
}

// evaluateString evaluates what must become text of a form.
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

// evaluate computes an expression over names. It decodes only those in use.
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

// evaluateRaw computes an expression. Where the library panics, over values that it did not
// foresee, that is an error of the expression.
func evaluateRaw(e hcl.Expression, ctx *hcl.EvalContext) (v cty.Value, diags hcl.Diagnostics) {
	defer func() {
		if r := recover(); r != nil {
			v, diags = cty.DynamicVal, hcl.Diagnostics{{Severity: hcl.DiagError, Summary: "Can't be evaluated", Detail: fmt.Sprint(r), Subject: e.Range().Ptr()}}
		}
	}()
	return e.Value(ctx)
}

// decodeJSON reads JSON.
func decodeJSON(text []byte) (cty.Value, error) {
	if text == nil {
		return cty.NullVal(cty.DynamicPseudoType), nil
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return cty.StringVal(string(text)), nil
	}
	left := maxEntries
	return fromJSON(v, maxDepth, &left)
}

func fromJSON(v *fastjson.Value, deep int, left *int) (cty.Value, error) {
	if deep == 0 {
		return cty.NilVal, fmt.Errorf("lists and objects are nested more than %d deep", maxDepth)
	}
	if *left--; *left < 0 {
		return cty.NilVal, fmt.Errorf("lists and objects have more than %d entries", maxEntries)
	}
	switch v.Type() {
	case fastjson.TypeTrue, fastjson.TypeFalse:
		return cty.BoolVal(v.GetBool()), nil
	case fastjson.TypeString:
		return cty.StringVal(string(v.GetStringBytes())), nil
	case fastjson.TypeNumber:
		text := v.MarshalTo(nil)
		if f, err := v.Float64(); err != nil || math.Abs(f) > maxNumber || len(text) > maxKeyLength {
			return cty.NilVal, fmt.Errorf("%.40s is no number that can be used", text)
		}
		return cty.ParseNumberVal(string(text))
	case fastjson.TypeArray:
		if n := len(v.GetArray()); n > maxListLength { // the library compares types of entries, each with each
			return cty.NilVal, fmt.Errorf("a list of %d entries; at most %d are used", n, maxListLength)
		}
		var list []cty.Value
		for _, one := range v.GetArray() {
			made, err := fromJSON(one, deep-1, left)
			if err != nil {
				return cty.NilVal, err
			}
			list = append(list, made)
		}
		return cty.TupleVal(list), nil
	case fastjson.TypeObject:
		if n := v.GetObject().Len(); n > maxListLength {
			return cty.NilVal, fmt.Errorf("an object of %d fields; at most %d are used", n, maxListLength)
		}
		fields, err := map[string]cty.Value{}, error(nil)
		v.GetObject().Visit(func(name []byte, one *fastjson.Value) {
			made, bad := fromJSON(one, deep-1, left)
			err = errors.Join(err, bad)
			fields[string(name)] = made
		})
		if err != nil {
			return cty.NilVal, err
		}
		return cty.ObjectVal(fields), nil
	}
	return cty.NullVal(cty.DynamicPseudoType), nil
}

// encodeJSON writes JSON: the same value, the same bytes.
func encodeJSON(v cty.Value) ([]byte, error) {
	text, err := appendJSON(nil, v)
	if err != nil {
		return nil, err
	}
	return text, nil
}

func appendJSON(to []byte, v cty.Value) (_ []byte, err error) {
	t := v.Type()
	switch {
	case len(to) > maxValueSize:
		return nil, fmt.Errorf("it has more than %d bytes", maxValueSize)
	case !v.IsKnown():
		return nil, errors.New("its value can't be known")
	case v.IsNull():
		to = append(to, "null"...)
	case t == cty.Bool:
		to = fmt.Appendf(to, "%t", v.True())
	case t == cty.Number:
		n := v.AsBigFloat()
		if n.IsInf() || n.MantExp(nil) > 4096 || n.MantExp(nil) < -4096 {
			return nil, errors.New("a number is too large or too small")
		}
		if whole, exact := n.Int64(); exact == big.Exact { // the common case, and the fast one
			to = strconv.AppendInt(to, whole, 10)
		} else {
			to = n.Append(to, 'f', -1)
		}
	case t == cty.String:
		to = append(to, quoteJSON(v.AsString())...)
	case t.IsObjectType() || t.IsMapType():
		to = append(to, '{')
		fields := v.AsValueMap() // a copy
		for i, name := range slices.Sorted(maps.Keys(fields)) {
			if i > 0 {
				to = append(to, ',')
			}
			to = append(append(to, quoteJSON(name)...), ':')
			if to, err = appendJSON(to, fields[name]); err != nil {
				return nil, err
			}
		}
		to = append(to, '}')
	case t.IsTupleType() || t.IsListType() || t.IsSetType():
		to = append(to, '[')
		for it, n := v.ElementIterator(), 0; it.Next(); n++ {
			if n > 0 {
				to = append(to, ',')
			}
			_, one := it.Element()
			if to, err = appendJSON(to, one); err != nil {
				return nil, err
			}
		}
		to = append(to, ']')
	default:
		return nil, fmt.Errorf("%s can't be sent", t.FriendlyName())
	}
	if len(to) > maxValueSize {
		return nil, fmt.Errorf("it has more than %d bytes", maxValueSize)
	}
	return to, nil
}

func quoteJSON(text string) []byte {
	out, _ := json.Marshal(text) // text has a form always
	return out
}

func typeName(v cty.Value) string {
	if v.IsNull() {
		return "null"
	}
	return v.Type().FriendlyName()
}

// functions are all that expressions may call. None is random, reads a clock, or
// makes much of little.
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

// withValidation looks at the first argument, which is text, before a function is called.
func withValidation(f function.Function, fits func(string) error) function.Function {
	return function.New(&function.Spec{
		Params: f.Params(), VarParam: f.VarParam(), Type: f.ReturnTypeForValues,
		Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
			if args[0].IsKnown() && !args[0].IsNull() {
				if err := fits(args[0].AsString()); err != nil {
					return cty.NilVal, function.NewArgError(0, err)
				}
			}
			return f.Call(args)
		},
	})
}

// validateFormat: a width of many digits would make much of nothing.
func validateFormat(spec string) error {
	digits := 0
	for _, r := range spec {
		if digits++; !unicode.IsDigit(r) {
			digits = 0
		}
		if digits > 2 || len(spec) > maxKeyLength || strings.Count(spec, "%") > 16 {
			return fmt.Errorf("a format has at most %d letters, 16 verbs, and numbers of 2 digits", maxKeyLength)
		}
	}
	return nil
}

// joinFunc takes lists of any texts and numbers: the library's would first find one
// type for all entries, in a time that grows with the square of their number.
var joinFunc = function.New(&function.Spec{
	Params: []function.Parameter{{Name: "between", Type: cty.String}, {Name: "list", Type: cty.DynamicPseudoType}},
	Type:   function.StaticReturnType(cty.String),
	Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
		between := args[0].AsString()
		if len(between) > maxNameLength {
			return cty.NilVal, function.NewArgErrorf(0, "what goes between has at most %d letters", maxNameLength)
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
		return cty.StringVal(strings.Join(words, between)), nil
	},
})

// presentFunc is a list without its nulls.
var presentFunc = function.New(&function.Spec{
	Params: []function.Parameter{{Name: "list", Type: cty.DynamicPseudoType}},
	Type: func(args []cty.Value) (cty.Type, error) {
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

// segmentFunc is text as one segment of a path.
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

// checkExpression tells whether an expression is of the allowed kinds, and within bounds; if
// not, it says why.
func (f *fileParser) checkExpression(e hcl.Expression) bool {
	before, nodes, splats := len(f.problems), 0, false
	_ = hclsyntax.VisitAll(e.(hclsyntax.Expression), func(n hclsyntax.Node) hcl.Diagnostics {
		if nodes++; nodes == maxExpressionNodes {
			f.addProblem(e.Range(), "an expression of more than %d parts: make it smaller", maxExpressionNodes)
		}
		if nodes >= maxExpressionNodes { // nothing of it is looked at again
			return nil
		}
		switch n := n.(type) {
		case *hclsyntax.ForExpr:
			f.addProblem(n.Range(), "for has no place in a plan: each runs a stage for each item, and list[*].name takes a field of all")
		case *hclsyntax.FunctionCallExpr:
			if _, known := functions[n.Name]; !known {
				f.addProblem(n.NameRange, "unknown function %q%s", n.Name, suggestion(n.Name, slices.Sorted(maps.Keys(functions))))
			}
		case *hclsyntax.SplatExpr:
			if splats { // told already
				return nil
			}
			_ = hclsyntax.VisitAll(n.Each, func(in hclsyntax.Node) hcl.Diagnostics {
				if s, nested := in.(*hclsyntax.SplatExpr); nested && !splats {
					splats = true
					f.addProblem(s.Range(), "[*] within [*] has no place in a plan: let the stage return the list")
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
