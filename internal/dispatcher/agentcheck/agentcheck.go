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

// State is the state of this process that load balancers get.
type State struct {
	Ready, Draining       bool
	InFlight, MaxInFlight int    // number of unanswered jobs, and its limit
	Note                  string // for operators: load balancers display it and don't act on it
}

// Line returns the state as a line of the protocol. `ready` ends a drain that the load balancer has kept
// since before a restart of this process. The weight, in percent, falls as the jobs in flight approach
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

// Serve answers checks with the current state until the context ends or the listener fails. It returns
// nil in the first case and an error in the second.
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
		// Connections are answered one at a time: the line fits any socket's buffer. Errors are
		// ignored, since a load balancer that gets no answer checks again.
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = fmt.Fprint(c, state().Line())
		_ = c.Close()
	}
}
