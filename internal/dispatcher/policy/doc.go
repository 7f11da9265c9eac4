// Package policy decides, beside each submitter of jobs, which worker gets which job and when.
//
// A Dispatcher is a state machine. Its caller, the engine or a simulator, hands it one event at a
// time through the Handle methods, with the present time, and the Dispatcher acts through a Host
// while it handles the event. It reads no clock, does no I/O, starts no goroutine and shares
// nothing; its methods must not be called concurrently, and time must not run backward. The same
// seed and the same events give the same actions.
//
// # The decisions in order
//
// A job that arrives passes these steps; each has a file:
//
//  1. deadline.go: until when an answer is of use, and whether it can still be met. A job that can't
//     be in time on the fastest worker is answered at once, refused if a retry does no harm.
//  2. queue.go: queued jobs go shortest expected first, with aging; in overload by value.
//  3. affinity.go: jobs of one affinity key go to the same few workers, if those have room.
//  4. subset.go: each dispatcher works with a subset of the listed workers.
//  5. selection.go: of the compatible workers that the job fits the one with the most headroom, in
//     the own zone where crossing has a price.
//  6. budget.go: whether a job fits a worker: the worker's learned concurrency budget, its reported
//     free slots, and in slow start what slowstart.go allows.
//
// While an attempt is in flight:
//
//  7. overdue.go: when an attempt is overdue, and what a late start says of its worker.
//  8. hedging.go: a second attempt of a job that does not start, or its recall from where it waits.
//
// When an attempt, a probe or a list tells something:
//
//  9. learning.go: run times by class, by kind and by worker.
//  10. health.go: suspect workers, probation of those that fail more than their peers (outlier
//     ejection), and the way back.
//  11. reports.go: load reports, and which workers are probed for them.
//  12. retry.go: whether a job that was not served may run again.
//  13. membership.go: what a list of workers binds to, and how far it is believed.
//
// settings.go, events.go and host.go are the interface; dispatcher.go has the events' handlers,
// job.go and worker.go the tables. docs/design.md tells why the decisions are as they are.
package policy
