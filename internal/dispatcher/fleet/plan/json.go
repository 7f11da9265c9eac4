package plan

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/big"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"
	"github.com/zclconf/go-cty/cty"
)

// decodeJSON decodes JSON. Text that is not JSON is returned as a string, and nil as null.
func decodeJSON(text []byte) (cty.Value, error) {
	if text == nil {
		return cty.NullVal(cty.DynamicPseudoType), nil
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return cty.StringVal(string(text)), nil
	}
	remaining := maxEntries
	return fromJSON(v, maxDepth, &remaining)
}

func fromJSON(v *fastjson.Value, depth int, remaining *int) (cty.Value, error) {
	if depth == 0 {
		return cty.NilVal, fmt.Errorf("lists and objects are nested more than %d deep", maxDepth)
	}
	if *remaining--; *remaining < 0 {
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
		if n := len(v.GetArray()); n > maxListLength { // the library compares the types of all pairs of entries
			return cty.NilVal, fmt.Errorf("a list of %d entries; at most %d are used", n, maxListLength)
		}
		var list []cty.Value
		for _, one := range v.GetArray() {
			value, err := fromJSON(one, depth-1, remaining)
			if err != nil {
				return cty.NilVal, err
			}
			list = append(list, value)
		}
		return cty.TupleVal(list), nil
	case fastjson.TypeObject:
		if n := v.GetObject().Len(); n > maxListLength {
			return cty.NilVal, fmt.Errorf("an object of %d fields; at most %d are used", n, maxListLength)
		}
		fields, err := map[string]cty.Value{}, error(nil)
		v.GetObject().Visit(func(name []byte, one *fastjson.Value) {
			value, entryErr := fromJSON(one, depth-1, remaining)
			err = errors.Join(err, entryErr)
			fields[string(name)] = value
		})
		if err != nil {
			return cty.NilVal, err
		}
		return cty.ObjectVal(fields), nil
	}
	return cty.NullVal(cty.DynamicPseudoType), nil
}

// encodeJSON encodes a value as JSON. Equal values have equal encodings.
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
		if to, err = appendNumber(to, v.AsBigFloat()); err != nil {
			return nil, err
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

// appendNumber appends a number without an exponent.
func appendNumber(to []byte, n *big.Float) ([]byte, error) {
	if n.IsInf() || n.MantExp(nil) > 4096 || n.MantExp(nil) < -4096 {
		return nil, errors.New("a number is too large or too small")
	}
	if whole, exact := n.Int64(); exact == big.Exact { // the common case, and the fast one
		return strconv.AppendInt(to, whole, 10), nil
	}
	return n.Append(to, 'f', -1), nil
}

func quoteJSON(text string) []byte {
	out, _ := json.Marshal(text) // a string can always be encoded
	return out
}

func typeName(v cty.Value) string {
	if v.IsNull() {
		return "null"
	}
	return v.Type().FriendlyName()
}
