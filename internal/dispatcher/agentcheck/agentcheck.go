// Package agentcheck answers the agent checks of load balancers (HAProxy's agent-check): a
// connection gets one line, `ready up N%`, `drain` or `down`, perhaps with a note after #, and is
// closed.
package agentcheck

import (
	"context"
	"fmt"
	"net"
	"time"
)

// writeTimeout bounds the writing of an answer.
const writeTimeout = time.Second

// State is what a load balancer is told about this process.
type State struct {
	Ready, Draining       bool
	InFlight, MaxInFlight int    // unanswered jobs, and how many there may be
	Note                  string // for operators: load balancers show it and don't act on it
}

// Line is the state in the words of the protocol. `ready` ends the drain that a load balancer
// remembers from before a restart. The weight, in percent, falls as the jobs in flight reach
// their maximum, but never to 0, which would mean drain.
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

// Serve answers checks with the current state until the context ends, when it returns nil, or
// the listener fails.
func Serve(ctx context.Context, l net.Listener, state func() State) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() /* Accept returns in any case */ })
	defer stop()
	for {
		c, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return fmt.Errorf("serving agent checks: %w", err)
		}
		// One at a time: the line fits any socket's buffer. A load balancer that does not get
		// its answer asks again, so the errors change nothing.
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = fmt.Fprint(c, state().Line())
		_ = c.Close()
	}
}
