package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"
)

// component is a part of the process that is started, drained and stopped. Functions that it does not
// need are nil.
type component struct {
	name        string
	listen      string // address to listen on; empty: none
	inheritedFD int    // a listening descriptor to serve on instead; 0: none

	// serve runs until the context ends, on the listener if there is one.
	serve func(ctx context.Context, l net.Listener) error
	// drain is called when the shutdown begins.
	drain func(ShutdownSchedule)
	// closeIdle is called at the schedule's CloseIdleAt.
	closeIdle func()
	// inFlight returns the number of requests that the shutdown must wait for.
	inFlight func() int
	// stop is called when nothing is in flight any more.
	stop func(ctx context.Context) error

	listener net.Listener // nil until listenOn, and without an address
}

// listenTimeout is how long a starting process tries to listen on an address that another process still
// uses, such as the process that it replaces. listenRetryInterval is the time between two attempts.
const (
	listenTimeout       = 5 * time.Second
	listenRetryInterval = 10 * time.Millisecond
)

// listenOn opens the component's listener. While another process uses the address it retries until the
// deadline.
func (c *component) listenOn(ctx context.Context, deadline time.Time, log *slog.Logger) error {
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
	ticker := time.NewTicker(listenRetryInterval)
	defer ticker.Stop()
	var config net.ListenConfig
	for first := true; ; first = false {
		l, err := config.Listen(ctx, "tcp", c.listen)
		switch {
		case err == nil:
			c.listener = l
			return nil
		case !errors.Is(err, syscall.EADDRINUSE) || !time.Now().Before(deadline):
			return fmt.Errorf("%s: listening: %w", c.name, err)
		case first:
			log.Warn("the address is taken: waiting for it", "component", c.name, "listen", c.listen)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%s: listening: %w", c.name, err)
		}
	}
}

// inheritedListener returns a listener on a descriptor that this process has inherited. It fails unless
// the descriptor is a listening TCP socket.
func inheritedListener(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), fmt.Sprintf("descriptor %d", fd))
	if f == nil {
		return nil, fmt.Errorf("descriptor %d is not open", fd)
	}
	defer func() { _ = f.Close() }() // the listener has its own copy of the descriptor
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("the socket handed over as descriptor %d: %w", fd, err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		_ = l.Close() // the error that matters is returned
		return nil, fmt.Errorf("descriptor %d is no TCP listener", fd)
	}
	return l, nil
}
