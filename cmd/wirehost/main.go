// Command wirehost runs the policy dispatchers of a simulation: events arrive on standard input,
// and actions leave on standard output, in the line protocol of package simprotocol. The instances
// share nothing.
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
	debug.SetGCPercent(800) // the live heap is small, so collections can be rare
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// run answers batches until the end of input. It returns the first error, which names the line.
func run(in io.Reader, out io.Writer) error {
	decoder, encoder := simprotocol.NewDecoder(in), simprotocol.NewEncoder(out)
	instances := make(map[string]*policy.Dispatcher)
	for {
		event, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch event.Kind {
		case simprotocol.BatchStart:
		case simprotocol.BatchEnd:
			if err := encoder.Finish(); err != nil {
				return fmt.Errorf("writing a reply: %w", err)
			}
		case simprotocol.Configure:
			dispatcher, err := policy.New(event.Settings, encoder.Host(event.Instance))
			if err != nil {
				return fmt.Errorf("%s: %w", decoder.Position(), err)
			}
			instances[event.Instance] = dispatcher
		default:
			dispatcher := instances[event.Instance]
			if dispatcher == nil {
				return fmt.Errorf("%s: event for %s, which was never configured", decoder.Position(), event.Instance)
			}
			if event.Kind == simprotocol.Teardown {
				delete(instances, event.Instance)
				continue
			}
			deliver(dispatcher, event)
		}
	}
}

// deliver passes an event to its dispatcher. Messages of peers are dropped: the instances share
// nothing.
func deliver(d *policy.Dispatcher, ev *simprotocol.Event) {
	switch event.Kind {
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
