// Package processes starts the programs of the cluster scheduler as processes of the operating system, for
// tests that need signals, exits and builds of other commits. It is imported by tests and by package soak.
package processes
