package controlplane

import (
	"context"
	"time"

	"basaltloft/coord/replica"
	"basaltloft/coord/rpc"
)

// peers holds the connections to the other control-plane nodes, by internal address. It implements
// group.Transport. It discards the errors of one-way messages: these may be lost, and their senders repeat
// them if necessary.
type peers struct {
	self         string // this node's own address
	clients      rpc.ClientPool
	deliverLocal func(message replica.Message) // receives the messages that this node sends to itself
}

func newPeers(self string) *peers { return &peers{self: self} }

// Send implements group.Transport.
func (p *peers) Send(address string, message replica.Message) {
	if address == p.self {
		p.deliverLocal(message)
		return
	}
	_ = p.clients.Client(address).SendOneWay(message)
}

// sendOneWay sends a message to another node, unless the address is empty or this node's own.
func (p *peers) sendOneWay(address string, message any) {
	if address != "" && address != p.self {
		_ = p.clients.Client(address).SendOneWay(message)
	}
}

// call sends a request once and waits for the response.
func (p *peers) call(address string, timeout time.Duration, request any) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return p.clients.Call(ctx, address, request)
}

// close closes all connections.
func (p *peers) close() { p.clients.Close() }
