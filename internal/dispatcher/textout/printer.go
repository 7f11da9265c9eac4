// Package textout writes formatted text for people and keeps the first error, so that the
// code that prints many lines checks for an error only once, at the end.
package textout

import (
	"fmt"
	"io"
)

// Printer writes formatted text to a writer. After the first error it writes nothing more. It is not
// safe for concurrent use.
type Printer struct {
	out io.Writer
	err error
}

// New returns a printer that writes to a writer.
func New(out io.Writer) *Printer { return &Printer{out: out} }

// Printf writes as fmt.Fprintf does.
func (p *Printer) Printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, args...)
	}
}

// Println writes as fmt.Fprintln does.
func (p *Printer) Println(args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintln(p.out, args...)
	}
}

// Err returns the first error of the writer, or nil.
func (p *Printer) Err() error { return p.err }
