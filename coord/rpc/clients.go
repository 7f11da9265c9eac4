package rpc

import (
	"context"
	"sync"
)

// ClientPool are the peers that a process knows, by address. A client is made when it is first
// asked for. The methods may be called concurrently.
type ClientPool struct {
	mu  sync.Mutex
	all map[string]*Client
}

// Client returns the client of the peer at an address, as host:port.
func (c *ClientPool) Client(address string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.all[address]
	if client == nil {
		client = NewClient(address)
		if c.all == nil {
			c.all = map[string]*Client{}
		}
		c.all[address] = client
	}
	return client
}

// Call sends a message to a peer, once, and waits for its answer.
func (c *ClientPool) Call(ctx context.Context, address string, body any) (any, error) {
	return c.Client(address).Call(ctx, body)
}

// Close ends all connections.
func (c *ClientPool) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.all {
		client.Close()
	}
}
