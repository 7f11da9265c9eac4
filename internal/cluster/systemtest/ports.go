package systemtest

import (
	"context"
	"net"
	"strconv"
	"testing"
)

// portAttempts bounds how many ports FreePorts tries.
const portAttempts = 50

// FreePorts returns the first of count consecutive ports that are free at all the addresses.
// It fails the test if it finds none.
func FreePorts(t testing.TB, count int, ips ...string) int {
	t.Helper()
	for range portAttempts {
		first, err := freePort(t.Context(), ips[0])
		if err != nil {
			t.Fatalf("listen at %s: %v", ips[0], err)
		}
		if allFree(t.Context(), first, count, ips) {
			return first
		}
	}
	t.Fatal("no consecutive ports are free")
	return 0
}

// freePort returns a free port at an address, which the operating system chose.
func freePort(ctx context.Context, ip string) (int, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	port := listener.Addr().(*net.TCPAddr).Port
	return port, listener.Close()
}

// allFree reports whether count ports from first on are free at each address.
func allFree(ctx context.Context, first, count int, ips []string) bool {
	for _, ip := range ips {
		for port := first; port < first+count; port++ {
			if tryListen(ctx, net.JoinHostPort(ip, strconv.Itoa(port))) != nil {
				return false
			}
		}
	}
	return true
}

// tryListen listens at an address, closes the listener and returns the error of either.
func tryListen(ctx context.Context, address string) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return listener.Close()
}
