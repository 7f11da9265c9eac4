package group

import (
	"time"

	"basaltloft/coord/replica"
)

// Lease is a leader lease: until it expires, the leader may act without contacting a quorum.
type Lease struct {
	Epoch uint64        // the Raft term
	Until time.Duration // expiry by the replica's clock; 0 without a lease
}

// Envelope is a message with the address (host:port) of its receiver.
type Envelope struct {
	Address string
	Message replica.Message
}

// Effects are the actions that an Engine requests from its driver.
type Effects struct {
	Lease    Lease
	Leader   replica.Member // the zero value if none is known
	Messages []Envelope
	Writes   []DiskWrite // in order; the driver calls Engine.Persisted after syncing them
}

// Execute executes the effects in a safe order: it publishes the lease before it sends messages. A
// message may give up the lease, and no other goroutine may rely on the lease after that.
func (e *Effects) Execute(publish func(Lease, replica.Member), write func([]DiskWrite), send func(Envelope)) {
	publish(e.Lease, e.Leader)
	if len(e.Writes) > 0 {
		write(e.Writes)
	}
	for _, message := range e.Messages {
		send(message)
	}
}
