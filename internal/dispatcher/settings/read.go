package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// Problem is one mistake in a file: the key it is at, and what is wrong.
type Problem struct{ Key, Reason string }

// String returns the problem as a line.
func (p Problem) String() string {
	if p.Key == "" {
		return p.Reason
	}
	return p.Key + ": " + p.Reason
}

// Problems are all mistakes of a file.
type Problems []Problem

// Error implements error: it lists all problems.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
	}
	return strings.Join(lines, "; ")
}

// reader takes values out of a JSON object. An absent key or null leaves the
// zero value; a value of another type is a problem. All problems are kept, and
// the keys that were asked for, so that those nobody asked for can be named.
type reader struct {
	at       *fastjson.Value
	in       string
	problems Problems
	asked    map[string]bool
}

// newReader returns a reader of a whole file.
func newReader(at *fastjson.Value) *reader {
	return &reader{at: at, asked: make(map[string]bool)}
}

// inner reads another value whose problems and keys belong to this reader's.
func (r *reader) inner(at *fastjson.Value, in string) *reader {
	return &reader{at: at, in: r.in + in, asked: r.asked}
}

// join records what an inner reader found.
func (r *reader) join(o *reader) { r.problems = append(r.problems, o.problems...) }

// err is what was found wrong; nil: nothing.
func (r *reader) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return r.problems
}

// get returns the value at a path if it has a type; nil: it has none, or another.
func (r *reader) get(path string, want fastjson.Type) *fastjson.Value {
	v := r.find(path)
	if v == nil {
		return nil
	}
	if v.Type() != want {
		r.fail(path+" of type "+want.String(), fmt.Errorf("got a %s", v.Type()))
		return nil
	}
	return v
}

// find returns what is at a path, or nil for nothing and null.
func (r *reader) find(path string) *fastjson.Value {
	if r.asked != nil {
		for i := range path {
			if path[i] == '.' {
				r.asked[r.in+path[:i]] = true
			}
		}
		r.asked[r.in+path] = true
	}
	v := r.at.Get(strings.Split(path, ".")...)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

// fail records a problem.
func (r *reader) fail(path string, err error) {
	r.problems = append(r.problems, Problem{r.in + path, err.Error()})
}

// take records an error of a part that was read on its own.
func (r *reader) take(path string, err error) {
	var inner Problems
	if !errors.As(err, &inner) {
		r.fail(path, err)
	}
	for _, p := range inner {
		r.problems = append(r.problems, Problem{r.in + path + "." + p.Key, p.Reason})
	}
}

// text reads a string.
func (r *reader) text(path string) string {
	if v := r.get(path, fastjson.TypeString); v != nil {
		return string(v.GetStringBytes())
	}
	return ""
}

// number reads a number.
func (r *reader) number(path string) float64 {
	if v := r.get(path, fastjson.TypeNumber); v != nil {
		return v.GetFloat64()
	}
	return 0
}

// whole reads an integer; a fraction or one beyond 64 bits is an error.
func (r *reader) whole(path string) int64 {
	v := r.get(path, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	n, err := v.Int64()
	if err != nil {
		r.fail(path, err)
	}
	return n
}

// count reads an integer that is not negative; absent or 0 gives the default.
func (r *reader) count(path string, byDefault int64) int64 {
	n := r.whole(path)
	if n < 0 {
		r.fail(path, errors.New("must not be negative"))
	}
	if n <= 0 {
		return byDefault
	}
	return n
}

// span reads a duration in nanoseconds.
func (r *reader) span(path string) time.Duration { return time.Duration(r.whole(path)) }

// seconds reads a duration in seconds, which may have a fraction.
func (r *reader) seconds(path string) time.Duration {
	return time.Duration(r.number(path) * float64(time.Second))
}

// milliseconds reads a duration in milliseconds, which may have a fraction.
func (r *reader) milliseconds(path string) time.Duration {
	return time.Duration(r.number(path) * float64(time.Millisecond))
}

// microseconds reads a duration in microseconds, which may have a fraction.
func (r *reader) microseconds(path string) time.Duration {
	return time.Duration(r.number(path) * float64(time.Microsecond))
}

// flag reads a boolean.
func (r *reader) flag(path string) bool {
	v := r.find(path)
	if v == nil || v.Type() == fastjson.TypeFalse {
		return false
	}
	if v.Type() != fastjson.TypeTrue {
		r.fail(path+" of type bool", fmt.Errorf("got a %s", v.Type()))
	}
	return v.Type() == fastjson.TypeTrue
}

// names reads an array of texts.
func (r *reader) names(path string) (names []string) {
	for _, v := range r.list(path) {
		names = append(names, string(v.GetStringBytes()))
	}
	return names
}

// each reads the entries of an array, with readers of their own.
func (r *reader) each(path string, read func(r *reader)) {
	for i, at := range r.list(path) {
		inner := r.inner(at, fmt.Sprintf("%s[%d].", path, i))
		read(inner)
		r.join(inner)
	}
}

// list reads an array.
func (r *reader) list(path string) []*fastjson.Value {
	if v := r.get(path, fastjson.TypeArray); v != nil {
		return v.GetArray()
	}
	return nil
}

// unknown names the keys of an object that were never asked for. A key that
// begins with # is a comment. Below the paths that are skipped nothing is
// looked at.
func (r *reader) unknown(skip ...string) (keys []string) {
	var walk func(v *fastjson.Value, in string)
	walk = func(v *fastjson.Value, in string) {
		o, err := v.Object()
		if err != nil {
			return
		}
		o.Visit(func(name []byte, at *fastjson.Value) {
			key := in + string(name)
			switch {
			case strings.HasPrefix(string(name), "#") || slices.Contains(skip, key):
			case !r.asked[r.in+key]:
				keys = append(keys, key)
			default:
				walk(at, key+".")
			}
		})
	}
	walk(r.at, "")
	slices.Sort(keys)
	return keys
}
