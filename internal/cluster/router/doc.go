// Package router makes the routing decisions of a dispatcher: which version of the operators'
// configuration it may act on, to which control-plane node it sends the requests for a shard, which
// requests a client's request needs, and which response to the client their responses allow.
//
// It does no I/O and reads no clock: the caller (package dataplane) sends the requests, and passes in the
// time as a duration on a monotonic clock of its own choice. A Call belongs to one client's request, and
// uses one View throughout; the Watcher is shared by all requests.
package router
