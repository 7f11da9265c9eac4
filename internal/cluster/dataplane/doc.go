// Package dataplane is the dispatcher of the cluster scheduler (the program basaltloft-edge):
// clients submit jobs to it over HTTP, query their states and cancel them, and it forwards the
// requests to the leaders of the shards. It stores nothing. Package router decides whether the
// configuration is valid and which nodes get the requests; this package does the I/O and supplies
// the time.
package dataplane
