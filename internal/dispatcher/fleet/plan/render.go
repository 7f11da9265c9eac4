package plan

import (
	"errors"
	"fmt"
	"maps"

	"github.com/hashicorp/hcl/v2"
	"github.com/valyala/fastjson"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

// Values are what expressions are evaluated over, as JSON. Text that is not JSON is taken
// as a string.
type Values struct {
	Input   []byte            // the run's
	Item    []byte            // of a stage with a list; nil: none
	Results map[string][]byte // by stage; of a stage with a list, the List of its items' results
}

// Item is an entry of a stage's list, as JSON.
type Item []byte

// List returns the result of a stage with a list: a JSON list of its items' results, in
// their order. The nil result of an item that failed is null.
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

// Render returns what a run of the stage is sent: its path, its body (nil: none) and its
// key (empty: none).
func (s *Stage) Render(v Values) (path string, body []byte, key string, err error) {
	if path, body, key, err = render(s.Path, s.Body, s.Key, v); err != nil {
		err = fmt.Errorf("stage %q: %w", s.Name, err)
	}
	return path, body, key, err
}

// Render returns what an attempt at the compensation is sent, over the same values as the
// stage's.
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

// Items returns the stage's items: the entries of its list, or one nil item if it has none.
// A list that is too long, or too short for at_least, is an error.
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

// SharedKey returns the key by which runs share the stage's output; empty: it is not
// shared. Keys belong to the stage of this plan: runs of plans with other names, or another
// digest, share nothing.
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

// Holds reports whether an attempt with this end and this result (nil: none) reports that
// its input is lost or stale. Where that can't be evaluated it doesn't hold, and the error
// says why.
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
