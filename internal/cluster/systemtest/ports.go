package systemtest

import (
	"net"
	"strconv"
	"testing"
)

// mostPortTries bounds how many ports FreePorts tries.
const mostPortTries = 50

// FreePorts returns the first of count consecutive ports that are free at all the addresses.
// It fails the test where it finds none.
func FreePorts(t testing.TB, count int, ips ...string) int {
	t.Helper()
	for range mostPortTries {
		first, err := freePort(ips[0])
		if err != nil {
			t.Fatalf("listen at %s: %v", ips[0], err)
		}
		if allFree(first, count, ips) {
			return first
		}
	}
	t.Fatal("no consecutive ports are free")
	return 0
}

// freePort returns a port that the system chose at an address.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

func allFree(first, count int, ips []string) bool {
	for _, ip := range ips {
		for port := first; port < first+count; port++ {
			listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}
