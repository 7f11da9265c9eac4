package server_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fakes"
	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/server"
	"basaltloft/internal/dispatcher/settings"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// lane is a class as the settings have it; all that the checker knows of one.
type lane struct {
	Name    string        `json:"name"`
	Effect  string        `json:"effect"`
	Scope   string        `json:"key_scope"`
	Window  time.Duration `json:"repeat_window"`
	Promise time.Duration `json:"promise"`
	GiveUp  time.Duration `json:"give_up"`
	Worth   float64       `json:"worth"`
}

// place is where a member is.
type place struct {
	zone, kind string
	cell       int
	young      bool // its list says that it started just now
}

// site is one customer: the settings, and what the members do.
type site struct {
	lanes            []lane
	kinds            []int // of each class, -1: any
	shapes, tenants  []string
	zone             string // the dispatcher's
	places           []place
	pushed, silent   bool // lists are pushed; starts are not told
	cancel, probes   bool
	tries, instances int
	slots            int
	run              time.Duration
	crossing         float64
	troubles         fakes.Faults
	jobs             int
	over             time.Duration // in which they come
	seed             uint64
}

// sites draws one: any names, effects in any order over one to five classes.
func sites(t *rapid.T) site {
	names := func(label string, most int) []string {
		name := rapid.StringMatching(`[a-z][a-z0-9]{1,5}(-[a-z0-9]{1,5})?`)
		return rapid.SliceOfNDistinct(name, 1, most, rapid.ID[string]).Draw(t, label)
	}
	span := func(label string, of ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(of).Draw(t, label)) * time.Millisecond
	}
	chance := func(label string) float64 {
		return rapid.SampledFrom([]float64{0, 0.05, 0.15, 0.3}).Draw(t, label)
	}
	s := site{
		shapes: names("shapes", 3), tenants: names("tenants", 4),
		pushed: rapid.Bool().Draw(t, "pushed"), silent: rapid.Bool().Draw(t, "silent"),
		cancel: rapid.Bool().Draw(t, "cancel"), probes: rapid.Bool().Draw(t, "probes"),
		tries: rapid.IntRange(1, 5).Draw(t, "tries"), instances: rapid.SampledFrom([]int{1, 3, 20}).Draw(t, "instances"),
		slots: rapid.IntRange(1, 6).Draw(t, "slots"), run: span("run", 2, 20, 60, 150),
		crossing: rapid.SampledFrom([]float64{0, 0.03}).Draw(t, "crossing"),
		troubles: fakes.Faults{
			Reject: chance("turn away"), Fail: chance("fail"), Break: chance("break"), DuplicateEnd: chance("again"),
			HandBack: chance("return"), ReportLost: chance("lose"), Hang: chance("hang") / 2,
		},
		jobs: 60, over: 600 * time.Millisecond, seed: rapid.Uint64().Draw(t, "seed"),
	}
	zones := names("zones", 3)
	s.zone = zones[0]
	effects := rapid.Permutation([]string{"idempotent", "deduplicated", "at_most_once"}).Draw(t, "effects")
	for i, name := range names("classes", 5) {
		l := lane{
			Name: name, Effect: effects[i%len(effects)], Scope: rapid.SampledFrom([]string{"all", "zone", "cell"}).Draw(t, "scope"),
			Window: span("window", 0, 60, 300, 1500, 15000), GiveUp: span("give up", 20, 150, 400, 1000, 2000),
			Worth: rapid.Float64Range(0, 20).Draw(t, "worth"),
		}
		l.Promise = l.GiveUp / time.Duration(rapid.IntRange(1, 5).Draw(t, "promise"))
		s.lanes = append(s.lanes, l)
		s.kinds = append(s.kinds, rapid.IntRange(-1, len(s.shapes)-1).Draw(t, "kind"))
	}
	for i := range rapid.IntRange(3, 8).Draw(t, "members") {
		s.places = append(s.places, place{
			zone: rapid.SampledFrom(zones).Draw(t, "zone"), kind: s.shapes[i%len(s.shapes)],
			cell: rapid.IntRange(0, 2).Draw(t, "cell"), young: rapid.IntRange(0, 4).Draw(t, "young") == 0,
		})
	}
	return s
}

// settings is the settings object, with the classes as the program is to see them.
func (s site) settings(lanes []lane) string {
	tenants := []map[string]string{}
	for _, name := range s.tenants {
		tenants = append(tenants, map[string]string{"name": name})
	}
	mode := map[bool]string{true: "push", false: "ask"}[s.pushed]
	text, _ := json.Marshal(map[string]any{
		"balancers": s.instances, "rank": 0, "registry_mode": mode, "worth_by": "request", "zone": s.zone, "shapes": s.shapes,
		"tenants": tenants, "lanes": lanes, "prices": map[string]float64{"cross_zone": s.crossing},
		"family_info": map[string]any{"class_kind": s.kinds, "tells_start": !s.silent},
		"limits": map[string]any{"most_tries": s.tries, "cancel": s.cancel, "probes": s.probes, "retry_after": true,
			"max_retry_after": 500 * time.Millisecond, "dial_timeout": 250 * time.Millisecond},
		"guarantees": map[string]any{"grace_to_answer": 8 * time.Millisecond, "ask_every": 5 * time.Second, "start_capacity": 0.3,
			"warm_after": time.Second, "fall_multiple": 4, "tip_after": time.Second},
	})
	return string(text)
}

// call is one request and what its client was told.
type call struct {
	id, ask  string
	lane     lane
	patience time.Duration // the deadline, from the sending
	took     time.Duration
	status   int // 0: no whole answer
	body     string
}

// history is what came of a site.
type history struct {
	calls    []call
	arrivals []fakes.Arrival
	lag      time.Duration // the most by which this process was late for its own clock
}

// play runs the program on a site, with the classes as given, until all is answered.
//
//nolint:funlen,gocognit // one play: its goroutines share the clocks and the history
func play(s site, seen []lane) (h history, err error) {
	till := fakes.NewRunLog()
	till.KeepArrivals()
	addr, err := fakes.FreeAddr()
	if err != nil {
		return h, err
	}
	var listed []fakes.Instance
	for i, p := range s.places {
		m, err := fakes.NewMember(fakes.MemberSettings{
			ID: fmt.Sprintf("m%d", i), Zone: p.zone, Kind: p.kind, Cell: p.cell, Slots: s.slots, NoStartReports: s.silent, RunLog: till, Seed: s.seed + uint64(i),
			Run: func(string) time.Duration { return s.run }, AtMostOnce: func(string) bool { return false }, Faults: s.troubles,
			ReportTo: func() string { return addr },
			Outcome:  func(_, ask string, _ []byte) (state, result string) { return "done", "ran " + ask },
		})
		if err != nil {
			return h, err
		}
		defer m.Close()
		one := m.Instance()
		if p.young {
			one.StartedMs = time.Now().UnixMilli()
		}
		listed = append(listed, one)
	}
	discovery, err := fakes.NewDiscovery(listed...)
	if err != nil {
		return h, err
	}
	defer discovery.Close()
	known, _ := json.Marshal(listed)
	c, err := settings.DecodeConfig(fmt.Appendf(nil, `{"name":"n%d","listen":%q,"discovery":%q,"limits":{"cores":1,"memory_mb":192,"sockets":1024},`+
		`"known":{"generation":0,"reset":true,"instances":%s},"settings":%s}`, s.seed, addr, discovery.Addr(), known, s.settings(seen)))
	if err != nil {
		return h, err
	}
	o, err := settings.DecodeOperator([]byte("{}"))
	if err != nil {
		return h, err
	}
	log := logtest.Discard()
	told, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() {
		ended <- server.Run(context.Background(), server.Options{Config: c, Operator: o, Log: log}, told, nil)
	}()
	over := make(chan struct{})
	defer func() {
		close(over)
		told <- os.Interrupt
		select {
		case failed := <-ended:
			err = errors.Join(err, failed)
		case <-time.After(30 * time.Second):
			err = errors.Join(err, errors.New("it does not end"))
		}
	}()
	var worst atomic.Int64
	go func() {
		for last := time.Now(); ; last = time.Now() {
			select {
			case <-over:
				return
			case <-time.After(2 * time.Millisecond):
				worst.Store(max(worst.Load(), int64(time.Since(last))))
			}
		}
	}()
	wire := &http.Transport{MaxIdleConnsPerHost: s.jobs}
	defer wire.CloseIdleConnections()
	for until := time.Now().Add(20 * time.Second); ; { // ready
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr+"/health/ready", nil)
		if err != nil {
			return h, err
		}
		if resp, err := wire.RoundTrip(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(until) {
			return h, errors.New("it is not ready")
		}
		time.Sleep(5 * time.Millisecond)
	}
	h.calls = make([]call, s.jobs)
	random := rand.New(rand.NewPCG(s.seed, 3))
	var all sync.WaitGroup
	for i := range h.calls {
		l := s.lanes[random.IntN(len(s.lanes))]
		q := call{id: fmt.Sprintf("%x-%d", s.seed, i), ask: fmt.Sprintf("a%d", i), lane: l, patience: l.GiveUp}
		if random.IntN(4) == 0 {
			q.patience = l.GiveUp * 3 / 4
		}
		tenant := s.tenants[random.IntN(len(s.tenants))]
		all.Go(func() {
			q.send(wire, addr, tenant)
			h.calls[i] = q
		})
		time.Sleep(time.Duration(random.Int64N(int64(2*s.over) / int64(s.jobs))))
	}
	all.Wait()
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		h.arrivals, h.lag = till.Arrivals(), time.Duration(worst.Load())
		if !unheard(h.arrivals) || time.Now().After(until) { // a member may hear of a close after the next one has the job
			return h, nil
		}
	}
}

// unheard tells whether a member knows nothing of an attempt's end that another followed.
func unheard(arrivals []fakes.Arrival) bool {
	last := make(map[string]fakes.Arrival)
	for _, a := range arrivals {
		if b, known := last[a.ID]; known && b.SettledAt.IsZero() {
			return true
		}
		last[a.ID] = a
	}
	return false
}

// send sends the request and notes its answer.
func (q *call) send(wire *http.Transport, addr, tenant string) {
	ctx, cancel := context.WithTimeout(context.Background(), q.patience+10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+q.lane.Name+"?sid="+q.ask, strings.NewReader("body"))
	if err != nil {
		return
	}
	req.Header.Set("X-Call-Id", q.id)
	req.Header.Set("X-Call-Class", q.lane.Name)
	req.Header.Set("X-Caller", tenant)
	req.Header.Set("X-Budget", fmt.Sprintf("%.3f", q.patience.Seconds()))
	if q.lane.Effect == "deduplicated" {
		req.Header.Set("Idempotency-Key", "k-"+q.id)
	}
	var mu sync.Mutex // it is taken once its last byte is written to a connection that was accepted
	began := time.Now()
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
		mu.Lock()
		began = time.Now()
		mu.Unlock()
	}}))
	defer func() {
		mu.Lock()
		q.took = time.Since(began)
		mu.Unlock()
	}()
	resp, err := wire.RoundTrip(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	q.status, q.body = resp.StatusCode, string(text)
}

// broken names what broke the rules, by the settings alone.
//
//nolint:funlen,gocognit // a list of rules over the same history
func broken(s site, h history) (wrong []string) {
	say := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	slack := min(100*time.Millisecond+3*h.lag, time.Second) // of a stand-in that is late itself
	of := make(map[string][]fakes.Arrival)
	for _, a := range h.arrivals {
		of[a.ID] = append(of[a.ID], a)
	}
	at := make(map[string]place)
	for i, p := range s.places {
		at[fmt.Sprintf("m%d", i)] = p
	}
	for _, q := range h.calls {
		l, tries := q.lane, of[q.id]
		delete(of, q.id)
		var ran *fakes.Arrival // the first that may have run
		for i, a := range tries {
			if a.Class != l.Name || a.LogicalID != q.ask || (l.Effect == "deduplicated") != (a.Key != "") {
				say("%s of %s came to its member as %s %s %q", q.id, l.Name, a.Class, a.LogicalID, a.Key)
			}
			if i > 0 {
				if b := tries[i-1]; b.SettledAt.IsZero() || b.SettledAt.Sub(a.ArrivedAt) > slack {
					say("%s of %s: two attempts at once, at %s and %s", q.id, l.Name, b.Member, a.Member)
				}
			}
			if ran != nil {
				from, to := at[ran.Member], at[a.Member]
				inside := l.Scope == "all" || from.zone == to.zone && (l.Scope == "zone" || from.cell == to.cell)
				switch {
				case l.Effect == "at_most_once":
					say("%s of %s: sent again to %s, may have run at %s", q.id, l.Name, a.Member, ran.Member)
				case l.Effect == "deduplicated" && !inside:
					say("%s of %s: sent again outside its %s", q.id, l.Name, l.Scope)
				case l.Effect == "deduplicated" && a.ArrivedAt.Sub(ran.ArrivedAt) > l.Window+slack:
					say("%s of %s: sent again after %v, window %v", q.id, l.Name, a.ArrivedAt.Sub(ran.ArrivedAt), l.Window)
				}
			}
			if ran == nil && !a.Rejected {
				ran = &tries[i]
			}
		}
		if len(tries) > s.tries {
			say("%s of %s: %d attempts of %d", q.id, l.Name, len(tries), s.tries)
		}
		if q.took > q.patience+2*time.Second+10*h.lag { // by as many steps as lie between; what is exact has tests of its own
			say("%s of %s: answered after %v of %v", q.id, l.Name, q.took, q.patience)
		}
		if q.status == 0 && h.lag > time.Second {
			continue // a client that stands still so long is closed for saying nothing
		}
		switch q.status {
		case http.StatusOK:
			if q.body != "ran "+q.ask && q.body != "again" || ran == nil {
				say("%s of %s: served with %q, which no member made", q.id, l.Name, q.body)
			}
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if ran != nil && l.Effect != "idempotent" && (l.Effect == "at_most_once" || l.Scope != "all") {
				say("%s of %s: refused, may have run at %s", q.id, l.Name, ran.Member)
			}
		case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
		default:
			say("%s of %s: answered %d", q.id, l.Name, q.status)
		}
	}
	for id := range of {
		say("%s came to a member, and no client sent it", id)
	}
	return wrong
}

// TestAnySettings: the rules hold on any customer's settings. The sites are drawn, the
// same ones each time, and the stand-ins judge by the settings alone.
func TestAnySettings(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	const many, beside = 20, 7
	served, again := map[string]int{}, map[string]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	turn := make(chan struct{}, beside)
	for seed := range many {
		s := rapid.Custom(sites).Example(seed)
		if seed < 5 { // these have time: the rules are tried on a busy machine too
			s.tries, s.troubles.Reject = max(3, s.tries), 0.3
			for i := range s.lanes {
				s.lanes[i].Promise, s.lanes[i].GiveUp = 3*time.Second, 3*time.Second
			}
		}
		all.Go(func() {
			turn <- struct{}{}
			defer func() { <-turn }()
			h, err := play(s, s.lanes)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Errorf("site %d: %v", seed, err)
				return
			}
			for _, wrong := range broken(s, h) {
				t.Errorf("site %d, late by %v: %s", seed, h.lag, wrong)
			}
			effect := map[string]string{}
			for _, q := range h.calls {
				if effect[q.id] = q.lane.Effect; q.status == http.StatusOK {
					served[q.lane.Effect]++
				}
			}
			seen := map[string]bool{}
			for _, a := range h.arrivals {
				if seen[a.ID] {
					again[effect[a.ID]]++
				}
				seen[a.ID] = true
			}
		})
	}
	all.Wait()
	t.Logf("served %v, sent again %v", served, again)
	for _, effect := range []string{"idempotent", "deduplicated", "at_most_once"} { // else the rules were not tried
		require.NotZero(t, served[effect], effect)
		require.NotZero(t, again[effect], effect)
	}
}

// TestAnySettingsSees: a program that reads a class otherwise than it is set is caught.
func TestAnySettingsSees(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	l := lane{Name: "w9", Effect: "deduplicated", Scope: "all", Window: 20 * time.Second, Promise: 8 * time.Second, GiveUp: 8 * time.Second, Worth: 1}
	s := site{
		lanes: []lane{l}, kinds: []int{-1}, shapes: []string{"s"}, tenants: []string{"t"}, zone: "z", tries: 3, instances: 1, slots: 8,
		places: []place{{zone: "z", kind: "s"}, {zone: "y", kind: "s", cell: 1}, {zone: "x", kind: "s", cell: 2}},
		run:    5 * time.Millisecond, jobs: 24, over: 60 * time.Millisecond, seed: 1, silent: true, troubles: fakes.Faults{Break: 1},
	}
	var all sync.WaitGroup
	for name, c := range map[string]struct {
		change func(set *lane, s *site) // of what is set, of which the program hears nothing
		says   string                   // empty: no rule is broken
	}{
		"as it is":   {func(*lane, *site) {}, ""},
		"effect":     {func(set *lane, _ *site) { set.Effect = "at_most_once" }, "sent again to"},
		"zone":       {func(set *lane, _ *site) { set.Scope = "zone" }, "outside its zone"},
		"cell":       {func(set *lane, _ *site) { set.Scope = "cell" }, "outside its cell"},
		"most tries": {func(_ *lane, s *site) { s.tries = 1 }, "attempts of 1"},
		"window": {func(set *lane, s *site) {
			set.Window, s.run, s.troubles = 0, 1500*time.Millisecond, fakes.Faults{Fail: 1}
		}, "window 0s"},
		"its refusal": {func(set *lane, _ *site) { set.Effect, set.Scope = "deduplicated", "zone" }, "refused, may have run"},
	} {
		all.Go(func() {
			set, told := l, s
			c.change(&set, &told)
			h, err := play(withTries(told, s.tries), []lane{l})
			for i := range h.calls {
				h.calls[i].lane = set
			}
			wrong := strings.Join(broken(told, h), "\n")
			if err != nil || (c.says == "") != (wrong == "") || !strings.Contains(wrong, c.says) {
				t.Errorf("%s: %v, late by %v, %d calls: want %q, got\n%s", name, err, h.lag, len(h.calls), c.says, wrong)
			}
		})
	}
	all.Wait()

	// What no program can be told to do is written into what came of one.
	began := time.Now()
	told := history{
		calls:    []call{{id: "a", ask: "a", lane: l, patience: time.Second, took: time.Second, status: http.StatusOK, body: "ran a"}},
		arrivals: []fakes.Arrival{{ID: "a", LogicalID: "a", Class: l.Name, Key: "k", Member: "m0", ArrivedAt: began, SettledAt: began.Add(time.Second)}},
	}
	require.Empty(t, broken(s, told))
	for says, change := range map[string]func(h *history){
		"answered after":       func(h *history) { h.calls[0].took = 10 * time.Second },
		"answered 0":           func(h *history) { h.calls[0].status = 0 },
		"which no member made": func(h *history) { h.calls[0].body = "ran b" },
		"no client sent it":    func(h *history) { h.arrivals[0].ID = "b" },
		"came to its member":   func(h *history) { h.arrivals[0].Key = "" },
		"two attempts at once": func(h *history) {
			h.arrivals[0].SettledAt = time.Time{}
			h.arrivals = append(h.arrivals, fakes.Arrival{ID: "a", LogicalID: "a", Class: l.Name, Key: "k", Member: "m1", ArrivedAt: began.Add(time.Minute)})
		},
	} {
		h := history{calls: slices.Clone(told.calls), arrivals: slices.Clone(told.arrivals)}
		change(&h)
		require.Contains(t, strings.Join(broken(s, h), "\n"), says)
	}
}

// withTries is the site as the program is told of it.
func withTries(s site, tries int) site {
	s.tries = tries
	return s
}
