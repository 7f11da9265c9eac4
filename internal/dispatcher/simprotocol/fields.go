package simprotocol

import (
	"fmt"
	"math"
	"strconv"
)

// field is one key=value pair of a line.
type field struct{ name, value []byte }

// split parses a line: it returns the name of the message and stores the fields in d.fields.
func (d *Decoder) split(line []byte) ([]byte, error) {
	d.fields = d.fields[:0]
	name, rest, more := cutByte(line, '\t')
	for more {
		var pair []byte
		pair, rest, more = cutByte(rest, '\t')
		key, value, ok := cutByte(pair, '=')
		if !ok || len(key) == 0 {
			return nil, fmt.Errorf("%s: %q is not name=value", name, pair)
		}
		if string(key) == "conf" && more { // the value is the rest of the line, tabs included
			value = line[len(line)-len(rest)-1-len(value):]
			more = false
		}
		if _, duplicate := d.field(string(key)); duplicate {
			return nil, fmt.Errorf("%s: %s given twice", name, key)
		}
		d.fields = append(d.fields, field{key, value})
	}
	return name, nil
}

// cutByte is bytes.Cut for one byte.
func cutByte(b []byte, sep byte) (before, after []byte, found bool) {
	for i, c := range b {
		if c == sep {
			return b[:i], b[i+1:], true
		}
	}
	return b, nil, false
}

// field returns the value of a field of the line and reports whether the line has the field.
func (d *Decoder) field(name string) ([]byte, bool) {
	for i := range d.fields {
		if string(d.fields[i].name) == name {
			return d.fields[i].value, true
		}
	}
	return nil, false
}

// required returns the value of a field, or an error if the field is missing.
func (d *Decoder) required(name string) ([]byte, error) {
	v, ok := d.field(name)
	if !ok {
		return nil, fmt.Errorf("%s is missing", name)
	}
	return v, nil
}

// text returns the value of a field as a newly allocated string, or an error if it is missing or empty.
func (d *Decoder) text(name string) (string, error) {
	v, err := d.required(name)
	if err == nil && len(v) == 0 {
		err = fmt.Errorf("%s is empty", name)
	}
	return string(v), err
}

// internedField returns the value of a required field, interned because its values repeat.
func (d *Decoder) internedField(name string) (string, error) {
	v, err := d.required(name)
	if err != nil {
		return "", err
	}
	return d.intern(v), nil
}

// optionalInterned returns the value of a field, interned, or "" if the field is missing.
func (d *Decoder) optionalInterned(name string) string {
	v, _ := d.field(name)
	return d.intern(v)
}

// intern returns the bytes as a string; equal values are allocated only once.
func (d *Decoder) intern(v []byte) string {
	if w, ok := d.interned[string(v)]; ok {
		return w
	}
	w := string(v)
	d.interned[w] = w
	return w
}

// integer returns the value of a required integer field.
func (d *Decoder) integer(name string) (int64, error) {
	v, err := d.required(name)
	if err != nil {
		return 0, err
	}
	return parseInt(name, v)
}

// optionalInt returns the value of an integer field, or 0 if the field is missing.
func (d *Decoder) optionalInt(name string) (int64, error) {
	v, ok := d.field(name)
	if !ok {
		return 0, nil
	}
	return parseInt(name, v)
}

// parseInt parses a decimal integer; only numbers of more than 18 digits cost an allocation.
func parseInt(name string, v []byte) (int64, error) {
	negative := len(v) > 0 && v[0] == '-'
	digits := v
	if negative {
		digits = v[1:]
	}
	if len(digits) == 0 || len(digits) > 18 {
		n, err := strconv.ParseInt(string(v), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: bad integer %q", name, v)
		}
		return n, nil
	}
	var n int64
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, fmt.Errorf("%s: bad integer %q", name, v)
		}
		n = n*10 + int64(c-'0')
	}
	if negative {
		n = -n
	}
	return n, nil
}

// optionalFloat returns the value of a number field, or 0 if the field is missing.
func (d *Decoder) optionalFloat(name string) (float64, error) {
	v, ok := d.field(name)
	if !ok {
		return 0, nil
	}
	return parseFloat(name, v)
}

// parseFloat parses a finite number.
func parseFloat(name string, v []byte) (float64, error) {
	f, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, fmt.Errorf("%s: bad number %q", name, v)
	}
	return f, nil
}

// flag returns the value of a field that is 0 or 1, or false if the field is missing.
func (d *Decoder) flag(name string) (bool, error) {
	v, ok := d.field(name)
	switch {
	case !ok || string(v) == "0":
		return false, nil
	case string(v) == "1":
		return true, nil
	}
	return false, fmt.Errorf("%s: bad bool %q", name, v)
}
