package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"basaltloft/internal/shared/saturating"
)

// Problem is one mistake in a file: its key, and a description.
type Problem struct{ Key, Reason string }

// String returns the problem as a line.
func (p Problem) String() string {
	if p.Key == "" {
		return p.Reason
	}
	return p.Key + ": " + p.Reason
}

// Problems holds all mistakes of a file.
type Problems []Problem

// Error implements error: it lists all problems.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
	}
	return strings.Join(lines, "; ")
}

// reader reads values of a JSON object. An absent key or null gives the zero
// value; a value of another type is a problem. The reader records all problems,
// and the keys that were read, so that unknownKeys can return the others.
type reader struct {
	at       *fastjson.Value // the object
	prefix   string          // path of the object in the file, for problems and keysRead
	problems Problems
	keysRead map[string]bool // nil: keys are not recorded
}

// newReader returns a reader of a whole file.
func newReader(at *fastjson.Value) *reader {
	return &reader{at: at, keysRead: make(map[string]bool)}
}

// sub returns a reader of a value within the object. It shares keysRead with r; its problems
// must be added to r by addProblems.
func (r *reader) sub(at *fastjson.Value, prefix string) *reader {
	return &reader{at: at, prefix: r.prefix + prefix, keysRead: r.keysRead}
}

// addProblems records the problems of a reader that sub returned.
func (r *reader) addProblems(o *reader) { r.problems = append(r.problems, o.problems...) }

// err returns the recorded problems, or nil if there are none.
func (r *reader) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return r.problems
}

// get returns the value at a path if it has the wanted type, otherwise nil. A value of another type is a
// problem.
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

// find returns the value at a path, or nil if it is absent or null.
func (r *reader) find(path string) *fastjson.Value {
	if r.keysRead != nil {
		for i := range path {
			if path[i] == '.' {
				r.keysRead[r.prefix+path[:i]] = true
			}
		}
		r.keysRead[r.prefix+path] = true
	}
	v := r.at.Get(strings.Split(path, ".")...)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

// fail records a problem.
func (r *reader) fail(path string, err error) {
	r.problems = append(r.problems, Problem{r.prefix + path, err.Error()})
}

// addError records the error of a part that was read by a separate reader.
func (r *reader) addError(path string, err error) {
	var inner Problems
	if !errors.As(err, &inner) {
		r.fail(path, err)
	}
	for _, p := range inner {
		r.problems = append(r.problems, Problem{r.prefix + path + "." + p.Key, p.Reason})
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

// integer reads an integer; a fraction or a value beyond 64 bits is a problem.
func (r *reader) integer(path string) int64 {
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

// count reads a non-negative integer; it returns the default for an absent key or 0.
func (r *reader) count(path string, byDefault int64) int64 {
	n := r.integer(path)
	if n < 0 {
		r.fail(path, errors.New("must not be negative"))
	}
	if n <= 0 {
		return byDefault
	}
	return n
}

// span reads a duration in nanoseconds.
func (r *reader) span(path string) time.Duration { return time.Duration(r.integer(path)) }

// seconds reads a duration in seconds, which may have a fraction.
func (r *reader) seconds(path string) time.Duration {
	return saturating.Duration(r.number(path) * float64(time.Second))
}

// milliseconds reads a duration in milliseconds, which may have a fraction.
func (r *reader) milliseconds(path string) time.Duration {
	return saturating.Duration(r.number(path) * float64(time.Millisecond))
}

// microseconds reads a duration in microseconds, which may have a fraction.
func (r *reader) microseconds(path string) time.Duration {
	return saturating.Duration(r.number(path) * float64(time.Microsecond))
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

// names reads an array of strings.
func (r *reader) names(path string) (names []string) {
	for _, v := range r.list(path) {
		names = append(names, string(v.GetStringBytes()))
	}
	return names
}

// each calls read for each entry of an array, with a reader of the entry.
func (r *reader) each(path string, read func(r *reader)) {
	for i, at := range r.list(path) {
		sub := r.sub(at, fmt.Sprintf("%s[%d].", path, i))
		read(sub)
		r.addProblems(sub)
	}
}

// list reads an array.
func (r *reader) list(path string) []*fastjson.Value {
	if v := r.get(path, fastjson.TypeArray); v != nil {
		return v.GetArray()
	}
	return nil
}

// unknownKeys returns the keys of the object that were not read, sorted. A key
// that begins with # is a comment. The keys in skip, and all below them, are
// left out.
func (r *reader) unknownKeys(skip ...string) (keys []string) {
	var walk func(v *fastjson.Value, prefix string)
	walk = func(v *fastjson.Value, prefix string) {
		o, err := v.Object()
		if err != nil {
			return
		}
		o.Visit(func(name []byte, at *fastjson.Value) {
			key := prefix + string(name)
			switch {
			case strings.HasPrefix(string(name), "#") || slices.Contains(skip, key):
			case !r.keysRead[r.prefix+key]:
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
