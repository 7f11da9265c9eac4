// Package state is the replicated state machine of a fleet. Every replica applies the same
// commands in the same order, so it does no I/O, reads no clock and draws no random
// numbers: time and randomness travel in the commands, and the same log gives the same
// bytes at every replica.
//
// The machine itself keeps the membership of the fleet, by leases with fencing numbers, and
// the replies to recent commands, so that a repeated command has its effect once.
// Everything else is kept by its partitions (package partition). A Machine is not safe for
// concurrent use; package raftnode serializes access to it.
package state

import (
	"errors"
	"fmt"
	"time"
)

// Version is the version of encoded commands and snapshots. Other versions are refused.
const Version = 1

// Machine is one replica's state.
type Machine struct {
	settings   settingsInForce
	now        time.Duration
	index      uint64
	members    []*Member // sorted by name
	digests    digestReports
	boots      []bootCount // sorted by process
	partitions []Partition
}

// DefaultLease is the lease duration until the operators set one.
const DefaultLease = 3 * time.Second

// New returns an empty state with these partitions.
func New(parts ...Partition) *Machine {
	return &Machine{settings: settingsInForce{Lease: DefaultLease}, partitions: parts}
}

// At returns the fleet time of the last command.
func (m *Machine) At() time.Duration { return m.now }

// Index returns the log index of the last command.
func (m *Machine) Index() uint64 { return m.index }

// Members returns the members in force, sorted by name. The caller must not change them.
func (m *Machine) Members() []*Member { return m.members }

// Apply carries out the log entry at an index.
func (m *Machine) Apply(index uint64, text []byte) Reply {
	m.index = index
	c, err := Decode(text)
	if err != nil { // an entry of a newer program: every replica refuses it with the same reply
		return Reply{Code: Bad, Text: err.Error()}
	}
	m.now = max(m.now, c.At)
	c.At = m.now
	m.advance()
	switch c.Kind {
	case Tick:
		return Reply{}
	case Join:
		return m.join(c, index)
	case ReportDigests:
		return m.recordDigests(c)
	case ReportBoot:
		return m.recordBoot(c)
	}
	sender, r := m.member(c)
	if sender == nil {
		return r
	}
	if c.Seq != 0 {
		if old, ok := sender.rememberedReply(c.Seq); ok {
			return old
		}
	}
	r = m.execute(sender, c, index)
	if c.Seq != 0 {
		sender.rememberReply(c, r)
	}
	return r
}

func (m *Machine) execute(member *Member, c Command, index uint64) Reply {
	switch c.Kind {
	case Renew:
		return m.renew(member, c)
	case SetSettings:
		return m.applySettings(c)
	case Leave:
		m.endIncarnation(member, Left)
		return Reply{}
	}
	for _, p := range m.partitions {
		if c.Kind.belongsTo(p.Name()) {
			body, err := p.Apply(c, index)
			return replyOf(body, err)
		}
	}
	return Reply{Code: Bad, Text: fmt.Sprintf("no part has commands of kind %q", c.Kind)}
}

func replyOf(body []byte, err error) Reply {
	switch {
	case errors.Is(err, ErrBad):
		return Reply{Code: Bad, Text: err.Error()}
	case err != nil:
		return Reply{Code: Refused, Text: err.Error()}
	}
	return Reply{Body: body}
}

// advance ends the incarnations whose lease has expired, in the order of names, and advances
// the partitions.
func (m *Machine) advance() {
	for i := 0; i < len(m.members); {
		if member := m.members[i]; member.LeaseEnd <= m.now {
			m.endIncarnation(member, Expired)
			continue
		}
		i++
	}
	for _, p := range m.partitions {
		p.Advance(m.now)
	}
}
