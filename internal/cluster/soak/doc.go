// Package soak runs the cluster scheduler as real processes on loopback, under faults drawn from a seed:
// control-plane nodes and dispatchers are started, stopped, killed, frozen and reconfigured in overlapping
// series while clients keep their connections open, and everything visible from outside is checked.
//
// Run executes the events of a Plan on a deployment. Its clients, operators and runners record what they
// observe in exchanges, a jobTracker, a configTracker and a runLog; each of these checks its rules and adds
// violations to Findings. A Timeline holds what happened to the processes: planned operations, and unplanned
// faults, during and shortly after which only some rules are checked. Only tests import this package.
package soak
