// Package demo runs a dispatcher with both fronts, or a fleet of dispatchers, with a simulated
// environment on loopback. It needs no set-up: discovery, pool members, clients and Faktory workers are
// fakes. Run and RunFleet implement the program's sub-command demo; the soak and tests also use World as
// the environment of a dispatcher.
package demo
