package opconfig

import (
	"fmt"
	"hash/fnv"
)

// Verdict is the result of evaluating a change. Only an Accepted change modifies the register.
type Verdict uint8

// Results of Register.Evaluate and Register.Apply for an operator's change of the configuration.
const (
	Accepted        Verdict = iota + 1
	AlreadyAccepted         // the same configuration was accepted before with this version
	Conflict                // the change's base is not the current version
	Stale                   // its version is not above the current one
	Indeterminate           // its version is too old to decide whether it was accepted: neither confirmed nor rejected
)

// RememberedChanges is the number of newest changes that the register recognizes as accepted when they are
// sent again. It is also the number of changes after which the register removes the services of a removed
// queue. It limits the size of the register.
const RememberedChanges = 4096

// Register is the replicated state: the newest configuration, the digests of the last accepted changes, and the
// services that have jobs of each queue. Its methods are not safe for concurrent use. Snapshots store it as
// type snapshot.
type Register struct {
	Version          int64 // of Content; 0: there is no configuration yet
	Content          []byte
	AcceptedDigests  map[int64]Digest // by version
	AcceptedVersions []int64          // keys of AcceptedDigests, in the order in which they were accepted
	HighestForgotten int64            // highest accepted version that is no longer in AcceptedDigests
	ChangeCount      uint64           // number of changes accepted so far

	// ServicesByQueue holds, by queue, each service to which the queue was routed, the newest last. With it
	// a job that was submitted before a change is found at the service that accepted it.
	ServicesByQueue map[string][]string
	MovedAtVersion  map[string]int64  // by queue with several services: the version that moved it to the newest
	RemovedAtChange map[string]uint64 // by queue without a route: ChangeCount when the route was removed

	parsed *Config // of Content
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{
		AcceptedDigests: map[int64]Digest{},
		ServicesByQueue: map[string][]string{},
		MovedAtVersion:  map[string]int64{},
		RemovedAtChange: map[string]uint64{},
	}
}

// Current returns the newest configuration, or nil if there is none yet.
func (r *Register) Current() *Config { return r.parsed }

// Evaluate returns the verdict that Apply would return now. It doesn't modify the register.
func (r *Register) Evaluate(change Change) Verdict {
	digest, remembered := r.AcceptedDigests[change.Version]
	switch {
	case remembered && digest == DigestOf(change.Content):
		return AlreadyAccepted
	case !remembered && change.Version <= r.HighestForgotten:
		return Indeterminate
	case change.Base != r.Version:
		return Conflict
	case change.Version <= r.Version:
		return Stale
	}
	return Accepted
}

// Apply evaluates a change, and applies it if it is accepted. It returns an error if this build can't decode
// the configuration, although that was validated before it was proposed: the register is then unchanged, and
// the replica must stop.
func (r *Register) Apply(change Change) (Verdict, error) {
	verdict := r.Evaluate(change)
	if verdict != Accepted {
		return verdict, nil
	}
	config, err := Decode(change.Content)
	if err != nil {
		return 0, err
	}
	r.Version = change.Version
	r.Content = change.Content
	r.parsed = config
	r.ChangeCount++
	r.remember(change)
	r.updateQueues(config)
	return Accepted, nil
}

// ApplyEncoded decodes a change and applies it as Apply does. The replica must also stop if the change can't be
// decoded.
func (r *Register) ApplyEncoded(command []byte) (Verdict, error) {
	change, err := decodeChange(command)
	if err != nil {
		return 0, err
	}
	return r.Apply(change)
}

// remember records that a change was accepted, and removes the oldest records above RememberedChanges.
func (r *Register) remember(change Change) {
	r.AcceptedDigests[change.Version] = DigestOf(change.Content)
	r.AcceptedVersions = append(r.AcceptedVersions, change.Version)
	for len(r.AcceptedVersions) > RememberedChanges {
		oldest := r.AcceptedVersions[0]
		r.HighestForgotten = max(r.HighestForgotten, oldest)
		delete(r.AcceptedDigests, oldest)
		r.AcceptedVersions = r.AcceptedVersions[1:]
	}
}

// updateQueues records the service of each queue, and removes the records of queues that were removed more than
// RememberedChanges changes ago.
func (r *Register) updateQueues(config *Config) {
	for i := range config.Routes {
		r.updateServices(&config.Routes[i])
	}
	for queue := range r.ServicesByQueue {
		if _, current := config.Route(queue); current {
			delete(r.RemovedAtChange, queue)
			continue
		}
		removedAt, known := r.RemovedAtChange[queue]
		switch {
		case !known:
			r.RemovedAtChange[queue] = r.ChangeCount
		case r.ChangeCount-removedAt > RememberedChanges:
			delete(r.RemovedAtChange, queue)
			delete(r.ServicesByQueue, queue)
			delete(r.MovedAtVersion, queue)
		}
	}
}

// updateServices records a route's service as the newest of its queue.
func (r *Register) updateServices(route *Route) {
	queue := route.Queue()
	known := r.ServicesByQueue[queue]
	if len(known) > 0 && known[len(known)-1] == route.Backend {
		return
	}
	if len(known) > 0 {
		r.MovedAtVersion[queue] = r.Version
	}
	services := make([]string, 0, len(known)+1)
	for _, service := range known {
		if service != route.Backend {
			services = append(services, service)
		}
	}
	r.ServicesByQueue[queue] = append(services, route.Backend)
}

// ServiceHistory holds the services to which a queue was routed. The names of its fields are sent between
// processes.
type ServiceHistory struct {
	Services []string // oldest first
	Since    int64    // version that moved the queue to the last of Services
}

// MovedQueues returns the histories of the queues that were routed to more than one service, by queue.
func (r *Register) MovedQueues() map[string]ServiceHistory {
	moved := map[string]ServiceHistory{}
	for queue, services := range r.ServicesByQueue {
		if len(services) > 1 {
			moved[queue] = ServiceHistory{Services: services, Since: r.MovedAtVersion[queue]}
		}
	}
	return moved
}

// StateDigest returns a hash of the whole state, which is equal on replicas whose states are equal. It is compared
// between processes of different builds, so that each build must hash the same values in the same order.
func (r *Register) StateDigest() uint64 {
	hash := fnv.New64a()
	// A hash never returns an error.
	_, _ = fmt.Fprintln(hash, r.Version, DigestOf(r.Content), r.AcceptedVersions, r.HighestForgotten, r.ChangeCount)
	for _, version := range r.AcceptedVersions {
		_, _ = fmt.Fprintln(hash, r.AcceptedDigests[version])
	}
	_, _ = fmt.Fprintln(hash, r.ServicesByQueue, r.MovedAtVersion, r.RemovedAtChange) // fmt sorts maps by their keys
	return hash.Sum64()
}
