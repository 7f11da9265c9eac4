// Package rpc carries messages between the processes of a system: calls with a response, and one-way
// messages. Messages are Go values, encoded by encoding/gob, over connections that net/http opened
// and upgraded. A connection carries many calls at once and describes each type of message once.
//
// Nothing is promised: a message may be lost with its connection, and a call without a response may
// have been carried out or not. Each call is sent at most once. One-way messages of one connection
// arrive in their order.
//
// Both ends must Register the types of their messages before the first one is sent. During a rolling
// upgrade both ends may be of different versions: the names of types and fields are the wire's
// format.
package rpc
