package leader

import (
	"maps"
	"slices"
	"time"
)

// applicantLifetime is how long a node counts as an applicant after it last asked to join a group: it
// asks several times a second while it has no vote there.
const applicantLifetime = 3 * time.Second

// Applicants are the nodes that asked lately to join a group. A group has a bounded number of members, so
// that with more control-plane nodes than that some stay outside the configuration's group, and lead
// shards all the same: the configuration's leader knows them only by their requests. The zero value is
// empty; it must not be used concurrently.
type Applicants struct {
	lastRequest map[string]time.Duration // by internal address
}

// Requested notes that a node asked to join. It tells whether the node was no applicant before.
func (a *Applicants) Requested(now time.Duration, address string) (isNew bool) {
	if a.lastRequest == nil {
		a.lastRequest = map[string]time.Duration{}
	}
	last, known := a.lastRequest[address]
	a.lastRequest[address] = now
	return !known || now-last > applicantLifetime
}

// Addresses returns the applicants' addresses, in order, and forgets the nodes that are applicants no more.
func (a *Applicants) Addresses(now time.Duration) []string {
	maps.DeleteFunc(a.lastRequest, func(_ string, last time.Duration) bool { return now-last > applicantLifetime })
	return slices.Sorted(maps.Keys(a.lastRequest))
}
