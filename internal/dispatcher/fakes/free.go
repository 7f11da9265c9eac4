package fakes

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

var tried atomic.Uint32

// FreeAddr is a loopback address that nothing listens on. It lies below the ports
// that the system gives out by itself: one of those may be taken by anybody's
// connection before the program that is told of it listens there.
func FreeAddr() (string, error) {
	const first, count = 20000, 12000
	for range count {
		port := first + (uint32(os.Getpid())*131+tried.Add(1))%count
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", fmt.Errorf("no free port from %d on", first)
}
