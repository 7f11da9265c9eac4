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

// UpdateMembers applies an update from a source of members: changes, the source's whole list, or a failure
// to get the list. The members of other sources stay as they are.
func (e *Engine) UpdateMembers(source string, kind policy.ListKind, entries []*Member) {
	e.post(func() {
		e.trace("list", func() []slog.Attr { return listAttrs(source, kind, entries) })
		if kind == policy.ListFailed {
			e.decisions.HandleMembers(e.clock(e.now), kind, nil)
			return
		}
		entries = slices.Clone(entries)
		// All dispatchers use one order, so that they number members with colliding hashes alike.
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

// listAttrs returns the log attributes of a list of members.
func listAttrs(source string, kind policy.ListKind, entries []*Member) []slog.Attr {
	states := make([]string, 0, len(entries))
	for _, m := range entries {
		states = append(states, m.ID+"="+strconv.Itoa(int(m.State)))
	}
	return []slog.Attr{slog.String("source", source), slog.Int("kind", int(kind)), slog.String("entries", strings.Join(states, " "))}
}

// completeList extends the whole list of one source by the members of all other sources, since the policy
// treats each member that a whole list leaves out as removed. It drops the members of the source that the
// list leaves out.
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

// countMember updates the tables of members that other goroutines read: by is 1 for a new member and -1
// for a removed one.
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

// SetMemberOut takes a member out of service for an operator, whatever state its list gives, or puts it
// back. A member that is out of service counts as draining, and as just started once it is back.
// SetMemberOut reports, without waiting for the event loop, whether the member is listed. A member that is
// not listed is taken out only if anyway is set, as when a new process takes over the overrides of an
// older one.
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

// MarkRestored records when an operator put a member back into service. That time counts as the member's
// start unless its list gives a later one.
func (e *Engine) MarkRestored(id string, back time.Time) {
	e.post(func() { e.restoredAt[id] = back })
}

func (e *Engine) setMemberOut(id string, out bool, now time.Time) {
	if out {
		e.outOfService[id] = true
	} else if e.outOfService[id] {
		delete(e.outOfService, id)
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

// HasOtherSources reports whether members of sources other than the given one are known.
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

// sortedIDs returns the ids of members in ascending order.
func sortedIDs(members map[string]*Member) []string {
	ids := make([]string, 0, len(members))
	for id := range members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// placeMember puts a member into the tables and returns it in the policy's form. Flows keep the entry that
// they were sent with; new flows use the latest.
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

// dropMember deletes a removed member, unless flows may still be sent to it.
func (e *Engine) dropMember(m *Member) {
	if !e.settings.Rules.RemovedMayServe && e.members[m.ID] != nil {
		e.countMember(m.source, m.ID, -1)
		delete(e.members, m.ID)
		delete(e.membersByNumber, m.number)
	}
}

// policyMember returns a member in the policy's form, with times on the policy's clock.
func (e *Engine) policyMember(m *Member) policy.Member {
	l := policy.Member{
		Number: m.number, Kind: m.Kind, Cell: m.Cell, Zone: m.Zone,
		State: m.State, Weight: m.Weight, Capabilities: m.Capabilities,
	}
	if e.outOfService[m.ID] && l.State == policy.Ready {
		l.State = policy.Draining
	}
	if !m.Started.IsZero() {
		l.StartedAt = e.clock(m.Started)
	}
	return l
}

// numberOf derives a member's number from its id alone. The policy uses the number to spread slow starts
// over the dispatchers, so it must be the same at each of them; a counter would differ. An id whose hash
// collides with that of another member is hashed again.
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

// Member is a pool member, which runs jobs. Its fields are set before UpdateMembers, and owned by Run's
// goroutine from then on.
type Member struct {
	ID, Addr, Kind, Zone string
	Group                string // the member group that its jobs are counted under; empty: its source
	Cell                 int    // the cell within its zone
	State                policy.MemberState
	Weight               float64
	Capabilities         []string  // capabilities that it offers; nil: all
	Started              time.Time // its latest start; zero: long ago
	Transport            Transport

	source string
	number uint32
}

// Number returns the policy's id of the member, which is the same at every dispatcher.
func (m *Member) Number() uint32 { return m.number }

// Lister follows the list of members for the policy. Its methods must not block; it reports lists and
// changes with Engine.UpdateMembers.
type Lister interface {
	// Watch subscribes to changes of the list, or ends the subscription.
	Watch(on bool)
	// Fetch requests the whole list once.
	Fetch()
}
