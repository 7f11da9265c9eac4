// Package sets keeps the jobs of the Faktory front that wait: in queues, or in the sets of
// scheduled, retried and dead jobs, with the locks of unique ones. It decides when a job is
// due, whether a failed one is tried again, and which jobs exceed the limits.
//
// It does no I/O, reads no clock and starts no goroutine: the caller passes the time, and must
// not use a Store concurrently.
package sets
