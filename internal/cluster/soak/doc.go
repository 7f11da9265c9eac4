// Package soak plays seeded runs of the cluster scheduler with real processes on loopback: control-plane
// nodes and dispatchers are started, stopped, killed, frozen and reconfigured in overlapping series while
// clients hold their connections open, and everything that is seen from outside is checked.
//
// A Run plays the events of a Plan on a deployment; its clients, operators and runners write down what they
// saw, in Exchanges, a jobLedger, a configLedger and a runLog, and each of these finds what broke a rule.
// What happened to the processes is on a Timeline: planned work, and unplanned trouble near which few rules
// hold. Only tests import this package.
package soak
