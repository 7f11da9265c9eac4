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
func deliver(dispatcher *policy.Dispatcher, event *simprotocol.Event) {
	switch event.Kind {
	case simprotocol.MembershipChanged:
		dispatcher.HandleMembers(event.Now, event.ListKind, event.Members)
	case simprotocol.RequestArrived:
		dispatcher.HandleRequest(event.Now, event.Request)
	case simprotocol.AttemptEnded:
		dispatcher.HandleAttemptResult(event.Now, event.AttemptResult)
	case simprotocol.ProbeAnswered:
		dispatcher.HandleProbeResult(event.Now, event.ProbeResult)
	case simprotocol.AttemptUpdated:
		dispatcher.HandleAttemptUpdate(event.Now, event.AttemptUpdate)
	case simprotocol.StreamStarted:
		dispatcher.HandleStreamStart(event.Now, event.StreamStart)
	case simprotocol.ClientGone:
		dispatcher.HandleClientGone(event.Now, event.RequestID)
	case simprotocol.TimerFired:
		dispatcher.HandleTimer(event.Now, event.TimerToken)
	}
}
