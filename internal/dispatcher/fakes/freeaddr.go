package fakes

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// listenLoopback listens on a loopback port, 0 for any.
func listenLoopback(port uint32) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

var portsTried atomic.Uint32

// FreeAddr returns a loopback address that nothing listens on. Its port is below those
// that the system assigns by itself: one of these may be taken by any connection before
// the program that gets the address listens there.
func FreeAddr() (string, error) {
	const firstPort, count = 20000, 12000
	const spread = 131 // so that processes that start together try other ports
	for range count {
		port := firstPort + (uint32(os.Getpid())*spread+portsTried.Add(1))%count
		l, err := listenLoopback(port)
		if err != nil {
			continue // in use
		}
		addr := l.Addr().String()
		return addr, l.Close()
	}
	return "", fmt.Errorf("no free port from %d on", firstPort)
}
