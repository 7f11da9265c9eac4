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

// Joined answers a join.
type Joined struct {
	Incarnation uint64        // the fencing number: the log index of the join, so that it only grows
	Lease       time.Duration // its length
}

// RenewBody renews a lease. Each part of the state may be told something with it.
type RenewBody struct {
	Parts map[string][]byte // by the part's name
}

// Renewed answers a renewal.
type Renewed struct {
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
	if i, ok := m.find(b.Process); ok {
		if old := m.members[i]; old.Nonce == b.Nonce {
			return replyWith(Joined{old.Incarnation, m.set.Lease})
		}
		m.drop(m.members[i], Replaced)
	}
	who := &Member{Process: b.Process, Nonce: b.Nonce, Version: b.Version, Incarnation: index, Since: m.at, Until: m.at + m.set.Lease}
	i, _ := m.find(b.Process)
	m.members = slices.Insert(m.members, i, who)
	return replyWith(Joined{index, m.set.Lease})
}

func (m *Machine) renew(who *Member, c Command) Reply {
	var b RenewBody
	if err := codec.Decode(c.Body, &b); err != nil {
		return Reply{Code: Bad, Text: err.Error()}
	}
	who.Until = m.at + m.set.Lease
	r := Renewed{Lease: m.set.Lease, Members: len(m.members), Parts: map[string][]byte{}, Refused: map[string]string{}}
	for _, p := range m.parts {
		body, told := b.Parts[p.Name()]
		if !told {
			continue
		}
		reply, err := p.Renewed(c, body)
		if err != nil {
			r.Refused[p.Name()] = err.Error()
			continue
		}
		r.Parts[p.Name()] = reply
	}
	return replyWith(r)
}

func replyWith(v any) Reply {
	body, err := codec.Encode(v)
	return replied(body, err)
}

// FleetSettings is what the operators set for the whole fleet. Of two the one with the
// higher revision is in force; one revision can't mean two things.
type FleetSettings struct {
	Revision uint64
	Lease    time.Duration
	Parts    map[string][]byte // by the part's name; one that is not named keeps what it has
}

// setting is what is in force.
type setting struct {
	Revision, Digest uint64
	Lease            time.Duration
}

// Revision is that of the settings in force; 0: none were set.
func (m *Machine) Revision() uint64 { return m.set.Revision }

func (m *Machine) takeSettings(c Command) Reply {
	var b FleetSettings
	if err := codec.Decode(c.Body, &b); err != nil {
		return Reply{Code: Bad, Text: err.Error()}
	}
	digest := codec.Digest(c.Body)
	switch {
	case b.Revision == m.set.Revision && digest == m.set.Digest:
		return Reply{}
	case b.Revision <= m.set.Revision:
		return Reply{Code: Refused, Text: fmt.Sprintf("revision %d of the fleet's settings is in force: another one needs a higher revision than that", m.set.Revision)}
	case b.Lease < 100*time.Millisecond || b.Lease > time.Hour:
		return Reply{Code: Refused, Text: fmt.Sprintf("a lease of %s: not from 100ms to 1h", b.Lease)}
	}
	for _, p := range m.parts { // all or none
		if err := p.Check(b.Parts[p.Name()]); b.Parts[p.Name()] != nil && err != nil {
			return Reply{Code: Refused, Text: fmt.Sprintf("%s: %s", p.Name(), err)}
		}
	}
	for _, p := range m.parts {
		if b.Parts[p.Name()] == nil {
			continue
		}
		if err := p.Set(m.at, b.Parts[p.Name()]); err != nil {
			return Reply{Code: Refused, Text: fmt.Sprintf("%s: %s", p.Name(), err)}
		}
	}
	m.set = setting{Revision: b.Revision, Digest: digest, Lease: b.Lease}
	return Reply{}
}

// boot is what is known of a keeper's starts.
type boot struct {
	Process string
	Count   uint64
}

// BootBody tells that a keeper has started so many times with the same folder. A
// folder that says fewer than were told before is an old copy.
type BootBody struct {
	Process string
	Count   uint64
}

// Boots is how often a keeper is known to have started with its folder. The count
// begins anew where a keeper rejoined with an empty one.
func (m *Machine) Boots(process string) uint64 {
	if i, ok := slices.BinarySearchFunc(m.boots, process, func(b boot, name string) int { return strings.Compare(b.Process, name) }); ok {
		return m.boots[i].Count
	}
	return 0
}

func (m *Machine) takeBoot(c Command) Reply {
	var b BootBody
	if err := codec.Decode(c.Body, &b); err != nil {
		return Reply{Code: Bad, Text: err.Error()}
	}
	i, ok := slices.BinarySearchFunc(m.boots, b.Process, func(x boot, name string) int { return strings.Compare(x.Process, name) })
	if !ok {
		m.boots = slices.Insert(m.boots, i, boot{Process: b.Process})
	}
	m.boots[i].Count = b.Count
	return Reply{}
}

// SumsBody is one replica's digests of the state as it was at a log index.
type SumsBody struct {
	Replica string
	Index   uint64 // of the command that asked for them
	Parts   map[string]uint64
}

// sums is what replicas told of one index.
type sums struct {
	Index uint64
	Told  []told // by replica
}

type told struct {
	Replica string
	Parts   map[string]uint64
}

// takeSums keeps what replicas tell of the newest index that any of them told.
func (m *Machine) takeSums(c Command) Reply {
	var b SumsBody
	if err := codec.Decode(c.Body, &b); err != nil {
		return Reply{Code: Bad, Text: err.Error()}
	}
	switch {
	case b.Index < m.sums.Index:
		return Reply{Code: Refused, Text: fmt.Sprintf("digests of index %d are out of date", b.Index)}
	case b.Index > m.sums.Index:
		m.sums = sums{Index: b.Index}
	}
	i, ok := slices.BinarySearchFunc(m.sums.Told, b.Replica, func(t told, name string) int { return strings.Compare(t.Replica, name) })
	if !ok {
		m.sums.Told = slices.Insert(m.sums.Told, i, told{Replica: b.Replica})
	}
	m.sums.Told[i].Parts = b.Parts
	return Reply{}
}

// Differs tells in which parts a replica differs from what a majority of the
// voters found for the same index; empty: in none that is known.
func (m *Machine) Differs(replica string, voters int) []string {
	var own map[string]uint64
	for _, t := range m.sums.Told {
		if t.Replica == replica {
			own = t.Parts
		}
	}
	var differs []string
	for name, sum := range own {
		alike := map[uint64]int{}
		for _, t := range m.sums.Told {
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
