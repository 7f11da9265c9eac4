// Package sets holds the waiting jobs of the Faktory front: in queues, or in the sets of
// scheduled, retried and dead jobs, with the locks of unique jobs. It decides when a job is
// due, whether a failed job is retried, and which jobs exceed the limits.
//
// It does no I/O, reads no clock and starts no goroutine: the caller passes the time, and must
// not use a Store concurrently.
package sets
