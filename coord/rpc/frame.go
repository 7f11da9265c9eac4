package rpc

import (
	"encoding/gob"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Errors of calls and one-way messages.
var (
	// ErrBusy: the message was not sent.
	ErrBusy = errors.New("the connection's queue is full: try again later")
	// ErrConnectionLost: the call may have been carried out or not.
	ErrConnectionLost = errors.New("the connection ended: whether the call was carried out is not known")
)

// frameKind is the kind of a frame. The numbers are sent.
type frameKind uint8

const (
	frameCall frameKind = iota
	frameResponse
	frameOneWay
)

// frame is the unit of a connection. The names of the type and of its exported fields are sent.
type frame struct {
	ID   uint64 // of the call, the same in its response
	Kind frameKind
	Body any // of a type that is registered

	cancelled *atomic.Bool // of a call: its caller has given up, so that it is not sent any more; nil: it can't
}

// Register makes types of messages known under their Go names. It is called before the first message
// is sent, usually by an init function, and panics where a name or type is registered otherwise.
func Register(messages ...any) {
	for _, message := range messages {
		gob.Register(message)
	}
}

// RegisterName makes a type of message known under a given name. The name travels with each message,
// so builds that run beside each other must agree on it: it stays as it is when the type or its
// package is renamed.
func RegisterName(name string, message any) { gob.RegisterName(name, message) }
