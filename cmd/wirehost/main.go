// Command wirehost hosts dispatchers on the wire: events come in on standard
// input, actions go out on standard output. Instances share nothing.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/simprotocol"
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
	dec, enc := simprotocol.NewDecoder(in), simprotocol.NewEncoder(out)
	instances := make(map[string]*policy.Dispatcher)
	for {
		ev, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch ev.Kind {
		case simprotocol.BatchStart:
		case simprotocol.BatchEnd:
			if err := enc.Finish(); err != nil {
				return fmt.Errorf("writing a reply: %w", err)
			}
		case simprotocol.Configure:
			d, err := policy.New(ev.Settings, enc.Host(ev.Instance))
			if err != nil {
				return fmt.Errorf("%s: %w", dec.Position(), err)
			}
			instances[ev.Instance] = d
		default:
			d := instances[ev.Instance]
			if d == nil {
				return fmt.Errorf("%s: event for %s, which was never configured", dec.Position(), ev.Instance)
			}
			if ev.Kind == simprotocol.Teardown {
				delete(instances, ev.Instance)
				continue
			}
			deliver(d, ev)
		}
	}
}

// deliver hands an event to its dispatcher. Peers' messages are read and not
// delivered: dispatchers share nothing.
func deliver(d *policy.Dispatcher, ev *simprotocol.Event) {
	switch ev.Kind {
	case simprotocol.MembershipChanged:
		d.HandleMembers(ev.Now, ev.ListKind, ev.Members)
	case simprotocol.RequestArrived:
		d.HandleRequest(ev.Now, ev.Request)
	case simprotocol.AttemptEnded:
		d.HandleAttemptResult(ev.Now, ev.AttemptResult)
	case simprotocol.ProbeAnswered:
		d.HandleProbeResult(ev.Now, ev.ProbeResult)
	case simprotocol.AttemptUpdated:
		d.HandleAttemptUpdate(ev.Now, ev.AttemptUpdate)
	case simprotocol.StreamStarted:
		d.HandleStreamStart(ev.Now, ev.StreamStart)
	case simprotocol.ClientGone:
		d.HandleClientGone(ev.Now, ev.RequestID)
	case simprotocol.TimerFired:
		d.HandleTimer(ev.Now, ev.TimerToken)
	}
}
