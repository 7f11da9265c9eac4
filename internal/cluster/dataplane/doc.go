// Package dataplane is the dispatcher of the cluster scheduler (the program basaltloft-edge):
// clients submit jobs to it over HTTP, ask for their states and cancel them, and it passes the
// requests to the leaders of the shards. It stores nothing. What it may act on and whom it asks
// is decided by package router; this package does the I/O and keeps the clock.
package dataplane
