package router

import "time"

// unresponsiveNodes holds, by address, when a request to a control-plane node last had no response. The
// other nodes name a frozen or partitioned node as leader until they have elected another one; without this
// record a dispatcher would wait for that node each time it is named.
type unresponsiveNodes map[string]time.Duration

const (
	// minUnresponsiveWait is how long a failed request must have waited for its node to be avoided. A
	// request that fails sooner met a closed port, and another request to that port costs no time.
	minUnresponsiveWait = 150 * time.Millisecond
	// avoidanceDuration is how long an unresponsive node is avoided. An election takes less time.
	avoidanceDuration = 700 * time.Millisecond
)

// recordFailure records that a request that was sent at sentAt has failed.
func (u unresponsiveNodes) recordFailure(address string, sentAt, now time.Duration) {
	if now-sentAt >= minUnresponsiveWait {
		u[address] = now
	}
}

// recordResponse records that a node has responded.
func (u unresponsiveNodes) recordResponse(address string) { delete(u, address) }

// avoided reports whether a node was unresponsive within the last avoidanceDuration.
func (u unresponsiveNodes) avoided(address string, now time.Duration) bool {
	last, recorded := u[address]
	return recorded && now-last < avoidanceDuration
}

// next returns the next address in round-robin order, skipping those that are avoided unless all of them
// are. It advances turn past the skipped ones. addresses must not be empty.
func (u unresponsiveNodes) next(addresses []string, turn *int, now time.Duration) string {
	for range addresses {
		address := addresses[*turn%len(addresses)]
		if !u.avoided(address, now) {
			return address
		}
		*turn++
	}
	return addresses[*turn%len(addresses)]
}
