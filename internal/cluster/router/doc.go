// Package router decides for a dispatcher: which version of the operators' configuration it may
// act on, which control-plane node it asks for a shard, which requests serve a client's request,
// and what their responses allow the client to be told.
//
// It does no I/O and reads no clock: the caller (package dataplane) passes the time in, as a
// duration on a monotonic clock of its own choice, and sends the requests. View and Call belong
// to one client's request; Watcher is shared by all of them.
package router
