package fakes

import (
	"context"
	"net"
)

// listenLoopback listens on a loopback port that the system chooses.
func listenLoopback() (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
}
