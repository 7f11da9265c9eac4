package controlplane

import (
	"context"
	"time"

	"basaltloft/coord/replica"
	"basaltloft/coord/rpc"
)

// peers are the other control-plane nodes, by internal address. It implements group.Transport. One-way
// messages may be lost: their senders repeat them where that matters, so that errors are discarded.
type peers struct {
	self         string // this node's own address
	clients      rpc.ClientPool
	deliverLocal func(message replica.Message) // takes what this node sends to itself
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

// call sends a request, once, and waits for its response.
func (p *peers) call(address string, timeout time.Duration, request any) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return p.clients.Call(ctx, address, request)
}

// close closes the connections.
func (p *peers) close() { p.clients.Close() }
