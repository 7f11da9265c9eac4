package controlplane

import (
	"context"
	"time"

	"basaltloft/coord/replica"
	"basaltloft/coord/rpc"
)

// peers are the other core processes, by address. It implements group.Transport.
type peers struct {
	self    string
	clients rpc.ClientPool
	own     func(message replica.Message) // takes what this process sends to itself
}

func newPeers(self string) *peers { return &peers{self: self} }

// Send implements group.Transport.
func (p *peers) Send(address string, message replica.Message) {
	if address == p.self {
		p.own(message)
		return
	}
	_ = p.clients.Client(address).SendOneWay(message)
}

// cast sends a message that may be lost.
func (p *peers) cast(address string, message any) {
	if address != "" && address != p.self {
		_ = p.clients.Client(address).SendOneWay(message)
	}
}

// call sends a message, once, and waits for its answer.
func (p *peers) call(address string, within time.Duration, message any) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return p.clients.Call(ctx, address, message)
}

// close ends the connections.
func (p *peers) close() { p.clients.Close() }
