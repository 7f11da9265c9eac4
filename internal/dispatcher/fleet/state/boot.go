package state

import (
	"slices"
	"strings"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// bootCount holds how often a raft node has started with its data directory.
type bootCount struct {
	Process string
	Count   uint64
}

// BootBody reports how often a raft node has started with the same data directory. A
// directory that counts fewer starts than were reported before is an old copy.
type BootBody struct {
	Process string
	Count   uint64
}

// BootCount returns how often a raft node is known to have started with its data directory.
// The count restarts when the node rejoins with an empty one.
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
