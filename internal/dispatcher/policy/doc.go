// Package policy decides for one dispatcher process which worker gets which job and when. A worker
// is a member in the terms of package engine: it serves jobs, and several dispatchers send jobs to
// it.
//
// A Dispatcher is a state machine. Its caller, the engine or a simulator, passes it one event at a
// time through the Handle methods, with the current time, and the Dispatcher acts through a Host
// while it handles the event. It reads no clock, does no I/O, starts no goroutine and shares no
// memory; its methods must not be called concurrently, and time must not run backward. The same
// seed and the same events give the same actions.
//
// # The decisions in order
//
// An arriving job passes these steps; each has a file:
//
//  1. deadline.go: when the answer is due, and whether that time can still be met. A job that can't
//     be in time on the fastest worker is answered at once; it is refused if a retry is harmless.
//  2. queue.go: the job with the shortest expected run time goes first, with aging; in overload, the
//     most valuable one by cost.
//  3. affinity.go: jobs of one affinity key go to the same few workers, if those have capacity.
//  4. subset.go: each dispatcher works with a subset of the listed workers.
//  5. selection.go: of the compatible workers that the job fits, the one with the most headroom; in
//     this dispatcher's zone first if attempts in other zones have a price.
//  6. budget.go: whether a job fits a worker: the worker's learned concurrency budget, its reported
//     free slots, and in slow start what slowstart.go allows.
//
// While an attempt is in flight:
//
//  7. overdue.go: when an attempt is overdue, and what a late start shows about its worker.
//  8. hedging.go: a second attempt of a job that has not started, or the cancellation of the waiting
//     attempt in favor of another worker.
//
// When an attempt or a probe ends, or the list of workers changes:
//
//  9. learning.go: run times by class, by kind and by worker.
//  10. health.go: suspect workers, probation of those that fail more than their peers (outlier
//     ejection), and how both are readmitted.
//  11. reports.go: load reports, and which workers are probed for them.
//  12. retry.go: whether a job that was not served may run again.
//  13. membership.go: how the worker list is fetched, and how far it is trusted.
//
// settings.go, events.go and host.go are the interface; dispatcher.go has the event handlers,
// job.go and worker.go the tables. docs/design.md gives the reasons for the decisions.
package policy
