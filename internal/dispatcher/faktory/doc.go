// Package faktory is the Faktory front, one of the dispatcher's network interfaces: it speaks
// the Faktory work protocol, version 2, to clients that push jobs and to workers that fetch them.
//
// A pushed job passes the same pipeline into the same engine as a job of the HTTP front,
// and a worker is a pool member like any other: it can fetch only what the engine routed
// to it.
//
//   - Server accepts connections; a session is one connection after its HELLO, and each
//     commands_*.go file has the handlers of one family of commands.
//   - backlog holds the jobs that wait (package sets), the batches (package batch) and the
//     state of each job (task). It submits a job to the engine when a FETCH waits for its
//     queue, and receives the engine's answer.
//   - workers implements engine.Transport: it keeps a mailbox for each worker, and the
//     reservations of the jobs that were fetched.
//
// The caller makes a Server with New, sets the plans with SetPlans if there are any, and
// then runs Serve until its context ends; Drain may be called meanwhile.
package faktory
