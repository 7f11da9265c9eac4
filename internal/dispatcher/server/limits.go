package server

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"

	"basaltloft/internal/dispatcher/adminapi"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/settings"
)

const (
	// socketsPerMB keeps the connections within the memory: one on which nothing but a long
	// header has come costs 33 KB, and half of the sockets are clients'.
	socketsPerMB = 8
	// programTextBytes is what the program takes of the memory beside what the Go runtime counts.
	programTextBytes = 16 << 20
	// defaultSockets is the limit where the configuration names none, minSockets the least.
	defaultSockets = 1024
	minSockets     = 32
	// maxBodyBytes bounds the bodies of all jobs together where the memory does not bound them.
	maxBodyBytes = 16 << 20
)

// ApplyResourceLimits sets the Go runtime of this process to the cores and the memory that the
// configuration allows it.
func ApplyResourceLimits(c settings.Config) {
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	}
	if c.MemoryMB > 0 {
		memory := int64(c.MemoryMB) << 20
		debug.SetMemoryLimit(max(memory/2, min(memory*3/4, memory-programTextBytes)))
		debug.SetGCPercent(400)
	}
}

// socketLimit is how many descriptors this process may hold: as many as the configuration says,
// but no more than the system allows, and than its memory bears. Of each 16, clients get 8, flows
// to pool members 4, probes and ends of flows 2; the rest is the program's own: a connection that
// waits to be accepted, discovery's old call and its new one, listeners, the log and what the Go
// runtime needs.
func socketLimit(c settings.Config) int {
	n := c.Sockets
	if n <= 0 {
		n = defaultSockets
	}
	var allowed syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &allowed); err == nil && allowed.Cur < uint64(n) {
		n = int(allowed.Cur)
	}
	if c.MemoryMB > 0 {
		n = min(n, c.MemoryMB*socketsPerMB)
	}
	return max(n, minSockets)
}

// frontSocketLimit is the socketLimit without the descriptors of the admin API and of Faktory's
// connections, but at least half of it.
func frontSocketLimit(o Options) int {
	n := socketLimit(o.Config)
	if o.Config.Admin != "" {
		n = max(n/2, n-adminapi.MaxConnections)
	}
	if o.Operator.Faktory != nil {
		n = max(n/2, n-o.Operator.Faktory.Connections)
	}
	return n
}

// jobLimits bounds the jobs that are open at a time. They are fewer than the connections: clients
// that wait for an answer must leave some for the call-backs that bring answers, and for
// refusals. If clients took them all, no job's start or end could be reported, and all pool
// members would look full.
func jobLimits(c settings.Config, sockets int) pipeline.Limits {
	limits := pipeline.Limits{MaxOpen: sockets/2 - max(8, sockets/16), MaxBodyBytes: maxBodyBytes}
	if c.MemoryMB > 0 { // a body is held twice for a moment, and connections have buffers
		limits.MaxBodyBytes = min(limits.MaxBodyBytes, c.MemoryMB<<20/8)
	}
	return limits
}
