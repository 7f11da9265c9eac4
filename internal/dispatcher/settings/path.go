package settings

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"
)

// pathPart matches a key of a path with the indexes that follow it.
var pathPart = regexp.MustCompile(`^([^\[\]]+)((?:\[\d+\])*)$`)

// splitPath returns the keys and indexes of a path such as experiment.members[0].queue, and false if the path
// is malformed.
func splitPath(path string) (keys []string, ok bool) {
	for part := range strings.SplitSeq(path, ".") {
		m := pathPart.FindStringSubmatch(part)
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

// find returns the value at a path, or nil if there is none.
func find(v *fastjson.Value, path string) *fastjson.Value {
	if keys, ok := splitPath(path); ok {
		return v.Get(keys...)
	}
	return nil
}

// override replaces the value at a path, which must exist.
func override(v *fastjson.Value, p Override) error {
	keys, ok := splitPath(p.Path)
	if !ok || v.Get(keys...) == nil {
		return fmt.Errorf("the file has nothing at %q", p.Path)
	}
	value, err := fastjson.Parse(p.Value)
	if err != nil {
		return fmt.Errorf("%s: %q is no JSON value: %w", p.Path, p.Value, err)
	}
	last := len(keys) - 1
	parent := v.Get(keys[:last]...)
	if parent.Type() == fastjson.TypeArray {
		n, err := strconv.Atoi(keys[last])
		if err != nil {
			return fmt.Errorf("%s: %w", p.Path, err)
		}
		parent.SetArrayItem(n, value)
		return nil
	}
	parent.Set(keys[last], value)
	return nil
}
