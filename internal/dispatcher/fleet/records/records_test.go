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

// shelf is a store in memory, in the order of tenant and place.
type shelf []Record

func (s shelf) find(tenant string, o Position) int {
	i, _ := slices.BinarySearchFunc(s, o, func(r Record, o Position) int {
		if c := strings.Compare(r.Tenant, tenant); c != 0 {
			return c
		}
		return r.Position().Compare(o)
	})
	return i
}

func (s shelf) each(yield func(*Record, []byte) bool, in []Record) error {
	for _, r := range in {
		if text, _ := r.Encode(); !yield(&r, text) {
			break
		}
	}
	return nil
}

func (s shelf) Ascend(tenant string, from Position, yield func(*Record, []byte) bool) error {
	return s.each(yield, s[s.find(tenant, from):s.find(tenant, lastOrder)])
}

func (s shelf) Descend(tenant string, before Position, yield func(*Record, []byte) bool) error {
	in := slices.Clone(s[s.find(tenant, Position{}):s.find(tenant, before)])
	slices.Reverse(in)
	return s.each(yield, in)
}

func (s shelf) ByID(id string, yield func(*Record, []byte) bool) error {
	return s.each(yield, slices.DeleteFunc(slices.Clone(s), func(r Record) bool { return r.ID != id }))
}

func (s *shelf) Put(r *Record, _ []byte) error {
	*s = slices.Insert(*s, s.find(r.Tenant, r.Position()), *r)
	return nil
}

func (s *shelf) Delete(r *Record) error {
	i := s.find(r.Tenant, r.Position())
	if i == len(*s) || (*s)[i].Position() != r.Position() {
		return fmt.Errorf("%v is not there", r.Position())
	}
	*s = slices.Delete(*s, i, i+1)
	return nil
}

// replica is a state that has processed the log up to at.
type replica struct {
	*State
	shelf shelf
	at    int
}

func (r *replica) take(t require.TestingT, command any) (err error) {
	r.at++
	before, _ := r.Digest()
	switch c := command.(type) {
	case Ship:
		_, err = r.Ship(0, &r.shelf, c)
	case SetRules:
		err = r.SetRules(0, c)
	case SetHold:
		err = r.SetHold(0, &r.shelf, c)
	case ReleaseHold:
		err = r.ReleaseHold(0, c)
	case Prune:
		_, err = r.Prune(0, &r.shelf, c)
	}
	require.NotErrorIs(t, err, ErrStore)
	if after, _ := r.Digest(); err != nil {
		require.Equal(t, before, after, "refused, and changed something")
	}
	return err
}

// pages reads all of a tenant through a replica's view.
func (r *replica) pages(t require.TestingT, q Query) (all []Record) {
	for {
		p, err := r.View().Page(r.shelf, q)
		require.NoError(t, err)
		require.LessOrEqual(t, len(p.Records), q.Limit)
		all = append(all, p.Records...)
		if q.Cursor = p.Next; q.Cursor == "" {
			return all
		}
	}
}

// plain is the model: all that ever came, and what is left of it. It removes at
// once what no hold keeps, and counts nothing.
type plain struct {
	through map[string]uint64
	live    map[Position]Record // of all tenants: places differ in process, epoch or number
	dead    map[Position]bool
	marks   map[string]Position
	holds   map[string]Hold
	wall    int64
}

func laneOf(r Record) string { return fmt.Sprint(r.Tenant, r.RetentionClass()) }

func (m *plain) below(r Record) bool {
	for _, h := range m.holds {
		if h.covers(&r) {
			return false
		}
	}
	return r.Position().Compare(m.marks[laneOf(r)]) < 0
}

func (m *plain) take(command any) {
	switch c := command.(type) {
	case Ship:
		at := fmt.Sprint(c.Process, c.Epoch)
		for i, r := range c.Records {
			if seq := c.FirstSeq + uint64(i); seq > m.through[at] {
				m.through[at] = seq
				r.Process, r.Epoch, r.Seq = c.Process, c.Epoch, seq
				m.live[r.Position()] = r
			}
		}
	case SetHold:
		m.wall = max(m.wall, c.At)
		m.expire()
		m.bury() // what only a hold kept that has ended is gone, though one of its name is set now
		m.holds[c.Hold.Name] = c.Hold
	case ReleaseHold:
		m.wall = max(m.wall, c.At)
		delete(m.holds, c.Name)
		m.expire()
	case SetRules:
		m.wall = max(m.wall, c.At)
	case Prune:
		m.wall = max(m.wall, c.At)
		m.expire()
		for _, k := range c.Watermarks {
			if at := fmt.Sprint(k.Tenant, k.Class); k.Position.Compare(m.marks[at]) > 0 {
				m.marks[at] = k.Position
			}
		}
	}
	m.bury()
}

// bury takes out what is below a mark and not held.
func (m *plain) bury() {
	for o, r := range m.live {
		if m.below(r) {
			delete(m.live, o)
			m.dead[o] = true
		}
	}
}

func (m *plain) expire() {
	for name, h := range m.holds {
		if h.Until != 0 && h.Until <= m.wall {
			delete(m.holds, name)
		}
	}
}

func (m *plain) of(tenant string) (all []Record) {
	for _, r := range m.live {
		if r.Tenant == tenant {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Record) int { return a.Position().Compare(b.Position()) })
	return all
}

var names = []string{"hrad", "kamenec", "lodenice"}

// TestReplicas: three replicas take the same log; one lags or is restored from an
// old snapshot, knowing what its process knew. Whatever the order of ships, rules,
// holds and cuts, they hold what the plain model holds, digests are equal, and
// nothing that is dead is ever served.
func TestReplicas(t *testing.T) { rapid.Check(t, replicas) }

func replicas(t *rapid.T) { //nolint:funlen,gocognit // one scenario, to be read from top to bottom
	var log []any
	model := &plain{through: map[string]uint64{}, live: map[Position]Record{}, dead: map[Position]bool{}, marks: map[string]Position{}, holds: map[string]Hold{}}
	all := []*replica{{State: New()}, {State: New()}, {State: New()}}
	lead, away := all[0], all[2]
	type snapshot struct {
		state []byte
		shelf shelf
		at    int
	}
	snapshots := []snapshot{{nil, nil, 0}}
	var planned []Prune
	epochs := map[string]uint64{"n1": 1, "n2": 1}
	var clock int64 = 1000
	// A reader that goes on from page to page through all of it.
	var query Query
	var read []Record
	var there map[Position]Record

	do := func(command any) error {
		log = append(log, command)
		err := lead.take(t, command)
		require.Equal(t, err, all[1].take(t, command), "replicas answer alike")
		if err == nil {
			model.take(command)
		}
		away.LearnFence(lead.Fence())
		return err
	}
	tenant := func() string { return rapid.SampledFrom(names).Draw(t, "tenant") }
	plan := func(most int) (Prune, bool) {
		c, needed, err := lead.PlanPrune(lead.shelf, clock, most)
		require.NoError(t, err)
		return c, needed
	}
	_ = do(SetRules{Rules: []Rule{{Tenant: DefaultRuleTenant, Keep: Limits{MaxAge: 150, MaxCount: 9}, Failed: Limits{MaxAge: 400, MaxCount: 5}}}})
	ship := func(t *rapid.T) {
		clock += rapid.Int64Range(0, 60).Draw(t, "time")
		for range rapid.IntRange(1, 3).Draw(t, "ships") {
			name := rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "process")
			first := model.through[fmt.Sprint(name, epochs[name])] + 1
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
	lift := func(t *rapid.T) {
		_ = do(ReleaseHold{At: clock, Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "hold")})
	}
	cut := func(t *rapid.T) {
		if c, needed := plan(rapid.IntRange(1, 30).Draw(t, "most")); needed {
			require.NoError(t, do(c))
			planned = append(planned, c)
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"ship": ship, "ship more": ship, "cut": cut, "cut more": cut, "cut yet more": cut,
		"restart": func(t *rapid.T) { epochs[rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "process")]++ },
		"pass":    func(t *rapid.T) { clock += rapid.Int64Range(1, 200).Draw(t, "time") },
		"rules": func(t *rapid.T) {
			limit := func() Limits {
				return Limits{MaxAge: rapid.SampledFrom([]int64{0, 100, 400}).Draw(t, "for"), MaxCount: rapid.SampledFrom([]int64{0, 3, 9}).Draw(t, "count"), MaxBytes: rapid.SampledFrom([]int64{0, 500}).Draw(t, "bytes")}
			}
			require.NoError(t, do(SetRules{At: clock, Rules: []Rule{{Tenant: tenant(), Keep: limit(), Failed: limit()}, {Tenant: DefaultRuleTenant, Keep: limit()}}}))
		},
		"hold": hold, "hold more": hold, "lift": lift, "lift more": lift,
		"plan": func(t *rapid.T) {
			if c, needed := plan(rapid.IntRange(1, 12).Draw(t, "most")); needed {
				planned = append(planned, c)
			}
		},
		"old cut": func(t *rapid.T) { // which may have been planned long ago, or have been done already
			if len(planned) > 0 {
				c := rapid.SampledFrom(planned).Draw(t, "cut")
				if err := do(c); c.RulesEdition != lead.rulesEdition {
					require.ErrorIs(t, err, ErrStale)
				}
			}
		},
		"snapshot": func(t *rapid.T) {
			text, err := lead.Encode()
			require.NoError(t, err)
			snapshots = append(snapshots, snapshot{text, slices.Clone(lead.shelf), lead.at})
		},
		"restore": func(t *rapid.T) {
			s := rapid.SampledFrom(snapshots).Draw(t, "snapshot")
			fresh := &replica{State: New(), shelf: slices.Clone(s.shelf), at: s.at}
			if s.state != nil {
				require.NoError(t, fresh.Decode(s.state))
			}
			fresh.LearnFence(lead.Fence())
			all[2], away = fresh, fresh
		},
		"catch up": func(t *rapid.T) {
			for to := rapid.IntRange(away.at, len(log)).Draw(t, "to"); away.at < to; {
				_ = away.take(t, log[away.at])
			}
		},
		"read on": func(t *rapid.T) {
			if there == nil {
				query, read, there = Query{Tenant: tenant(), Limit: rapid.IntRange(1, 4).Draw(t, "most"), Descending: rapid.Bool().Draw(t, "last")}, nil, map[Position]Record{}
				for _, r := range model.of(query.Tenant) {
					there[r.Position()] = r
				}
			}
			p, err := all[rapid.IntRange(0, 1).Draw(t, "replica")].View().Page(all[1].shelf, query)
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
			for o := range there {
				if _, still := model.live[o]; still {
					require.True(t, seen[o], "left out")
				}
			}
			there = nil
		},
		"": func(t *rapid.T) {
			for _, r := range all {
				for _, name := range names {
					served := r.pages(t, Query{Tenant: name, Limit: 5})
					back := r.pages(t, Query{Tenant: name, Limit: 3, Descending: true})
					slices.Reverse(back)
					require.Equal(t, served, back)
					for _, x := range served {
						require.False(t, model.dead[x.Position()], "a dead record is served: %s %v", x.ID, x.Position())
					}
					if r.at == len(log) {
						require.Equal(t, model.of(name), served)
					}
				}
				for _, id := range []string{"n1-3", "n2-5"} {
					found, err := r.View().ByID(r.shelf, id, 100)
					require.NoError(t, err)
					for _, x := range found {
						require.False(t, model.dead[x.Position()], "a dead record is served by id")
					}
				}
				wrong, err := r.Audit(r.shelf)
				require.NoError(t, err)
				require.Empty(t, wrong)
				if r.at == len(log) {
					a, err := lead.Encode()
					require.NoError(t, err)
					b, err := r.Encode()
					require.NoError(t, err)
					require.Equal(t, a, b, "digests")
				}
			}
		},
	})
	// At the end all that was asked for is done, in steps.
	for range 1000 {
		c, needed := plan(3)
		if !needed {
			break
		}
		require.NoError(t, do(c))
	}
	for _, name := range lead.Tenants() {
		rule := lead.rule(name)
		live, below := lead.Usage(name)
		for l, limits := range []Limits{rule.Keep, rule.Failed} {
			require.True(t, limits.MaxCount == 0 || live[l].Count-below[l].Count <= limits.MaxCount)
			require.True(t, limits.MaxBytes == 0 || live[l].Bytes-below[l].Bytes <= limits.MaxBytes)
		}
		require.Len(t, lead.shelf[lead.shelf.find(name, Position{}):lead.shelf.find(name, lastOrder)], len(model.of(name)), "ended holds are swept")
	}
}

// TestOneOrder: a rule that is changed, a hold set and a prune under way, in every
// order: the held record survives all three, and replicas agree on the rest.
func TestOneOrder(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	fresh := func() *replica {
		r := &replica{State: New()}
		var all []Record
		for i := range 6 {
			all = append(all, Record{ID: fmt.Sprint("j", i), Tenant: "hrad", Ended: int64(100 + i)})
		}
		require.NoError(t, r.take(t, SetRules{Rules: []Rule{{Tenant: DefaultRuleTenant, Keep: Limits{MaxCount: 2}}}}))
		require.NoError(t, r.take(t, Ship{Process: "n1", Epoch: 1, FirstSeq: 1, Records: all}))
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
		stale, _, err := r.PlanPrune(r.shelf, 200, 100) // under way while the others come
		require.NoError(t, err)
		planned := strings.HasPrefix(order, "rule cut") || strings.HasPrefix(order, "rule hold") || strings.Contains(order, "plan")
		for _, c := range strings.Fields(order) {
			switch c {
			case "rule":
				require.NoError(t, r.take(t, SetRules{Rules: []Rule{{Tenant: DefaultRuleTenant, Keep: Limits{MaxCount: 3}}}}))
			case "hold":
				require.NoError(t, r.take(t, SetHold{Hold: Hold{Name: "h", Tenant: "hrad", ID: "j0", Owner: "o", Reason: "r"}}))
			case "lift":
				require.NoError(t, r.take(t, ReleaseHold{Name: "h"}))
			case "cut":
				if planned || strings.Contains(order, "cut cut") {
					stale, _, err = r.PlanPrune(r.shelf, 200, 100)
					require.NoError(t, err)
				}
				err = r.take(t, stale)
				require.True(t, err == nil || stale.RulesEdition != r.rulesEdition, "%s: %v", order, err)
			}
		}
		require.Equal(t, want, ids(r), order)
		wrong, err := r.Audit(r.shelf)
		require.NoError(t, err)
		require.Empty(t, wrong)
	}
	// What is held takes no room from the rest: three new ones, and only those make room.
	r := fresh()
	require.NoError(t, r.take(t, SetHold{Hold: Hold{Name: "h", Tenant: "hrad", To: 104, Owner: "o", Reason: "r"}}))
	for range 2 {
		c, _, err := r.PlanPrune(r.shelf, 200, 100)
		require.NoError(t, err)
		require.NoError(t, r.take(t, c))
	}
	require.Equal(t, "j0 j1 j2 j3 j4 j5", ids(r))
}

// TestRefusals: what a command is refused for.
func TestRefusals(t *testing.T) {
	r := &replica{State: New()}
	good := Hold{Name: "h", Tenant: "hrad", Owner: "o", Reason: "r"}
	require.NoError(t, r.take(t, SetHold{At: 10, Hold: good}))
	require.NoError(t, r.take(t, SetHold{At: 10, Hold: good}), "set again")
	require.NoError(t, r.take(t, Ship{Process: "n1", Incarnation: 2, Epoch: 7, FirstSeq: 1, Records: []Record{{ID: "a", Tenant: "hrad"}}}))
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
		require.ErrorIs(t, r.take(t, c.command), c.err, "%+v", c.command)
	}
	done, err := r.Ship(0, &r.shelf, Ship{Process: "n1", Incarnation: 3, Epoch: 7, FirstSeq: 4, GapLost: true, Records: []Record{{ID: "\xff", Body: make([]byte, maxRecord)}, {ID: "\xff", Body: []byte{}}}})
	require.NoError(t, err)
	require.Equal(t, Shipped{Through: 5, Stored: 1, Missing: 2, TooLarge: 1}, done)
	for epoch := range uint64(40) { // of a process that starts again and again, the last are remembered
		_, err := r.Ship(0, &r.shelf, Ship{Process: "n1", Incarnation: 4, Epoch: 100 + epoch, FirstSeq: 1, Records: []Record{{ID: "b"}}})
		require.NoError(t, err)
	}
	done, err = r.Ship(0, &r.shelf, Ship{Process: "n1", Incarnation: 4, Epoch: 7, FirstSeq: 6, Records: []Record{{ID: "c"}}})
	require.NoError(t, err)
	require.Equal(t, Shipped{Through: 6, Duplicates: 1}, done)
	_, err = r.View().Page(r.shelf, Query{Tenant: "hrad", Cursor: "AAAA"})
	require.ErrorIs(t, err, ErrCursor)
	x := Trim(Record{Key: strings.Repeat("k", 2000), Members: make([]string, 20), Body: []byte("four")}, 3)
	require.Equal(t, Record{Key: strings.Repeat("k", maxText), Members: make([]string, maxMembers)}, x)
}

// FuzzDecode: whatever bytes are given as a state are refused, or are just those
// that the state is written as; and a refusal changes nothing.
func FuzzDecode(f *testing.F) {
	r := &replica{State: New()}
	for _, c := range []any{
		SetRules{Rules: []Rule{{Tenant: DefaultRuleTenant, Keep: Limits{MaxCount: 2}}}}, SetHold{Hold: Hold{Name: "h", Tenant: "hrad", Owner: "o", Reason: "r"}},
		Ship{Process: "n1", Epoch: 1, FirstSeq: 1, Records: []Record{{ID: "a", Tenant: "hrad"}, {ID: "b", Outcome: "failed"}}},
	} {
		require.NoError(f, r.take(f, c))
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
