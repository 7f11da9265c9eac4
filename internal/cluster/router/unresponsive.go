package router

import "time"

// unresponsiveNodes remembers, by address, when a control-plane node last left a request without
// a response. A node that is frozen or cut off is named as leader until the others have elected
// another; without this memory a dispatcher would wait for it each time it is named.
type unresponsiveNodes map[string]time.Duration

const (
	// minUnresponsiveWait is how long a request must have waited for its failure to count. One that
	// fails sooner has met a closed port, and another request there costs nothing.
	minUnresponsiveWait = 150 * time.Millisecond
	// avoidanceDuration is how long an unresponsive node is avoided: an election takes less.
	avoidanceDuration = 700 * time.Millisecond
)

// recordFailure records that a request, sent at the given time, has failed.
func (u unresponsiveNodes) recordFailure(address string, sentAt, now time.Duration) {
	if now-sentAt >= minUnresponsiveWait {
		u[address] = now
	}
}

// recordResponse records that a node has responded.
func (u unresponsiveNodes) recordResponse(address string) { delete(u, address) }

// avoided tells whether a node was unresponsive a short while ago.
func (u unresponsiveNodes) avoided(address string, now time.Duration) bool {
	last, recorded := u[address]
	return recorded && now-last < avoidanceDuration
}

// next returns the next address in turn, skipping those to be avoided unless all are. It
// advances the turn past the skipped ones. addresses must not be empty.
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
