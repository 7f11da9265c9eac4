// Package demo runs a dispatcher with both fronts, or a fleet of dispatchers, and the world
// around it on loopback, with nothing set up: discovery, pool members, clients and Faktory
// workers are fakes. Run and RunFleet are the program's sub-command demo; the World is also
// what the soak and tests run around a dispatcher.
package demo
