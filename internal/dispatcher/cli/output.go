package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// printf writes to standard output or standard error. It ignores errors: they could not be reported anywhere.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// writeJSON writes a value as indented JSON.
func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// table writes lines of cells, each of which ends with a tab, in aligned columns.
type table struct {
	w   *tabwriter.Writer
	err error // the first one
}

// newTable returns an empty table that writes to out. flags are those of package tabwriter.
func newTable(out io.Writer, flags uint) *table {
	return &table{w: tabwriter.NewWriter(out, 0, 0, 2, ' ', flags)}
}

// line adds a line.
func (t *table) line(format string, args ...any) {
	if _, err := fmt.Fprintf(t.w, format+"\n", args...); err != nil && t.err == nil {
		t.err = err
	}
}

// flush writes the lines and returns the first error.
func (t *table) flush() error {
	if err := t.w.Flush(); t.err == nil {
		t.err = err
	}
	return t.err
}
