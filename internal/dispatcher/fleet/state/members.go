package state

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// JoinBody asks for an incarnation. A join repeated with the same nonce, as when its
// answer was lost, gives the same one.
type JoinBody struct {
	Process, Nonce, Version string
}

// JoinReply answers a join.
type JoinReply struct {
	Incarnation uint64        // the fencing number: the log index of the join, so that it only grows
	Lease       time.Duration // its length
}

// RenewBody renews a lease. Each part of the state may be told something with it.
type RenewBody struct {
	Parts map[string][]byte // by the part's name
}

// RenewReply answers a renewal.
type RenewReply struct {
	Lease   time.Duration // its length, from the renewal on
	Members int           // processes in force
	Parts   map[string][]byte
	Refused map[string]string // parts that said no, and why; the lease is renewed all the same
}

func (m *Machine) join(c Command, index uint64) Reply {
	var b JoinBody
	if err := codec.Decode(c.Body, &b); err != nil || b.Process == "" || b.Nonce == "" {
		return Reply{Code: Bad, Text: "a join names its process and its start"}
	}
	if i, ok := m.findMember(b.Process); ok {
		if old := m.members[i]; old.Nonce == b.Nonce {
			return encodedReply(JoinReply{old.Incarnation, m.settings.Lease})
		}
		m.endIncarnation(m.members[i], Replaced)
	}
	who := &Member{Process: b.Process, Nonce: b.Nonce, Version: b.Version, Incarnation: index, JoinedAt: m.now, LeaseEnd: m.now + m.settings.Lease}
	i, _ := m.findMember(b.Process)
	m.members = slices.Insert(m.members, i, who)
	return encodedReply(JoinReply{index, m.settings.Lease})
}

func (m *Machine) renew(who *Member, c Command) Reply {
	var b RenewBody
	if err := codec.Decode(c.Body, &b); err != nil {
		return Reply{Code: Bad, Text: err.Error()}
	}
	who.LeaseEnd = m.now + m.settings.Lease
	r := RenewReply{Lease: m.settings.Lease, Members: len(m.members), Parts: map[string][]byte{}, Refused: map[string]string{}}
	for _, p := range m.partitions {
		body, told := b.Parts[p.Name()]
		if !told {
			continue
		}
		reply, err := p.Renew(c, body)
		if err != nil {
			r.Refused[p.Name()] = err.Error()
			continue
		}
		r.Parts[p.Name()] = reply
	}
	return encodedReply(r)
}

func encodedReply(v any) Reply {
	body, err := codec.Encode(v)
	return replyOf(body, err)
}

// FleetSettings is what the operators set for the whole fleet. Of two the one with the
// higher revision is in force; one revision can't mean two things.
type FleetSettings struct {
	Revision uint64
	Lease    time.Duration
	Parts    map[string][]byte // by the part's name; one that is not named keeps what it has
}

// settingsInForce is what is in force.
type settingsInForce struct {
	Revision, Digest uint64
	Lease            time.Duration
}

// Revision is that of the settings in force; 0: none were set.
func (m *Machine) Revision() uint64 { return m.settings.Revision }

func (m *Machine) applySettings(c Command) Reply {
	var b FleetSettings
	if err := codec.Decode(c.Body, &b); err != nil {
		return Reply{Code: Bad, Text: err.Error()}
	}
	digest := codec.Digest(c.Body)
	switch {
	case b.Revision == m.settings.Revision && digest == m.settings.Digest:
		return Reply{}
	case b.Revision <= m.settings.Revision:
		return Reply{Code: Refused, Text: fmt.Sprintf("revision %d of the fleet's settings is in force: another one needs a higher revision than that", m.settings.Revision)}
	case b.Lease < 100*time.Millisecond || b.Lease > time.Hour:
		return Reply{Code: Refused, Text: fmt.Sprintf("a lease of %s: not from 100ms to 1h", b.Lease)}
	}
	for _, p := range m.partitions { // all or none
		if err := p.Check(b.Parts[p.Name()]); b.Parts[p.Name()] != nil && err != nil {
			return Reply{Code: Refused, Text: fmt.Sprintf("%s: %s", p.Name(), err)}
		}
	}
	for _, p := range m.partitions {
		if b.Parts[p.Name()] == nil {
			continue
		}
		if err := p.Set(m.now, b.Parts[p.Name()]); err != nil {
			return Reply{Code: Refused, Text: fmt.Sprintf("%s: %s", p.Name(), err)}
		}
	}
	m.settings = settingsInForce{Revision: b.Revision, Digest: digest, Lease: b.Lease}
	return Reply{}
}

// bootCount is what is known of a keeper's starts.
type bootCount struct {
	Process string
	Count   uint64
}

// BootBody tells that a keeper has started so many times with the same folder. A
// folder that says fewer than were told before is an old copy.
type BootBody struct {
	Process string
	Count   uint64
}

// BootCount is how often a keeper is known to have started with its folder. The count
// begins anew where a keeper rejoined with an empty one.
func (m *Machine) BootCount(process string) uint64 {
	if i, ok := slices.BinarySearchFunc(m.boots, process, func(b bootCount, name string) int { return strings.Compare(b.Process, name) }); ok {
		return m.boots[i].Count
	}
	return 0
}

func (m *Machine) recordBoot(c Command) Reply {
	var b BootBody
	if err := codec.Decode(c.Body, &b); err != nil {
		return Reply{Code: Bad, Text: err.Error()}
	}
	i, ok := slices.BinarySearchFunc(m.boots, b.Process, func(x bootCount, name string) int { return strings.Compare(x.Process, name) })
	if !ok {
		m.boots = slices.Insert(m.boots, i, bootCount{Process: b.Process})
	}
	m.boots[i].Count = b.Count
	return Reply{}
}

// DigestsBody is one replica's digests of the state as it was at a log index.
type DigestsBody struct {
	Replica string
	Index   uint64 // of the command that asked for them
	Parts   map[string]uint64
}

// digestReports is what replicas told of one index.
type digestReports struct {
	Index    uint64
	Replicas []replicaDigests `cbor:"Told"` // by replica
}

type replicaDigests struct {
	Replica string
	Parts   map[string]uint64
}

// recordDigests keeps what replicas tell of the newest index that any of them told.
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
	m.digests.Replicas[i].Parts = b.Parts
	return Reply{}
}

// DivergentPartitions tells in which parts a replica differs from what a majority of the
// voters found for the same index; empty: in none that is known.
func (m *Machine) DivergentPartitions(replica string, voters int) []string {
	var own map[string]uint64
	for _, t := range m.digests.Replicas {
		if t.Replica == replica {
			own = t.Parts
		}
	}
	var differs []string
	for name, sum := range own {
		alike := map[uint64]int{}
		for _, t := range m.digests.Replicas {
			alike[t.Parts[name]]++
		}
		for other, n := range alike {
			if other != sum && 2*n > voters {
				differs = append(differs, name)
			}
		}
	}
	slices.Sort(differs)
	return differs
}
