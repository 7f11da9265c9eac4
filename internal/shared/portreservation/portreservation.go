// Package portreservation keeps loopback TCP ports for programs that listen on them later:
// tests, and demonstrations that start processes, have to name an address before anything
// listens there.
//
// A reserved port is bound and never listened on. Connections to it are refused, as they
// are where nothing is; no other reservation gets it, in this process or in another; and a
// listener that sets SO_REUSEADDR, as each one of package net does, may still take it. To
// listen for a moment and close again, which is the usual way to find a free port, has
// neither property: a client that waits for the program may be connected to the one that
// only looks.
package portreservation

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
)

// loopback is the address that all ports are reserved at.
var loopback = [4]byte{127, 0, 0, 1}

// ErrInUse says that something else listens on a port or has reserved it.
var ErrInUse = errors.New("the port is in use")

// Reservation is a port that is kept for one listener.
type Reservation struct {
	socket int // bound, never listening
	port   int
}

// Ports are taken from a range below the one that the system chooses from for outgoing
// connections and for listeners that name no port.
const (
	firstPort = 20000
	portCount = 12000
	// processSpread is the distance between the first ports that processes with consecutive
	// ids try, so that processes that start together seldom try the same ones.
	processSpread = 131
)

var portsTried atomic.Uint32

// Reserve reserves a port that nothing listens on. The error wraps ErrInUse if there is
// none. The caller must Close the reservation, unless it is to last as long as the process;
// programs that the process starts don't inherit it.
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

// reservePort reserves one port. The error wraps ErrInUse if it is taken.
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

// bindExclusively binds a socket to a port that no other socket has, and then lets a
// listener that sets SO_REUSEADDR share it. Set before, the option would let two
// reservations share the port as well.
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

// Close gives the port back.
func (r *Reservation) Close() error { return syscall.Close(r.socket) }

// Range is consecutive ports that are kept for the listeners of one program.
type Range []*Reservation

// ReserveRange reserves count consecutive ports that nothing listens on. The error wraps ErrInUse if
// there are none. The caller must Close the range, unless it is to last as long as the process.
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
		_ = reserved.Close() // the sockets are bound to nothing else
		if !errors.Is(err, ErrInUse) {
			return nil, err
		}
	}
	return nil, fmt.Errorf("no %d consecutive ports: %w", count, ErrInUse)
}

// extend reserves the ports that follow a range until it has count of them.
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

// Close gives the ports back.
func (r Range) Close() error {
	var faults error
	for _, reservation := range r {
		faults = errors.Join(faults, reservation.Close())
	}
	return faults
}
