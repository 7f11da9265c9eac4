package controlplane

import (
	"context"
	"sync"
	"time"

	"basaltloft/coord/replica"
	"basaltloft/coord/rpc"
)

// peers are the connections to other core processes, by address. It implements
// group.Transport.
type peers struct {
	self string
	mu   sync.Mutex
	all  map[string]*rpc.Client
	own  func(message replica.Message) // takes what this process sends to itself
}

func newPeers(self string) *peers { return &peers{self: self, all: map[string]*rpc.Client{}} }

func (p *peers) client(address string) *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.all[address]
	if client == nil {
		client = rpc.NewClient(address)
		p.all[address] = client
	}
	return client
}

// Send implements group.Transport.
func (p *peers) Send(address string, message replica.Message) {
	if address == p.self {
		p.own(message)
		return
	}
	_ = p.client(address).Cast(message)
}

// cast sends a message that may be lost.
func (p *peers) cast(address string, message any) {
	if address != "" && address != p.self {
		_ = p.client(address).Cast(message)
	}
}

func (p *peers) call(address string, within time.Duration, message any) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return p.client(address).Call(ctx, message)
}

// close ends the connections.
func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, client := range p.all {
		client.Close()
	}
}
