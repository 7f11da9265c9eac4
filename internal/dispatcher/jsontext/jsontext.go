// Package jsontext writes fastjson values as JSON. fastjson's own MarshalTo quotes strings as Go source
// does, so that a control character becomes \x11 or \a. This is not valid JSON: a worker could not parse a
// job with such a character.
package jsontext

import (
	"unicode/utf8"

	"github.com/valyala/fastjson"
)

// Append appends a value's JSON to a slice and returns the extended slice. Keys keep their order, and
// numbers keep their text.
// Invalid UTF-8 becomes U+FFFD.
func Append(to []byte, v *fastjson.Value) []byte {
	switch v.Type() {
	case fastjson.TypeObject:
		to = append(to, '{')
		first := true
		v.GetObject().Visit(func(key []byte, at *fastjson.Value) {
			if !first {
				to = append(to, ',')
			}
			first = false
			to = appendString(to, key)
			to = append(to, ':')
			to = Append(to, at)
		})
		return append(to, '}')
	case fastjson.TypeArray:
		to = append(to, '[')
		for i, at := range v.GetArray() {
			if i > 0 {
				to = append(to, ',')
			}
			to = Append(to, at)
		}
		return append(to, ']')
	case fastjson.TypeString:
		return appendString(to, v.GetStringBytes())
	}
	return v.MarshalTo(to) // numbers, true, false and null
}

// hex holds the digits of \u escapes.
const hex = "0123456789abcdef"

// appendString appends a string as a JSON string, in quotes and with escapes.
func appendString(to, s []byte) []byte {
	to = append(to, '"')
	begin := 0
	for i := 0; i < len(s); {
		c := s[i]
		if c >= ' ' && c != '"' && c != '\\' && c < utf8.RuneSelf {
			i++
			continue
		}
		size := 1
		if c >= utf8.RuneSelf {
			var r rune
			if r, size = utf8.DecodeRune(s[i:]); r != utf8.RuneError || size > 1 {
				i += size
				continue
			}
		}
		to = append(to, s[begin:i]...)
		switch {
		case c == '"' || c == '\\':
			to = append(to, '\\', c)
		case c == '\n':
			to = append(to, '\\', 'n')
		case c == '\r':
			to = append(to, '\\', 'r')
		case c == '\t':
			to = append(to, '\\', 't')
		case c < ' ':
			to = append(to, '\\', 'u', '0', '0', hex[c>>4], hex[c&15])
		default:
			to = append(to, "\uFFFD"...)
		}
		i += size
		begin = i
	}
	to = append(to, s[begin:]...)
	return append(to, '"')
}
