package records

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// store is a Store in memory, sorted by tenant and position.
type store []Record

// find returns the index of a tenant's first record at or above a position.
func (s store) find(tenant string, p Position) int {
	i, _ := slices.BinarySearchFunc(s, p, func(r Record, p Position) int {
		if c := strings.Compare(r.Tenant, tenant); c != 0 {
			return c
		}
		return r.Position().Compare(p)
	})
	return i
}

func (s store) each(yield func(*Record, []byte) bool, in []Record) error {
	for _, r := range in {
		if text, _ := r.Encode(); !yield(&r, text) {
			break
		}
	}
	return nil
}

func (s store) Ascend(tenant string, from Position, yield func(*Record, []byte) bool) error {
	return s.each(yield, s[s.find(tenant, from):s.find(tenant, maxPosition)])
}

func (s store) Descend(tenant string, before Position, yield func(*Record, []byte) bool) error {
	in := slices.Clone(s[s.find(tenant, Position{}):s.find(tenant, before)])
	slices.Reverse(in)
	return s.each(yield, in)
}

func (s store) ByID(id string, yield func(*Record, []byte) bool) error {
	return s.each(yield, slices.DeleteFunc(slices.Clone(s), func(r Record) bool { return r.ID != id }))
}

func (s *store) Put(r *Record, _ []byte) error {
	*s = slices.Insert(*s, s.find(r.Tenant, r.Position()), *r)
	return nil
}

func (s *store) Delete(r *Record) error {
	i := s.find(r.Tenant, r.Position())
	if i == len(*s) || (*s)[i].Position() != r.Position() {
		return fmt.Errorf("no record at %v", r.Position())
	}
	*s = slices.Delete(*s, i, i+1)
	return nil
}

// replica is a state with its store.
type replica struct {
	*State
	store   store
	applied int // number of log entries
}

// apply applies a command, and checks that a refused one changes nothing.
func (r *replica) apply(t require.TestingT, command any) (err error) {
	r.applied++
	before, _ := r.Digest()
	switch c := command.(type) {
	case Ship:
		_, err = r.Ship(0, &r.store, c)
	case SetRules:
		err = r.SetRules(0, c)
	case SetHold:
		err = r.SetHold(0, &r.store, c)
	case ReleaseHold:
		err = r.ReleaseHold(0, c)
	case Prune:
		_, err = r.Prune(0, &r.store, c)
	}
	require.NotErrorIs(t, err, ErrStore)
	if after, _ := r.Digest(); err != nil {
		require.Equal(t, before, after, "a refused command changed the state")
	}
	return err
}

// pages reads all pages of a query through the replica's view.
func (r *replica) pages(t require.TestingT, q Query) (all []Record) {
	for {
		p, err := r.View().Page(r.store, q)
		require.NoError(t, err)
		require.LessOrEqual(t, len(p.Records), q.Limit)
		all = append(all, p.Records...)
		if q.Cursor = p.Next; q.Cursor == "" {
			return all
		}
	}
}

// model is the reference model of the records. It removes at once what neither the rules nor
// a hold keeps, and counts nothing.
type model struct {
	through    map[string]uint64
	stored     map[Position]Record // of all tenants: positions differ in process, epoch or sequence number
	removed    map[Position]bool
	watermarks map[string]Position
	holds      map[string]Hold
	wallClock  int64
}

func classOf(r Record) string { return fmt.Sprint(r.Tenant, r.RetentionClass()) }

// isPruned reports whether a record is below its watermark and not held.
func (m *model) isPruned(r Record) bool {
	for _, h := range m.holds {
		if h.covers(&r) {
			return false
		}
	}
	return r.Position().Compare(m.watermarks[classOf(r)]) < 0
}

func (m *model) apply(command any) {
	switch c := command.(type) {
	case Ship:
		at := fmt.Sprint(c.Process, c.Epoch)
		for i, r := range c.Records {
			if seq := c.FirstSeq + uint64(i); seq > m.through[at] {
				m.through[at] = seq
				r.Process, r.Epoch, r.Seq = c.Process, c.Epoch, seq
				m.stored[r.Position()] = r
			}
		}
	case SetHold:
		m.wallClock = max(m.wallClock, c.At)
		m.expire()
		m.prune() // what only an ended hold kept is removed, even if a hold of the same name is set now
		m.holds[c.Hold.Name] = c.Hold
	case ReleaseHold:
		m.wallClock = max(m.wallClock, c.At)
		delete(m.holds, c.Name)
		m.expire()
	case SetRules:
		m.wallClock = max(m.wallClock, c.At)
	case Prune:
		m.wallClock = max(m.wallClock, c.At)
		m.expire()
		for _, k := range c.Watermarks {
			if at := fmt.Sprint(k.Tenant, k.Class); k.Position.Compare(m.watermarks[at]) > 0 {
				m.watermarks[at] = k.Position
			}
		}
	}
	m.prune()
}

// prune removes the records below a watermark that are not held.
func (m *model) prune() {
	for p, r := range m.stored {
		if m.isPruned(r) {
			delete(m.stored, p)
			m.removed[p] = true
		}
	}
}

func (m *model) expire() {
	for name, h := range m.holds {
		if h.Until != 0 && h.Until <= m.wallClock {
			delete(m.holds, name)
		}
	}
}

func (m *model) of(tenant string) (all []Record) {
	for _, r := range m.stored {
		if r.Tenant == tenant {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Record) int { return a.Position().Compare(b.Position()) })
	return all
}

var names = []string{"hrad", "kamenec", "lodenice"}

// TestReplicas applies the same log to three replicas, of which one lags behind or is restored
// from an old snapshot with the fence of its process. For any order of ships, rules, holds and
// prunes, the replicas store the same records as the model, their digests are equal, and no
// removed record is ever served.
func TestReplicas(t *testing.T) { rapid.Check(t, checkReplicas) }

func checkReplicas(t *rapid.T) { //nolint:funlen,gocognit // one scenario, to be read from top to bottom
	var log []any
	expected := &model{through: map[string]uint64{}, stored: map[Position]Record{}, removed: map[Position]bool{}, watermarks: map[string]Position{}, holds: map[string]Hold{}}
	all := []*replica{{State: New()}, {State: New()}, {State: New()}}
	leader, lagging := all[0], all[2]
	type snapshot struct {
		state   []byte
		store   store
		applied int
	}
	snapshots := []snapshot{{nil, nil, 0}}
	var planned []Prune
	epochs := map[string]uint64{"n1": 1, "n2": 1}
	var clock int64 = 1000
	// A reader that reads one page after the other.
	var query Query
	var read []Record
	var atStart map[Position]Record // stored when the reader began; nil: it begins next

	do := func(command any) error {
		log = append(log, command)
		err := leader.apply(t, command)
		require.Equal(t, err, all[1].apply(t, command), "replicas return different errors")
		if err == nil {
			expected.apply(command)
		}
		lagging.LearnFence(leader.Fence())
		return err
	}
	tenant := func() string { return rapid.SampledFrom(names).Draw(t, "tenant") }
	plan := func(maxRead int) (Prune, bool) {
		c, needed, err := leader.PlanPrune(leader.store, clock, maxRead)
		require.NoError(t, err)
		return c, needed
	}
	_ = do(SetRules{Rules: []Rule{{Tenant: DefaultRuleTenant, Keep: Limits{MaxAge: 150, MaxCount: 9}, Failed: Limits{MaxAge: 400, MaxCount: 5}}}})
	ship := func(t *rapid.T) {
		clock += rapid.Int64Range(0, 60).Draw(t, "time")
		for range rapid.IntRange(1, 3).Draw(t, "ships") {
			name := rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "process")
			first := expected.through[fmt.Sprint(name, epochs[name])] + 1
			back := rapid.Uint64Range(0, first-1).Draw(t, "sent again") % 4
			c := Ship{Process: name, Epoch: epochs[name], FirstSeq: first - back}
			for range rapid.IntRange(int(back), int(back)+6).Draw(t, "records") {
				r := Record{ID: fmt.Sprintf("%s-%d", name, rapid.IntRange(0, 20).Draw(t, "id")), Tenant: tenant(), Class: "hold", Outcome: "served"}
				if rapid.IntRange(0, 2).Draw(t, "failed") == 0 {
					r.Outcome, r.Body = "failed", bytes.Repeat([]byte{7}, rapid.IntRange(1, 40).Draw(t, "body"))
				}
				r.Ended = clock - rapid.Int64Range(0, 300).Draw(t, "ago")
				c.Records = append(c.Records, r)
			}
			require.NoError(t, do(c))
		}
	}
	hold := func(t *rapid.T) {
		h := Hold{Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "hold"), Tenant: tenant(), Owner: "audit", Reason: "asked for"}
		switch rapid.IntRange(0, 3).Draw(t, "what") {
		case 0:
			h.ID = fmt.Sprintf("n1-%d", rapid.IntRange(0, 20).Draw(t, "id"))
		case 1:
			h.From, h.To = clock-200, clock
		}
		if rapid.Bool().Draw(t, "ends") {
			h.Until = clock + 150
		}
		_ = do(SetHold{At: clock, Hold: h})
	}
	release := func(t *rapid.T) {
		_ = do(ReleaseHold{At: clock, Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "hold")})
	}
	prune := func(t *rapid.T) {
		if c, needed := plan(rapid.IntRange(1, 30).Draw(t, "most")); needed {
			require.NoError(t, do(c))
			planned = append(planned, c)
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"ship": ship, "ship more": ship, "cut": prune, "cut more": prune, "cut yet more": prune,
		"restart": func(t *rapid.T) { epochs[rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "process")]++ },
		"pass":    func(t *rapid.T) { clock += rapid.Int64Range(1, 200).Draw(t, "time") },
		"rules": func(t *rapid.T) {
			limit := func() Limits {
				return Limits{MaxAge: rapid.SampledFrom([]int64{0, 100, 400}).Draw(t, "for"), MaxCount: rapid.SampledFrom([]int64{0, 3, 9}).Draw(t, "count"), MaxBytes: rapid.SampledFrom([]int64{0, 500}).Draw(t, "bytes")}
			}
			require.NoError(t, do(SetRules{At: clock, Rules: []Rule{{Tenant: tenant(), Keep: limit(), Failed: limit()}, {Tenant: DefaultRuleTenant, Keep: limit()}}}))
		},
		"hold": hold, "hold more": hold, "lift": release, "lift more": release,
		"plan": func(t *rapid.T) {
			if c, needed := plan(rapid.IntRange(1, 12).Draw(t, "most")); needed {
				planned = append(planned, c)
			}
		},
		"old cut": func(t *rapid.T) { // it may have been planned long ago, or applied already
			if len(planned) > 0 {
				c := rapid.SampledFrom(planned).Draw(t, "cut")
				if err := do(c); c.RulesEdition != leader.rulesEdition {
					require.ErrorIs(t, err, ErrStale)
				}
			}
		},
		"snapshot": func(t *rapid.T) {
			text, err := leader.Encode()
			require.NoError(t, err)
			snapshots = append(snapshots, snapshot{text, slices.Clone(leader.store), leader.applied})
		},
		"restore": func(t *rapid.T) {
			s := rapid.SampledFrom(snapshots).Draw(t, "snapshot")
			fresh := &replica{State: New(), store: slices.Clone(s.store), applied: s.applied}
			if s.state != nil {
				require.NoError(t, fresh.Decode(s.state))
			}
			fresh.LearnFence(leader.Fence())
			all[2], lagging = fresh, fresh
		},
		"catch up": func(t *rapid.T) {
			for to := rapid.IntRange(lagging.applied, len(log)).Draw(t, "to"); lagging.applied < to; {
				_ = lagging.apply(t, log[lagging.applied])
			}
		},
		"read on": func(t *rapid.T) {
			if atStart == nil {
				query, read, atStart = Query{Tenant: tenant(), Limit: rapid.IntRange(1, 4).Draw(t, "most"), Descending: rapid.Bool().Draw(t, "last")}, nil, map[Position]Record{}
				for _, r := range expected.of(query.Tenant) {
					atStart[r.Position()] = r
				}
			}
			p, err := all[rapid.IntRange(0, 1).Draw(t, "replica")].View().Page(all[1].store, query)
			require.NoError(t, err)
			read = append(read, p.Records...)
			if query.Cursor = p.Next; p.Next != "" {
				return
			}
			seen := map[Position]bool{}
			for _, r := range read {
				require.False(t, seen[r.Position()], "read twice")
				seen[r.Position()] = true
			}
			for position := range atStart {
				if _, still := expected.stored[position]; still {
					require.True(t, seen[position], "left out")
				}
			}
			atStart = nil
		},
		"": func(t *rapid.T) {
			for _, r := range all {
				for _, name := range names {
					served := r.pages(t, Query{Tenant: name, Limit: 5})
					back := r.pages(t, Query{Tenant: name, Limit: 3, Descending: true})
					slices.Reverse(back)
					require.Equal(t, served, back)
					for _, x := range served {
						require.False(t, expected.removed[x.Position()], "a removed record is served: %s %v", x.ID, x.Position())
					}
					if r.applied == len(log) {
						require.Equal(t, expected.of(name), served)
					}
				}
				for _, id := range []string{"n1-3", "n2-5"} {
					found, err := r.View().ByID(r.store, id, 100)
					require.NoError(t, err)
					for _, x := range found {
						require.False(t, expected.removed[x.Position()], "a removed record is served by id")
					}
				}
				wrong, err := r.Audit(r.store)
				require.NoError(t, err)
				require.Empty(t, wrong)
				if r.applied == len(log) {
					a, err := leader.Encode()
					require.NoError(t, err)
					b, err := r.Encode()
					require.NoError(t, err)
					require.Equal(t, a, b, "digests")
				}
			}
		},
	})
	// At the end, small prunes remove all that the rules and ended holds no longer keep.
	for range 1000 {
		c, needed := plan(3)
		if !needed {
			break
		}
		require.NoError(t, do(c))
	}
	for _, name := range leader.Tenants() {
		rule := leader.rule(name)
		stored, below := leader.Usage(name)
		for l, limits := range []Limits{rule.Keep, rule.Failed} {
			require.True(t, limits.MaxCount == 0 || stored[l].Count-below[l].Count <= limits.MaxCount)
			require.True(t, limits.MaxBytes == 0 || stored[l].Bytes-below[l].Bytes <= limits.MaxBytes)
		}
		require.Len(t, leader.store[leader.store.find(name, Position{}):leader.store.find(name, maxPosition)], len(expected.of(name)), "records of ended holds must be swept")
	}
}

// TestOneOrder checks a change of rules, a hold and a prune that was planned before, in
// different orders: a held record survives, and the order determines which others remain.
func TestOneOrder(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	fresh := func() *replica {
		r := &replica{State: New()}
		var all []Record
		for i := range 6 {
			all = append(all, Record{ID: fmt.Sprint("j", i), Tenant: "hrad", Ended: int64(100 + i)})
		}
		require.NoError(t, r.apply(t, SetRules{Rules: []Rule{{Tenant: DefaultRuleTenant, Keep: Limits{MaxCount: 2}}}}))
		require.NoError(t, r.apply(t, Ship{Process: "n1", Epoch: 1, FirstSeq: 1, Records: all}))
		return r
	}
	ids := func(r *replica) string {
		var ids []string
		for _, x := range r.pages(t, Query{Tenant: "hrad", Limit: 2}) {
			ids = append(ids, x.ID)
		}
		return strings.Join(ids, " ")
	}
	for order, want := range map[string]string{
		"hold cut": "j0 j4 j5", "cut hold": "j4 j5", "hold rule cut": "j0 j1 j2 j3 j4 j5", "hold cut rule cut": "j0 j4 j5",
		"rule cut hold cut": "j3 j4 j5", "rule hold cut": "j0 j3 j4 j5", "hold rule plan cut": "j0 j3 j4 j5", "cut rule hold cut": "j4 j5",
		"hold cut lift": "j4 j5", "hold cut lift hold": "j4 j5", "hold cut lift hold cut cut": "j4 j5", "hold lift cut": "j4 j5",
	} {
		r := fresh()
		stale, _, err := r.PlanPrune(r.store, 200, 100) // planned before the other commands
		require.NoError(t, err)
		planned := strings.HasPrefix(order, "rule cut") || strings.HasPrefix(order, "rule hold") || strings.Contains(order, "plan")
		for _, c := range strings.Fields(order) {
			switch c {
			case "rule":
				require.NoError(t, r.apply(t, SetRules{Rules: []Rule{{Tenant: DefaultRuleTenant, Keep: Limits{MaxCount: 3}}}}))
			case "hold":
				require.NoError(t, r.apply(t, SetHold{Hold: Hold{Name: "h", Tenant: "hrad", ID: "j0", Owner: "o", Reason: "r"}}))
			case "lift":
				require.NoError(t, r.apply(t, ReleaseHold{Name: "h"}))
			case "cut":
				if planned || strings.Contains(order, "cut cut") {
					stale, _, err = r.PlanPrune(r.store, 200, 100)
					require.NoError(t, err)
				}
				err = r.apply(t, stale)
				require.True(t, err == nil || stale.RulesEdition != r.rulesEdition, "%s: %v", order, err)
			}
		}
		require.Equal(t, want, ids(r), order)
		wrong, err := r.Audit(r.store)
		require.NoError(t, err)
		require.Empty(t, wrong)
	}
	// Held records don't count against the limits.
	r := fresh()
	require.NoError(t, r.apply(t, SetHold{Hold: Hold{Name: "h", Tenant: "hrad", To: 104, Owner: "o", Reason: "r"}}))
	for range 2 {
		c, _, err := r.PlanPrune(r.store, 200, 100)
		require.NoError(t, err)
		require.NoError(t, r.apply(t, c))
	}
	require.Equal(t, "j0 j1 j2 j3 j4 j5", ids(r))
}

// TestRefusals checks for which errors commands are refused.
func TestRefusals(t *testing.T) {
	r := &replica{State: New()}
	good := Hold{Name: "h", Tenant: "hrad", Owner: "o", Reason: "r"}
	require.NoError(t, r.apply(t, SetHold{At: 10, Hold: good}))
	require.NoError(t, r.apply(t, SetHold{At: 10, Hold: good}), "set again")
	require.NoError(t, r.apply(t, Ship{Process: "n1", Incarnation: 2, Epoch: 7, FirstSeq: 1, Records: []Record{{ID: "a", Tenant: "hrad"}}}))
	with := func(change func(*Hold)) SetHold {
		h := good
		change(&h)
		return SetHold{At: 10, Hold: h}
	}
	for _, c := range []struct {
		command any
		err     error
	}{
		{with(func(h *Hold) { h.ID = "x" }), ErrHoldTaken},
		{with(func(h *Hold) { h.Name, h.Owner = "g", "" }), ErrInvalid},
		{with(func(h *Hold) { h.Name, h.Until = "g", 10 }), ErrInvalid},
		{with(func(h *Hold) { h.Name, h.From, h.To = "g", 5, 5 }), ErrInvalid},
		{with(func(h *Hold) { h.Name, h.Key = "g", "\xff" }), ErrInvalid},
		{ReleaseHold{Name: "g"}, ErrNoHold},
		{SetRules{Rules: []Rule{{Tenant: "a"}, {Tenant: "a"}}}, ErrInvalid},
		{SetRules{Rules: []Rule{{Tenant: "a", Failed: Limits{MaxBytes: -1}}}}, ErrInvalid},
		{Prune{RulesEdition: 9}, ErrStale},
		{Prune{Watermarks: []Watermark{{Tenant: "nobody"}}}, ErrInvalid},
		{Ship{Process: "n1", Incarnation: 1, Epoch: 7, FirstSeq: 2}, ErrIncarnation},
		{Ship{Process: "n1", Incarnation: 2, Epoch: 7, FirstSeq: 3}, ErrGap},
		{Ship{Process: "n1", Incarnation: 2, Epoch: 8, FirstSeq: 2}, ErrGap},
		{Ship{Process: "n\x001", Epoch: 8, FirstSeq: 1}, ErrInvalid},
		{Ship{Process: "n1", Incarnation: 2, Epoch: 8}, ErrInvalid},
		{Ship{Process: "n1", Incarnation: 2, Epoch: 8, FirstSeq: 1<<64 - 1, Records: make([]Record, 2)}, ErrInvalid},
	} {
		require.ErrorIs(t, r.apply(t, c.command), c.err, "%+v", c.command)
	}
	done, err := r.Ship(0, &r.store, Ship{Process: "n1", Incarnation: 3, Epoch: 7, FirstSeq: 4, GapLost: true, Records: []Record{{ID: "\xff", Body: make([]byte, maxRecord)}, {ID: "\xff", Body: []byte{}}}})
	require.NoError(t, err)
	require.Equal(t, Shipped{Through: 5, Stored: 1, Missing: 2, TooLarge: 1}, done)
	for epoch := range uint64(40) { // of a process that starts many times, only the last epochs are remembered
		_, err := r.Ship(0, &r.store, Ship{Process: "n1", Incarnation: 4, Epoch: 100 + epoch, FirstSeq: 1, Records: []Record{{ID: "b"}}})
		require.NoError(t, err)
	}
	done, err = r.Ship(0, &r.store, Ship{Process: "n1", Incarnation: 4, Epoch: 7, FirstSeq: 6, Records: []Record{{ID: "c"}}})
	require.NoError(t, err)
	require.Equal(t, Shipped{Through: 6, Duplicates: 1}, done)
	_, err = r.View().Page(r.store, Query{Tenant: "hrad", Cursor: "AAAA"})
	require.ErrorIs(t, err, ErrCursor)
	x := Trim(Record{Key: strings.Repeat("k", 2000), Members: make([]string, 20), Body: []byte("four")}, 3)
	require.Equal(t, Record{Key: strings.Repeat("k", maxText), Members: make([]string, maxMembers)}, x)
}

// FuzzDecode checks that Decode either refuses the bytes and changes nothing, or accepts
// exactly the bytes that Encode returns for the decoded state.
func FuzzDecode(f *testing.F) {
	r := &replica{State: New()}
	for _, c := range []any{
		SetRules{Rules: []Rule{{Tenant: DefaultRuleTenant, Keep: Limits{MaxCount: 2}}}}, SetHold{Hold: Hold{Name: "h", Tenant: "hrad", Owner: "o", Reason: "r"}},
		Ship{Process: "n1", Epoch: 1, FirstSeq: 1, Records: []Record{{ID: "a", Tenant: "hrad"}, {ID: "b", Outcome: "failed"}}},
	} {
		require.NoError(f, r.apply(f, c))
	}
	text, err := r.Encode()
	require.NoError(f, err)
	f.Add(text)
	newer := bytes.Clone(text)
	newer[0]++
	require.ErrorIs(f, New().Decode(newer), ErrVersion)
	for i := range text {
		require.Error(f, New().Decode(text[:i]))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s := New()
		before, _ := s.Encode()
		err := s.Decode(text)
		after, _ := s.Encode()
		if err != nil {
			require.Equal(t, before, after)
			return
		}
		require.Equal(t, text, after)
	})
}
