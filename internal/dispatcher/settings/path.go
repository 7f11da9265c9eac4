package settings

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"
)

// step is a key of a path, with the indexes behind it.
var step = regexp.MustCompile(`^([^\[\]]+)((?:\[\d+\])*)$`)

// steps returns the keys and indexes of a path such as experiment.members[0].queue; false: it is malformed.
func steps(path string) (keys []string, ok bool) {
	for part := range strings.SplitSeq(path, ".") {
		m := step.FindStringSubmatch(part)
		if m == nil {
			return nil, false
		}
		keys = append(keys, m[1])
		for n := range strings.SplitSeq(strings.Trim(m[2], "[]"), "][") {
			if n != "" {
				keys = append(keys, n)
			}
		}
	}
	return keys, true
}

// find returns the value at a path, or nil.
func find(v *fastjson.Value, path string) *fastjson.Value {
	if keys, ok := steps(path); ok {
		return v.Get(keys...)
	}
	return nil
}

// put sets the value at a path, which must be there.
func put(v *fastjson.Value, p Override) error {
	keys, ok := steps(p.Path)
	if !ok || v.Get(keys...) == nil {
		return fmt.Errorf("the file has nothing at %q", p.Path)
	}
	value, err := fastjson.Parse(p.Value)
	if err != nil {
		return fmt.Errorf("%s: %q is no JSON value: %w", p.Path, p.Value, err)
	}
	last := len(keys) - 1
	in := v.Get(keys[:last]...)
	if in.Type() == fastjson.TypeArray {
		n, err := strconv.Atoi(keys[last])
		if err != nil {
			return fmt.Errorf("%s: %w", p.Path, err)
		}
		in.SetArrayItem(n, value)
		return nil
	}
	in.Set(keys[last], value)
	return nil
}
