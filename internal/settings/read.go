package settings

import (
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// reader takes values out of a JSON object. An absent key or null leaves the
// zero value; a value of another type is an error, and the first one is kept.
type reader struct {
	at  *fastjson.Value
	in  string
	err error
}

func (r *reader) get(path string, want fastjson.Type) *fastjson.Value {
	v := r.at.Get(strings.Split(path, ".")...)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	if v.Type() != want {
		r.fail(path+" of type "+want.String(), fmt.Errorf("got a %s", v.Type()))
		return nil
	}
	return v
}

func (r *reader) fail(path string, err error) {
	if r.err == nil {
		r.err = fmt.Errorf("%s%s: %w", r.in, path, err)
	}
}

func (r *reader) text(path string) string {
	if v := r.get(path, fastjson.TypeString); v != nil {
		return string(v.GetStringBytes())
	}
	return ""
}

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

func (r *reader) span(path string) time.Duration { return time.Duration(r.whole(path)) }

func (r *reader) flag(path string) bool {
	v := r.at.Get(strings.Split(path, ".")...)
	if v == nil || v.Type() == fastjson.TypeNull || v.Type() == fastjson.TypeFalse {
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

func (r *reader) list(path string) []*fastjson.Value {
	if v := r.get(path, fastjson.TypeArray); v != nil {
		return v.GetArray()
	}
	return nil
}
