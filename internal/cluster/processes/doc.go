// Package processes starts the programs of the cluster scheduler as processes of the operating system, for
// tests that need signals, exit statuses and builds of other commits. Tests and package soak import it.
package processes
