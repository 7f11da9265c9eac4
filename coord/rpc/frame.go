package rpc

import (
	"encoding/gob"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Errors of calls and one-way messages.
var (
	// ErrBusy is returned when the queue to the peer is full. The message was not sent.
	ErrBusy = errors.New("the connection's queue is full: try again later")
	// ErrConnectionLost is returned when a call ends without a response. The peer may or may not have
	// executed the call.
	ErrConnectionLost = errors.New("the connection was lost: it is not known whether the call was executed")
)

// frameKind is the kind of a frame. Its numeric values are part of the wire format.
type frameKind uint8

const (
	frameCall frameKind = iota
	frameResponse
	frameOneWay
)

// frame is the unit of transmission on a connection. The names of the type and of its exported fields
// are part of the wire format.
type frame struct {
	ID   uint64 // of the call; the same in its response
	Kind frameKind
	Body any // of a registered type

	cancelled *atomic.Bool // set when the caller cancels the call, so that it is not sent any more; nil unless a call
}

// Register registers types of messages under their Go names. It must be called before the first message
// is sent, usually by an init function. It panics if a type or name is already registered differently.
func Register(messages ...any) {
	for _, message := range messages {
		gob.Register(message)
	}
}

// RegisterName registers a type of message under a given name. The name is sent with each message, so
// builds that run side by side must agree on it: it must not change when the type or its package is
// renamed.
func RegisterName(name string, message any) { gob.RegisterName(name, message) }
