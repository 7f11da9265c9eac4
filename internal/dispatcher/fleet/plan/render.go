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

// Values are the values that expressions use, as JSON. Text that is not JSON is used as a
// string.
type Values struct {
	Input   []byte            // the run's
	Item    []byte            // of a stage with a list; nil: none
	Results map[string][]byte // by stage; for a stage with a list, the List of its items' results
}

// Item is an entry of a stage's list, as JSON.
type Item []byte

// List returns the result of a stage with a list: a JSON list of its items' results, in their
// order, with null for the nil result of an item that failed.
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

// Render returns what is sent for a job of the stage: its path, its body (nil: none) and its
// key (empty: none).
func (s *Stage) Render(v Values) (path string, body []byte, key string, err error) {
	if path, body, key, err = render(s.Path, s.Body, s.Key, v); err != nil {
		err = fmt.Errorf("stage %q: %w", s.Name, err)
	}
	return path, body, key, err
}

// Render returns what is sent for an attempt at the compensation, over the same values as for
// the stage.
func (u *Undo) Render(v Values) (path string, body []byte, key string, err error) {
	if path, body, key, err = render(u.Path, u.Body, u.Key, v); err != nil {
		err = fmt.Errorf("undo: %w", err)
	}
	return path, body, key, err
}

func render(path, body, key hcl.Expression, v Values) (renderedPath string, renderedBody []byte, renderedKey string, err error) {
	names := v.names()
	if renderedPath, err = evaluateString(path, names, validatePath); err != nil {
		return "", nil, "", fmt.Errorf("path: %w", err)
	}
	if body != nil {
		var value cty.Value
		if value, err = evaluate(body, names); err == nil {
			renderedBody, err = encodeJSON(value)
		}
		if err != nil {
			return "", nil, "", fmt.Errorf("body: %w", err)
		}
	}
	if key != nil {
		if renderedKey, err = evaluateString(key, names, validateKey); err != nil {
			return "", nil, "", fmt.Errorf("key: %w", err)
		}
	}
	return renderedPath, renderedBody, renderedKey, nil
}

// Items returns the stage's items: the entries of its list, or one nil item if it has none.
// A list that is longer than MaxItems, or shorter than MinSucceeded, is an error.
func (s *Stage) Items(v Values) ([]Item, error) {
	if s.Each == nil {
		return []Item{nil}, nil
	}
	value, err := evaluate(s.Each, v.names())
	if err != nil {
		return nil, fmt.Errorf("stage %q: each: %w", s.Name, err)
	}
	if t := value.Type(); value.IsNull() || !t.IsTupleType() && !t.IsListType() {
		return nil, fmt.Errorf("stage %q: each: a list is needed, not %s", s.Name, typeName(value))
	}
	switch n := value.LengthInt(); {
	case n > s.MaxItems:
		return nil, fmt.Errorf("stage %q: each: %d items, and at most %d are allowed", s.Name, n, s.MaxItems)
	case n < s.MinSucceeded:
		return nil, fmt.Errorf("stage %q: each: %d items, and at least %d must succeed", s.Name, n, s.MinSucceeded)
	}
	items := make([]Item, 0, value.LengthInt())
	for it := value.ElementIterator(); it.Next(); {
		_, one := it.Element()
		text, err := encodeJSON(one)
		if err != nil {
			return nil, fmt.Errorf("stage %q: each: %w", s.Name, err)
		}
		items = append(items, text)
	}
	return items, nil
}

// SharedKey returns the key by which runs share the stage's output; empty: it is not shared.
// A key is valid for this stage of this plan only: runs of a plan with another name or digest
// share no output with this one.
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

// Holds reports whether the condition holds for an attempt with this end and this result (nil:
// none), so that the attempt counts as a report of a lost or stale input. If the condition
// can't be evaluated, Holds returns false and an error with the reason.
func (r *Rerun) Holds(end End, result []byte) (bool, error) {
	value, err := evaluate(r.When, map[string][]byte{"end": quoteJSON(string(end)), "result": result})
	if err == nil {
		value, err = convert.Convert(value, cty.Bool)
	}
	if err == nil && (value.IsNull() || !value.IsKnown()) {
		err = errors.New("true or false is needed")
	}
	if err != nil {
		return false, fmt.Errorf("rerun of %q: when: %w", r.Of, err)
	}
	return value.True(), nil
}

func (v Values) names() map[string][]byte {
	names := maps.Clone(v.Results)
	if names == nil {
		names = map[string][]byte{}
	}
	names["input"], names["item"] = v.Input, v.Item
	return names
}
