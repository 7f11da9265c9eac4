package state

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// DigestsBody reports one replica's digests of the state as of a log index.
type DigestsBody struct {
	Replica    string
	Index      uint64            // log index of the tick that requested digests
	Partitions map[string]uint64 `cbor:"Parts"`
}

// digestReports holds the digests that replicas reported for one log index.
type digestReports struct {
	Index    uint64
	Replicas []replicaDigests `cbor:"Told"` // sorted by replica
}

type replicaDigests struct {
	Replica    string
	Partitions map[string]uint64 `cbor:"Parts"`
}

// recordDigests stores a replica's report. Only reports of the newest index that any replica
// has reported are kept.
func (m *Machine) recordDigests(c Command) Reply {
	var b DigestsBody
	if err := codec.Decode(c.Body, &b); err != nil {
		return Reply{Code: Bad, Text: err.Error()}
	}
	switch {
	case b.Index < m.digests.Index:
		return Reply{Code: Refused, Text: fmt.Sprintf("digests of index %d are out of date", b.Index)}
	case b.Index > m.digests.Index:
		m.digests = digestReports{Index: b.Index}
	}
	i, ok := slices.BinarySearchFunc(m.digests.Replicas, b.Replica, func(t replicaDigests, name string) int { return strings.Compare(t.Replica, name) })
	if !ok {
		m.digests.Replicas = slices.Insert(m.digests.Replicas, i, replicaDigests{Replica: b.Replica})
	}
	m.digests.Replicas[i].Partitions = b.Partitions
	return Reply{}
}

// DivergentPartitions returns the partitions in which a replica's reported digest differs
// from the one that a majority of the voters reported for the same index.
func (m *Machine) DivergentPartitions(replica string, voters int) []string {
	var reported map[string]uint64
	for _, t := range m.digests.Replicas {
		if t.Replica == replica {
			reported = t.Partitions
		}
	}
	var divergent []string
	for name, sum := range reported {
		replicas := map[uint64]int{}
		for _, t := range m.digests.Replicas {
			replicas[t.Partitions[name]]++
		}
		for other, n := range replicas {
			if other != sum && 2*n > voters {
				divergent = append(divergent, name)
			}
		}
	}
	slices.Sort(divergent)
	return divergent
}

// Digests returns the checksums of the machine's own state, as "members", and of each
// partition. The reports of earlier digests are left out, since replicas compare only the
// state itself.
func (m *Machine) Digests() (map[string]uint64, error) {
	text, err := codec.Encode(struct {
		At      time.Duration
		Set     settingsInForce
		Members []*Member
	}{m.now, m.settings, m.members})
	if err != nil {
		return nil, err
	}
	all := map[string]uint64{"members": codec.Digest(text)}
	for _, p := range m.partitions {
		if all[p.Name()], err = p.Digest(); err != nil {
			return nil, fmt.Errorf("computing the digest of %s: %w", p.Name(), err)
		}
	}
	return all, nil
}
