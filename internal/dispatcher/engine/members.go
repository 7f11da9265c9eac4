package engine

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/sirupsen/logrus"
)

// UpdateMembers takes in what a source tells of its members. A source's whole list
// leaves the members of other sources as they are.
func (c *Engine) UpdateMembers(source string, kind policy.ListKind, entries []*Member) {
	c.post(func() {
		c.trace("list", func() logrus.Fields {
			states := make([]string, 0, len(entries))
			for _, m := range entries {
				states = append(states, m.ID+"="+strconv.Itoa(int(m.State)))
			}
			return logrus.Fields{"source": source, "kind": int(kind), "entries": strings.Join(states, " ")}
		})
		if kind == policy.ListFailed {
			c.decisions.HandleMembers(c.clock(c.now), kind, nil)
			return
		}
		entries = slices.Clone(entries)
		// In one order everywhere, so that dispatchers agree on who yields
		// where two ids hash alike.
		slices.SortFunc(entries, func(a, b *Member) int { return strings.Compare(a.ID, b.ID) })
		listed := make([]policy.Member, 0, len(entries))
		for _, m := range entries {
			m.source = source
			m.Group = cmp.Or(m.Group, source)
			listed = append(listed, c.placeMember(m))
		}
		if kind != policy.ListDelta {
			listed = c.completeList(source, entries, listed)
		}
		c.decisions.HandleMembers(c.clock(c.now), kind, listed)
		c.membersKnown.Store(true)
	})
}

// completeList makes a source's whole list the whole list of all sources, since
// the module takes for gone whatever a whole list leaves out.
func (c *Engine) completeList(source string, entries []*Member, listed []policy.Member) []policy.Member {
	in := make(map[string]bool, len(entries))
	for _, m := range entries {
		in[m.ID] = true
	}
	for _, id := range sortedIDs(c.members) {
		switch m := c.members[id]; {
		case in[id]:
		case m.source == source:
			c.dropMember(m)
		default:
			listed = append(listed, c.policyMember(m))
		}
	}
	return listed
}

func (c *Engine) countMember(source, id string, by int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources[source] += by
	if c.listedIDs == nil {
		c.listedIDs = make(map[string]bool)
	}
	if by > 0 {
		c.listedIDs[id] = true
	} else {
		delete(c.listedIDs, id)
	}
}

// SetMemberOut takes a member out by hand, whatever its lists say, or puts it back; it
// counts as draining meanwhile, and as just started once back. It tells, without
// waiting for the core, whether the member is listed; one that is not is held
// only where anyway is set, as when a new process takes over what an older one
// held.
func (c *Engine) SetMemberOut(id string, out, anyway bool) bool {
	c.mu.Lock()
	listed := c.listedIDs[id]
	c.mu.Unlock()
	if !listed && !anyway {
		return false
	}
	c.post(func() { c.setMemberOut(id, out, c.now) })
	return listed
}

// MarkRestored says that a member put back by hand at a time started then, unless its
// list says it started later.
func (c *Engine) MarkRestored(id string, back time.Time) {
	c.post(func() { c.restoredAt[id] = back })
}

func (c *Engine) setMemberOut(id string, out bool, now time.Time) {
	if out {
		c.heldOut[id] = true
	} else if c.heldOut[id] {
		delete(c.heldOut, id)
		c.restoredAt[id] = now
	}
	m := c.members[id]
	if m == nil {
		return
	}
	if at := c.restoredAt[id]; at.After(m.Started) {
		m.Started = at
	}
	c.decisions.HandleMembers(c.clock(c.now), policy.ListDelta, []policy.Member{c.policyMember(m)})
}

// HasOtherSources tells whether members of other sources than this one are known.
func (c *Engine) HasOtherSources(source string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.sources {
		if name != source && n > 0 {
			return true
		}
	}
	return false
}

func sortedIDs(members map[string]*Member) []string {
	ids := make([]string, 0, len(members))
	for id := range members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// placeMember puts a member into the tables. Flows keep the entry they were sent
// with; new ones use the latest.
func (c *Engine) placeMember(m *Member) policy.Member {
	if old := c.members[m.ID]; old != nil {
		m.number = old.number
	} else {
		m.number = c.numberOf(m.ID)
		c.countMember(m.source, m.ID, 1)
	}
	if at := c.restoredAt[m.ID]; at.After(m.Started) {
		m.Started = at
	}
	c.members[m.ID], c.membersByNumber[m.number] = m, m
	listing := c.policyMember(m)
	if m.State == policy.Removed {
		c.dropMember(m)
	}
	return listing
}

// dropMember forgets a member that is gone, unless it may still be sent to.
func (c *Engine) dropMember(m *Member) {
	if !c.settings.Rules.OnlyDrainBinds && c.members[m.ID] != nil {
		c.countMember(m.source, m.ID, -1)
		delete(c.members, m.ID)
		delete(c.membersByNumber, m.number)
	}
}

func (c *Engine) policyMember(m *Member) policy.Member {
	l := policy.Member{Worker: m.number, Kind: m.Kind, Cell: m.Cell, Zone: m.Zone, State: m.State, Weight: m.Weight, Capabilities: m.Capabilities}
	if c.heldOut[m.ID] && l.State == policy.Ready {
		l.State = policy.Draining
	}
	if !m.Started.IsZero() {
		l.StartedAt = c.clock(m.Started)
	}
	return l
}

// numberOf derives a member's number from its id alone: the module spreads cold
// starts over the dispatchers by it, which a counter, different at each of
// them, would upset. An id that hashes like another is hashed again.
func (c *Engine) numberOf(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	n := h.Sum32()
	for c.membersByNumber[n] != nil {
		h.Write(binary.LittleEndian.AppendUint32(nil, n))
		n = h.Sum32()
	}
	return n
}
