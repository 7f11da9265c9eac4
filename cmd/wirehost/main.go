// Command wirehost hosts dispatchers on the wire: events come in on standard
// input, actions go out on standard output. Instances share nothing.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"basaltloft"
	"basaltloft/internal/wire"
)

func main() {
	debug.SetGCPercent(800) // the live heap is small; collect seldom
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// run answers batches from in on out until the end of input.
func run(in io.Reader, out io.Writer) error {
	dec, enc := wire.NewDecoder(in), wire.NewEncoder(out)
	instances := make(map[string]*basaltloft.Dispatcher)
	for {
		ev, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch ev.Kind {
		case wire.BatchStart:
		case wire.BatchEnd:
			if err := enc.Finish(); err != nil {
				return fmt.Errorf("writing a reply: %w", err)
			}
		case wire.Configure:
			d, err := basaltloft.New(ev.Settings, enc.Host(ev.Instance))
			if err != nil {
				return fmt.Errorf("%s: %w", dec.At(), err)
			}
			instances[ev.Instance] = d
		default:
			d := instances[ev.Instance]
			if d == nil {
				return fmt.Errorf("%s: event for %s, which was never configured", dec.At(), ev.Instance)
			}
			if ev.Kind == wire.Teardown {
				delete(instances, ev.Instance)
				continue
			}
			deliver(d, ev)
		}
	}
}

// deliver hands an event to its dispatcher. Peers' messages are read and not
// delivered: dispatchers share nothing.
func deliver(d *basaltloft.Dispatcher, ev *wire.Event) {
	switch ev.Kind {
	case wire.Members:
		d.Members(ev.Now, ev.List, ev.Entries)
	case wire.Ingress:
		d.Request(ev.Now, ev.Request)
	case wire.Completed:
		d.Outcome(ev.Now, ev.Outcome)
	case wire.StatusBack:
		d.Probed(ev.Now, ev.Probed)
	case wire.StatusNote:
		d.Note(ev.Now, ev.Note)
	case wire.Opened:
		d.First(ev.Now, ev.First)
	case wire.Lapsed:
		d.Gone(ev.Now, ev.ID)
	case wire.Elapsed:
		d.Timer(ev.Now, ev.Token)
	}
}
