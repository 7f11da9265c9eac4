package group

import (
	"time"

	"basaltloft/coord/replica"
)

// Lease is a leader's right to act without asking the others.
type Lease struct {
	Epoch uint64        // the term
	Until time.Duration // by the replica's clock; 0: it has no lease
}

// Envelope is a message with the address, as host:port, that it goes to.
type Envelope struct {
	Address string
	Message replica.Message
}

// Effects are what an Engine asks of its driver.
type Effects struct {
	Lease    Lease
	Leader   replica.Member // the zero value: none is known
	Messages []Envelope
	Writes   []DiskWrite // in order; Engine.Persisted is called once some are synced
}

// Execute carries the effects out in the order that is safe: the lease is published before anything
// is sent, so that no other goroutine relies on one that a message gives up.
func (e *Effects) Execute(publish func(Lease, replica.Member), write func([]DiskWrite), send func(Envelope)) {
	publish(e.Lease, e.Leader)
	if len(e.Writes) > 0 {
		write(e.Writes)
	}
	for _, message := range e.Messages {
		send(message)
	}
}
