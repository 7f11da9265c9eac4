// Package portreservation reserves loopback TCP ports for programs that listen on them later. Tests, and
// demonstrations that start processes, need an address before a program listens there.
//
// A reserved port is bound, but not listened on. Connections to it are refused, as if the port were unused.
// No other reservation gets the port, in this process or in another. A listener that sets SO_REUSEADDR, as
// all listeners of package net do, can still use it.
//
// The usual way to find a free port is to listen briefly and to close the listener again. That has neither
// of the first two properties: another process may take the port before the program listens, and a client
// that waits for the program may connect to the temporary listener instead.
package portreservation

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
)

// loopback is the address at which all ports are reserved.
var loopback = [4]byte{127, 0, 0, 1}

// ErrInUse is returned when another socket listens on a port or reserves it.
var ErrInUse = errors.New("the port is in use")

// Reservation is a port that is reserved for one listener.
type Reservation struct {
	socket int // bound, never listening
	port   int
}

// Ports are taken from a range below the system's ephemeral ports, which are those of outgoing connections
// and of listeners on port 0.
const (
	firstPort = 20000
	portCount = 12000
	// processSpread is the distance between the first ports that processes with consecutive IDs try, so
	// that processes that start together rarely try the same ports.
	processSpread = 131
)

// portsTried counts the ports that this process has tried.
var portsTried atomic.Uint32

// Reserve reserves a free port. The error wraps ErrInUse if there is none. The caller must close the
// reservation, unless it is to last as long as the process. Child processes don't inherit it.
func Reserve() (*Reservation, error) {
	first := uint32(os.Getpid()) * processSpread
	for range portCount {
		port := firstPort + (first+portsTried.Add(1))%portCount
		reservation, err := reservePort(int(port))
		if err == nil || !errors.Is(err, ErrInUse) {
			return reservation, err
		}
	}
	return nil, fmt.Errorf("no free port from %d to %d: %w", firstPort, firstPort+portCount-1, ErrInUse)
}

// reservePort reserves a given port. The error wraps ErrInUse if the port isn't free.
func reservePort(port int) (*Reservation, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserving a port: %w", err)
	}
	if err := bindExclusively(socket, port); err != nil {
		_ = syscall.Close(socket)
		return nil, fmt.Errorf("reserving port %d: %w", port, err)
	}
	return &Reservation{socket: socket, port: port}, nil
}

// bindExclusively binds a socket to a port that no other socket is bound to, and then sets SO_REUSEADDR, so
// that a listener that also sets it can share the port. If the option were set before the bind, two
// reservations could share the port as well.
func bindExclusively(socket, port int) error {
	err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: loopback, Port: port})
	if errors.Is(err, syscall.EADDRINUSE) {
		return fmt.Errorf("%w: %w", ErrInUse, err)
	}
	if err != nil {
		return err
	}
	return syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
}

// Addr returns the reserved address as host:port.
func (r *Reservation) Addr() string { return fmt.Sprintf("127.0.0.1:%d", r.port) }

// Close releases the port.
func (r *Reservation) Close() error { return syscall.Close(r.socket) }

// Range is a set of consecutive ports that are reserved for the listeners of one program.
type Range []*Reservation

// ReserveRange reserves count consecutive free ports. The error wraps ErrInUse if there are none. The caller
// must close the range, unless it is to last as long as the process.
func ReserveRange(count int) (Range, error) {
	for range portCount / count {
		first, err := Reserve()
		if err != nil {
			return nil, err
		}
		reserved, err := extend(Range{first}, count)
		if err == nil {
			return reserved, nil
		}
		_ = reserved.Close() // closing a socket that is only bound loses nothing
		if !errors.Is(err, ErrInUse) {
			return nil, err
		}
	}
	return nil, fmt.Errorf("no %d consecutive ports: %w", count, ErrInUse)
}

// extend reserves the ports that follow a range until the range has count ports. After an error it returns
// the ports reserved so far.
func extend(reserved Range, count int) (Range, error) {
	for len(reserved) < count {
		next, err := reservePort(reserved.First() + len(reserved))
		if err != nil {
			return reserved, err
		}
		reserved = append(reserved, next)
	}
	return reserved, nil
}

// First returns the first port.
func (r Range) First() int { return r[0].port }

// Close releases the ports.
func (r Range) Close() error {
	var err error
	for _, reservation := range r {
		err = errors.Join(err, reservation.Close())
	}
	return err
}
