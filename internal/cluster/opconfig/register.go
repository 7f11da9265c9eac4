package opconfig

import (
	"fmt"
	"hash/fnv"
)

// Verdict is what became of a change. Only Accepted changes the register.
type Verdict uint8

// Verdicts.
const (
	Accepted        Verdict = iota + 1
	AlreadyAccepted         // this very configuration was accepted before
	Conflict                // the change builds on a version that is not the current one
	Stale                   // its version is not above the current one
	Indeterminate           // its version is too old to know whether it was accepted: it is neither confirmed nor rejected
)

// RememberedChanges is for how many of the newest changes the register knows that they were
// accepted when they are sent again, and for how many changes it remembers where the jobs of a
// removed queue are. It bounds the register's size.
const RememberedChanges = 4096

// Register is the replicated state: the newest configuration, a memory of the changes that were
// accepted last, and which services have jobs of each queue. Its methods are not safe for
// concurrent use. Snapshots store it in the form of type snapshot.
type Register struct {
	Version          int64 // of Content; 0: there is none yet
	Content          []byte
	AcceptedDigests  map[int64]Digest // by version
	AcceptedVersions []int64          // the keys of AcceptedDigests, in the order of their acceptance
	HighestForgotten int64            // highest version that was accepted and is not in AcceptedDigests any more
	ChangeCount      uint64           // changes accepted so far

	// ServicesByQueue has each service that a queue was sent to, newest last: a job that was
	// submitted before a change is found where it was accepted.
	ServicesByQueue map[string][]string
	MovedAtVersion  map[string]int64  // by queue with several services: the version that chose the newest
	RemovedAtChange map[string]uint64 // by queue that no route names any more: ChangeCount when it was removed

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

// Current returns the newest configuration; nil: there is none yet.
func (r *Register) Current() *Config { return r.parsed }

// Evaluate returns the verdict that Apply would give now. It changes nothing.
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

// Apply carries a change out. An error means that this build can't read the configuration, though
// it was validated before it was proposed: the register is unchanged, and the replica must stop.
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

// ApplyEncoded decodes a change and carries it out, with the errors of Apply.
func (r *Register) ApplyEncoded(command []byte) (Verdict, error) {
	change, err := decodeChange(command)
	if err != nil {
		return 0, err
	}
	return r.Apply(change)
}

// remember records that a change was accepted, and forgets the oldest above RememberedChanges.
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

// updateQueues records which service each queue is sent to, and forgets queues that were removed
// RememberedChanges ago.
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

// updateServices makes a route's service the newest of its queue.
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

// ServiceHistory is what services a queue was sent to. The names of its fields are sent.
type ServiceHistory struct {
	Services []string // oldest first
	Since    int64    // the version since which the last of Services has the queue
}

// MovedQueues returns the queues that were sent to more than one service.
func (r *Register) MovedQueues() map[string]ServiceHistory {
	moved := map[string]ServiceHistory{}
	for queue, services := range r.ServicesByQueue {
		if len(services) > 1 {
			moved[queue] = ServiceHistory{Services: services, Since: r.MovedAtVersion[queue]}
		}
	}
	return moved
}

// StateDigest returns a hash of the whole state: equal on replicas whose states are equal. Builds
// that run beside each other compare it, so that each must hash the same values in this order.
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
