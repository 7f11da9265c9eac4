package opconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Digest stands for a configuration's bytes.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a configuration as it was sent.
func DigestOf(content []byte) Digest { return sha256.Sum256(content) }

// Change is the command of the register: a configuration on top of a version.
type Change struct {
	Base    int64
	Version int64
	Content []byte
}

// Encode returns the change as bytes.
func (c Change) Encode() ([]byte, error) {
	var body bytes.Buffer
	err := gob.NewEncoder(&body).Encode(c)
	return body.Bytes(), errors.Wrap(err, "encode a change of the configuration")
}

// Verdict is what became of a change.
type Verdict uint8

// Verdicts.
const (
	Accepted        Verdict = iota + 1
	AlreadyAccepted         // that very configuration had been taken before
	Conflict                // another version is current
	Stale                   // its version is not above the current one
	Indeterminate           // so old that it can't be told from one that was taken: neither confirm nor refuse it
)

// RememberedChanges is how many of the newest changes are told from others when they are sent again,
// and for how many changes it is known where the jobs of a removed queue are. It bounds the
// register, whatever number of changes was ever made.
const RememberedChanges = 4096

// Register holds the newest configuration and remembers the last changes that were taken.
type Register struct {
	Version int64
	Content []byte
	Taken   map[int64]Digest
	Order   []int64 // the versions in Taken, in the order in which they were taken
	// Forgotten is the highest version that was taken and is not remembered any more.
	Forgotten int64
	Changes   uint64 // taken so far
	// Backends lists, by queue, each service that the queue was sent to, newest last: a job
	// handed in before a change is found where it was accepted.
	Backends map[string][]string
	// Since is, by queue that was sent to several services, the version that chose the newest.
	Since map[string]int64
	// Removed is, by queue that no route names any more, the number of the change since which.
	Removed map[string]uint64

	parsed *Config
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{Taken: map[int64]Digest{}, Backends: map[string][]string{}, Since: map[string]int64{}, Removed: map[string]uint64{}}
}

// Evaluate says what Apply would make of a change now.
func (r *Register) Evaluate(c Change) Verdict {
	digest, known := r.Taken[c.Version]
	switch {
	case known && digest == DigestOf(c.Content):
		return AlreadyAccepted
	case !known && c.Version <= r.Forgotten:
		return Indeterminate
	case c.Base != r.Version:
		return Conflict
	case c.Version <= r.Version:
		return Stale
	}
	return Accepted
}

// Apply carries a change out. An error is a configuration that this program can't read,
// though it was checked before it was proposed.
func (r *Register) Apply(c Change) (Verdict, error) {
	verdict := r.Evaluate(c)
	if verdict != Accepted {
		return verdict, nil
	}
	config, err := Decode(c.Content)
	if err != nil {
		return 0, err
	}
	r.Version, r.Content, r.parsed = c.Version, c.Content, config
	r.Changes++
	r.remember(c)
	r.noteQueues(config)
	return Accepted, nil
}

func (r *Register) remember(c Change) {
	r.Taken[c.Version] = DigestOf(c.Content)
	r.Order = append(r.Order, c.Version)
	for len(r.Order) > RememberedChanges {
		r.Forgotten = max(r.Forgotten, r.Order[0])
		delete(r.Taken, r.Order[0])
		r.Order = r.Order[1:]
	}
}

// noteQueues keeps where the queues' jobs are, and forgets queues that were removed long ago.
func (r *Register) noteQueues(config *Config) {
	for at := range config.Routes {
		r.noteBackend(&config.Routes[at])
	}
	for queue := range r.Backends {
		if _, current := config.Route(queue); current {
			delete(r.Removed, queue)
			continue
		}
		since, known := r.Removed[queue]
		switch {
		case !known:
			r.Removed[queue] = r.Changes
		case r.Changes-since > RememberedChanges:
			delete(r.Removed, queue)
			delete(r.Backends, queue)
			delete(r.Since, queue)
		}
	}
}

func (r *Register) noteBackend(route *Route) {
	known := r.Backends[route.Queue()]
	if len(known) > 0 && known[len(known)-1] == route.Backend {
		return
	}
	if len(known) > 0 {
		r.Since[route.Queue()] = r.Version
	}
	services := make([]string, 0, len(known)+1)
	for _, service := range known {
		if service != route.Backend {
			services = append(services, service)
		}
	}
	r.Backends[route.Queue()] = append(services, route.Backend)
}

// MovedQueues returns the queues that were sent to several services: their services, oldest first,
// and the version since which the last of them has the queue.
func (r *Register) MovedQueues() map[string]ServiceHistory {
	moved := map[string]ServiceHistory{}
	for queue, services := range r.Backends {
		if len(services) > 1 {
			moved[queue] = ServiceHistory{Services: services, Since: r.Since[queue]}
		}
	}
	return moved
}

// ServiceHistory are the services that a queue was sent to, oldest first, and the version since which
// the last of them has it.
type ServiceHistory struct {
	Services []string
	Since    int64
}

// Current returns the newest configuration; nil: there is none yet.
func (r *Register) Current() *Config { return r.parsed }

// ApplyEncoded carries out an encoded change.
func (r *Register) ApplyEncoded(command []byte) (Verdict, error) {
	var c Change
	if err := gob.NewDecoder(bytes.NewReader(command)).Decode(&c); err != nil {
		return 0, errors.Wrap(err, "decode a change of the configuration")
	}
	return r.Apply(c)
}

// StateDigest stands for the whole state: equal where the states are.
func (r *Register) StateDigest() uint64 {
	hash := fnv.New64a()
	fmt.Fprintln(hash, r.Version, DigestOf(r.Content), r.Order, r.Forgotten, r.Changes)
	for _, version := range r.Order {
		fmt.Fprintln(hash, r.Taken[version])
	}
	fmt.Fprintln(hash, r.Backends, r.Since, r.Removed) // fmt sorts maps by their keys
	return hash.Sum64()
}

// Snapshot returns the whole state.
func (r *Register) Snapshot() ([]byte, error) {
	var body bytes.Buffer
	err := gob.NewEncoder(&body).Encode(r)
	return body.Bytes(), errors.Wrap(err, "encode the configuration")
}

// Restore replaces the whole state.
func (r *Register) Restore(content []byte) error {
	next := NewRegister()
	if err := gob.NewDecoder(bytes.NewReader(content)).Decode(next); err != nil {
		return errors.Wrap(err, "decode the configuration")
	}
	if len(next.Content) > 0 {
		config, err := Decode(next.Content)
		if err != nil {
			return err
		}
		next.parsed = config
	}
	if next.Order == nil { // written before the order was kept
		next.Order = slices.Sorted(maps.Keys(next.Taken))
	}
	*r = *next
	return nil
}
