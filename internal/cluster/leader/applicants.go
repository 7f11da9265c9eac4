package leader

import (
	"maps"
	"slices"
	"time"
)

// applicantLifetime is how long a node counts as an applicant after its last request to join a group. A node
// that has no vote in the group sends several requests a second.
const applicantLifetime = 3 * time.Second

// Applicants holds the nodes that recently asked to join a group. A group has a bounded number of members.
// With more control-plane nodes than that, some are not members of the configuration's group, though they
// may lead shards; the configuration's leader learns their addresses only from their requests to join. The
// zero value is empty. It must not be used concurrently.
type Applicants struct {
	lastRequest map[string]time.Duration // by internal address
}

// Requested records a node's request to join. It reports whether the node was not an applicant before.
func (a *Applicants) Requested(now time.Duration, address string) (isNew bool) {
	if a.lastRequest == nil {
		a.lastRequest = map[string]time.Duration{}
	}
	last, known := a.lastRequest[address]
	a.lastRequest[address] = now
	return !known || now-last > applicantLifetime
}

// Addresses returns the applicants' addresses, sorted. It removes the nodes whose last request is too old.
func (a *Applicants) Addresses(now time.Duration) []string {
	maps.DeleteFunc(a.lastRequest, func(_ string, last time.Duration) bool { return now-last > applicantLifetime })
	return slices.Sorted(maps.Keys(a.lastRequest))
}
