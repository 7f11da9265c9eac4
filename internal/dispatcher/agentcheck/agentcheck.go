// Package agentcheck answers the agent checks of load balancers: a connection
// gets one line, `ready up N%`, `drain` or `down`, perhaps with
// a note after #, and is closed.
package agentcheck

import (
	"context"
	"fmt"
	"net"
	"time"
)

const writeTimeout = time.Second

// State is what a balancer is told.
type State struct {
	Ready, Draining       bool
	InFlight, MaxInFlight int    // transactions in hand, and how many there may be
	Note                  string // for the operators: balancers show it and do nothing about it
}

// Line is the state in the words of the protocol. `ready` takes back the drain
// that a balancer remembers from before a restart. The weight falls with the
// room that is left, and never to 0: that would mean drain.
func (s State) Line() string {
	answer := fmt.Sprintf("ready up %d%%", max(1, 100-100*min(s.InFlight, s.MaxInFlight)/max(1, s.MaxInFlight)))
	switch {
	case s.Draining:
		answer = "drain"
	case !s.Ready:
		answer = "down"
	}
	if s.Note != "" {
		answer += " #" + s.Note
	}
	return answer + "\n"
}

// Serve answers checks until the context ends or the listener fails.
func Serve(ctx context.Context, l net.Listener, state func() State) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return fmt.Errorf("serving agent checks: %w", err)
		}
		// One at a time: the line fits any socket's buffer.
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		fmt.Fprint(c, state().Line())
		c.Close()
	}
}
