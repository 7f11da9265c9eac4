// Package rpc sends messages between the processes of a system: calls, which have a response, and
// one-way messages. Messages are Go values, encoded by encoding/gob. Connections are opened by net/http
// and upgraded to this package's protocol. A connection carries many concurrent calls, and the
// description of each message type once.
//
// Delivery is not guaranteed: a message may be lost with its connection, and a call without a response
// may or may not have been executed. Each call is sent at most once. The one-way messages of one
// connection arrive in order.
//
// Both ends must Register the types of their messages before the first one is sent. During a rolling
// upgrade the two ends may run different versions, so the names of types and fields are part of the
// wire format.
package rpc
