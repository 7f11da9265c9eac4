package server

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"

	"basaltloft/internal/dispatcher/adminapi"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/settings"
	"basaltloft/internal/shared/saturating"
)

const (
	// socketsPerMB limits the connections so that they fit into the memory: one on which only a long
	// header has arrived takes 33 KB, and half of the sockets are for clients.
	socketsPerMB = 8
	// programTextBytes is the memory that the program uses beyond what the Go runtime counts.
	programTextBytes = 16 << 20
	// defaultSockets is the limit if the configuration sets none, minSockets the smallest limit.
	defaultSockets = 1024
	minSockets     = 32
	// maxBodyBytes limits the total size of all jobs' bodies if no memory limit results in a lower one.
	maxBodyBytes = 16 << 20
)

// ApplyResourceLimits limits the Go runtime of this process to the cores and the memory that the
// configuration allows.
func ApplyResourceLimits(c settings.Config) {
	if c.Cores > 0 {
		runtime.GOMAXPROCS(max(1, saturating.Int(math.Ceil(c.Cores))))
	}
	if c.MemoryMB > 0 {
		memory := int64(c.MemoryMB) << 20
		debug.SetMemoryLimit(max(memory/2, min(memory*3/4, memory-programTextBytes)))
		debug.SetGCPercent(400)
	}
}

// socketLimit returns how many descriptors this process may hold: the number in the configuration, but no
// more than the system allows and the memory suffices for, and at least minSockets. Of each 16, 8 are for
// clients, 4 for flows to pool members, and 2 for probes and for ending flows. The other 2 are for the
// program itself: a connection that waits to be accepted, the old and the new call to discovery,
// listeners, the log and the Go runtime.
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

// frontSocketLimit returns the socketLimit less the descriptors for the admin API and for Faktory's
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

// jobLimits returns the limits of the jobs that are open at a time. There may be fewer open jobs than
// connections, so that waiting clients leave some for the pool members' call-backs with results, and for
// refusals. If clients used all connections, no job's start or end could be reported, and all pool
// members would appear full.
func jobLimits(c settings.Config, sockets int) pipeline.Limits {
	limits := pipeline.Limits{MaxOpen: sockets/2 - max(8, sockets/16), MaxBodyBytes: maxBodyBytes}
	if c.MemoryMB > 0 { // a body is briefly in memory twice, and connections have buffers
		limits.MaxBodyBytes = min(limits.MaxBodyBytes, c.MemoryMB<<20/8)
	}
	return limits
}
