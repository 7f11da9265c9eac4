package state

import (
	"fmt"
	"io"
	"time"
)

// Partition is an independent part of the state, such as the budgets or the plan runs. Its
// methods are called one at a time, in the order of the log, and must be deterministic.
type Partition interface {
	// Name returns the partition's name, which is the prefix of its kinds.
	Name() string
	// Apply carries out a command of a process whose incarnation is in force. If it returns an
	// error, nothing has changed.
	Apply(c Command, index uint64) (body []byte, err error)
	// Check validates settings. Set is called with validated ones only.
	Check(settings []byte) error
	// Set puts settings into force.
	Set(at time.Duration, settings []byte) error
	// Renew processes a lease renewal's message for this partition, and returns the reply.
	Renew(c Command, body []byte) (reply []byte, err error)
	// IncarnationEnded is called when an incarnation is no longer in force.
	IncarnationEnded(at time.Duration, process string, incarnation uint64, cause EndCause)
	// Advance carries out everything that is due by a fleet time.
	Advance(at time.Duration)
	// Snapshot returns the partition as it is now, to be written while later commands are
	// applied.
	Snapshot() (Snapshot, error)
	// Restore replaces the partition's state by that of a snapshot. On an error nothing has
	// changed.
	Restore(io.Reader) error
	// Digest returns a checksum of the partition, which is compared between replicas.
	Digest() (uint64, error)
}

// Snapshot is the state as of one command. Discard must be called when the snapshot is no
// longer needed.
type Snapshot struct {
	Write   func(io.Writer) error // writes the snapshot
	Release func()                // frees its resources; nil: there are none
}

// Discard frees the snapshot's resources.
func (s Snapshot) Discard() {
	if s.Release != nil {
		s.Release()
	}
}

// EndCause is the reason why an incarnation is no longer in force.
type EndCause uint8

// Reasons for the end of an incarnation.
const (
	Expired  EndCause = iota // its lease expired: the process may be partitioned or stopped, and jobs that it sent may still run
	Left                     // it announced a planned shutdown
	Replaced                 // a newer incarnation of the same process joined
)

// Queryable is a partition that answers queries. A query changes nothing.
type Queryable interface {
	Partition
	Query(kind Kind, body []byte) ([]byte, error)
}

// Partition returns the partition with a name, or nil.
func (m *Machine) Partition(name string) Partition {
	for _, p := range m.partitions {
		if p.Name() == name {
			return p
		}
	}
	return nil
}

// Query answers a query of a partition.
func (m *Machine) Query(kind Kind, body []byte) ([]byte, error) {
	for _, p := range m.partitions {
		if a, ok := p.(Queryable); ok && kind.belongsTo(p.Name()) {
			return a.Query(kind, body)
		}
	}
	return nil, fmt.Errorf("no part answers queries of kind %q", kind)
}
