// Package textout writes formatted text for people and keeps the first error, so that a
// report of many lines checks its writer once, at its end.
package textout

import (
	"fmt"
	"io"
)

// Printer formats to a writer. After the first error it writes nothing more. It is not
// safe for concurrent use.
type Printer struct {
	out io.Writer
	err error
}

// New returns a printer to a writer.
func New(out io.Writer) *Printer { return &Printer{out: out} }

// Printf formats as fmt.Fprintf does.
func (p *Printer) Printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, args...)
	}
}

// Println formats as fmt.Fprintln does.
func (p *Printer) Println(args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintln(p.out, args...)
	}
}

// Err returns the first error of the writer, or nil.
func (p *Printer) Err() error { return p.err }
