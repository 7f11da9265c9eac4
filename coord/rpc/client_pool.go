package rpc

import (
	"context"
	"sync"
)

// ClientPool holds the clients of a process, by address. The zero value is an empty pool. Its methods
// may be called concurrently.
type ClientPool struct {
	mu      sync.Mutex
	clients map[string]*Client
}

// Client returns the client of the peer at the given address (host:port). It creates the client on the
// first call for the address.
func (p *ClientPool) Client(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.clients[address]
	if client == nil {
		client = NewClient(address)
		if p.clients == nil {
			p.clients = map[string]*Client{}
		}
		p.clients[address] = client
	}
	return client
}

// Call sends a message to the peer at an address and waits for its response, as Client.Call does.
func (p *ClientPool) Call(ctx context.Context, address string, body any) (any, error) {
	return p.Client(address).Call(ctx, body)
}

// Close closes the connections of all clients, as Client.Close does.
func (p *ClientPool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, client := range p.clients {
		client.Close()
	}
}
