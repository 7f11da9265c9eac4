package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// ShutdownSchedule is a planned end: what happens when, in absolute times.
type ShutdownSchedule struct {
	Began       time.Time
	RefuseFrom  time.Time // what comes from here on must be answered by Dismiss
	CloseIdleAt time.Time // connections between requests are closed then
	ListenUntil time.Time // listeners stay open until here at least
	DismissAt   time.Time
}

// PlanShutdown is what happens when after a signal. Clients learn of it late and go on opening connections for a
// while; those that hold one are served on it for longer, since the dispatcher
// that they would turn to may be on its way back. The end by force comes no
// sooner after the signal than the longest deadline, taken as 3 s where it is
// longer, and 0.7 s, and finds nothing unanswered that came later than 0.7 s
// after the signal.
func PlanShutdown(began time.Time, longestTimeout time.Duration) ShutdownSchedule {
	forcedEnd := began.Add(min(longestTimeout, 3*time.Second) + 700*time.Millisecond)
	// New connections come for 0.4 s: no end, however near, closes before that.
	listenUntil := latest(forcedEnd.Add(-1200*time.Millisecond), began.Add(500*time.Millisecond))
	return ShutdownSchedule{
		Began: began, RefuseFrom: began.Add(600 * time.Millisecond), CloseIdleAt: listenUntil.Add(-100 * time.Millisecond), ListenUntil: listenUntil,
		DismissAt: forcedEnd.Add(-400 * time.Millisecond),
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// component is one part of the program that is started, drained and stopped.
// What it does not have is nil. A new front is one entry in the assembly.
type component struct {
	name        string
	listen      string                                          // an address; empty: none
	inheritedFD int                                             // a listening descriptor to serve on instead of listen; 0: none
	serve       func(ctx context.Context, l net.Listener) error // until the context ends; l is nil without an address
	drain       func(ShutdownSchedule)                          // a planned end has begun
	closeIdle   func()                                          // at its Stays
	inFlight    func() int                                      // what the end still waits for
	stop        func(ctx context.Context) error                 // once nothing is in hand

	listener net.Listener
}

// listenTimeout is how long a start tries for an address that another process still has, such
// as the one whose place it takes.
const listenTimeout = 5 * time.Second

// listenOn takes the component's socket. Where another process has the address it tries
// until then, and says so.
func (c *component) listenOn(ctx context.Context, deadline time.Time, log logrus.FieldLogger) error {
	if c.inheritedFD > 0 {
		l, err := inheritedListener(c.inheritedFD)
		if err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
		c.listener = l
		return nil
	}
	if c.listen == "" {
		return nil
	}
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for first := true; ; first = false {
		l, err := net.Listen("tcp", c.listen)
		switch {
		case err == nil:
			c.listener = l
			return nil
		case !errors.Is(err, syscall.EADDRINUSE) || !time.Now().Before(deadline):
			return fmt.Errorf("%s: listening: %w", c.name, err)
		case first:
			log.WithFields(logrus.Fields{"component": c.name, "listen": c.listen}).Warn("the address is taken: waiting for it")
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("%s: listening: %w", c.name, err)
		}
	}
}

// inheritedListener makes a listener of a descriptor that this process was handed. It
// fails unless the descriptor is a listening TCP socket.
func inheritedListener(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), fmt.Sprintf("descriptor %d", fd))
	if f == nil {
		return nil, fmt.Errorf("descriptor %d is not open", fd)
	}
	defer f.Close() // the listener holds a copy of its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("the socket handed over as descriptor %d: %w", fd, err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return nil, fmt.Errorf("descriptor %d is no TCP listener", fd)
	}
	return l, nil
}
