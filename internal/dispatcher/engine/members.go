package engine

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// UpdateMembers takes in what a source tells of its members: changes, its whole list, or that it could
// not be asked. The members of other sources stay as they are.
func (e *Engine) UpdateMembers(source string, kind policy.ListKind, entries []*Member) {
	e.post(func() {
		e.trace("list", func() []slog.Attr { return listAttrs(source, kind, entries) })
		if kind == policy.ListFailed {
			e.decisions.HandleMembers(e.clock(e.now), kind, nil)
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
			listed = append(listed, e.placeMember(m))
		}
		if kind != policy.ListDelta {
			listed = e.completeList(source, entries, listed)
		}
		e.decisions.HandleMembers(e.clock(e.now), kind, listed)
		e.membersKnown.Store(true)
	})
}

// listAttrs are the attributes of a list in the log.
func listAttrs(source string, kind policy.ListKind, entries []*Member) []slog.Attr {
	states := make([]string, 0, len(entries))
	for _, m := range entries {
		states = append(states, m.ID+"="+strconv.Itoa(int(m.State)))
	}
	return []slog.Attr{slog.String("source", source), slog.Int("kind", int(kind)), slog.String("entries", strings.Join(states, " "))}
}

// completeList makes a source's whole list the whole list of all sources, since
// the policy takes whatever a whole list leaves out as removed.
func (e *Engine) completeList(source string, entries []*Member, listed []policy.Member) []policy.Member {
	in := make(map[string]bool, len(entries))
	for _, m := range entries {
		in[m.ID] = true
	}
	for _, id := range sortedIDs(e.members) {
		switch m := e.members[id]; {
		case in[id]:
		case m.source == source:
			e.dropMember(m)
		default:
			listed = append(listed, e.policyMember(m))
		}
	}
	return listed
}

// countMember keeps the tables that other goroutines read: by is 1 for a member that is new and -1 for
// one that is removed.
func (e *Engine) countMember(source, id string, by int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sources[source] += by
	if by > 0 {
		e.listedIDs[id] = true
	} else {
		delete(e.listedIDs, id)
	}
}

// SetMemberOut takes a member out of service for an operator, whatever its lists say, or puts it back;
// it counts as draining meanwhile, and as just started once back. It reports, without waiting for the
// event loop, whether the member is listed; one that is not is taken out only where anyway is set, as
// when a new process takes over the overrides of an older one.
func (e *Engine) SetMemberOut(id string, out, anyway bool) bool {
	e.mu.Lock()
	listed := e.listedIDs[id]
	e.mu.Unlock()
	if !listed && !anyway {
		return false
	}
	e.post(func() { e.setMemberOut(id, out, e.now) })
	return listed
}

// MarkRestored says that a member which an operator put back at a time started then, unless its list
// says that it started later.
func (e *Engine) MarkRestored(id string, back time.Time) {
	e.post(func() { e.restoredAt[id] = back })
}

func (e *Engine) setMemberOut(id string, out bool, now time.Time) {
	if out {
		e.heldOut[id] = true
	} else if e.heldOut[id] {
		delete(e.heldOut, id)
		e.restoredAt[id] = now
	}
	m := e.members[id]
	if m == nil {
		return
	}
	if at := e.restoredAt[id]; at.After(m.Started) {
		m.Started = at
	}
	e.decisions.HandleMembers(e.clock(e.now), policy.ListDelta, []policy.Member{e.policyMember(m)})
}

// HasOtherSources reports whether members of other sources than this one are known.
func (e *Engine) HasOtherSources(source string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, n := range e.sources {
		if name != source && n > 0 {
			return true
		}
	}
	return false
}

// sortedIDs returns the ids of members in order.
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
func (e *Engine) placeMember(m *Member) policy.Member {
	if old := e.members[m.ID]; old != nil {
		m.number = old.number
	} else {
		m.number = e.numberOf(m.ID)
		e.countMember(m.source, m.ID, 1)
	}
	if at := e.restoredAt[m.ID]; at.After(m.Started) {
		m.Started = at
	}
	e.members[m.ID], e.membersByNumber[m.number] = m, m
	listing := e.policyMember(m)
	if m.State == policy.Removed {
		e.dropMember(m)
	}
	return listing
}

// dropMember forgets a member that is removed, unless it may still be sent to.
func (e *Engine) dropMember(m *Member) {
	if !e.settings.Rules.RemovedMayServe && e.members[m.ID] != nil {
		e.countMember(m.source, m.ID, -1)
		delete(e.members, m.ID)
		delete(e.membersByNumber, m.number)
	}
}

// policyMember is what the policy is told of a member, on its clock.
func (e *Engine) policyMember(m *Member) policy.Member {
	l := policy.Member{
		Number: m.number, Kind: m.Kind, Cell: m.Cell, Zone: m.Zone,
		State: m.State, Weight: m.Weight, Capabilities: m.Capabilities,
	}
	if e.heldOut[m.ID] && l.State == policy.Ready {
		l.State = policy.Draining
	}
	if !m.Started.IsZero() {
		l.StartedAt = e.clock(m.Started)
	}
	return l
}

// numberOf derives a member's number from its id alone: the policy spreads slow starts over the
// dispatchers by it, so that it must be the same at each of them, which a counter is not. An id that
// hashes like another is hashed again.
func (e *Engine) numberOf(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	n := h.Sum32()
	for e.membersByNumber[n] != nil {
		h.Write(binary.LittleEndian.AppendUint32(nil, n))
		n = h.Sum32()
	}
	return n
}

// Member is a pool member, which runs jobs. It is set before UpdateMembers and owned by Run's goroutine
// from there on.
type Member struct {
	ID, Addr, Kind, Zone string
	Group                string // what its jobs are counted under; empty: its source
	Cell                 int    // within its zone
	State                policy.MemberState
	Weight               float64
	Capabilities         []string  // that it offers; nil: all
	Started              time.Time // its latest start; zero: long ago
	Transport            Transport

	source string
	number uint32
}

// Number is the policy's id of the member, which is the same at every dispatcher.
func (m *Member) Number() uint32 { return m.number }

// Lister follows the list of members for the policy. Its methods must not block; what they lead to is
// told by UpdateMembers.
type Lister interface {
	// Watch subscribes to changes, or ends that.
	Watch(on bool)
	// Fetch asks for the whole list once.
	Fetch()
}
