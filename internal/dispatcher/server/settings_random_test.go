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

// class is a job class as the settings object encodes it. The checker has no other data on a class.
type class struct {
	Name          string        `json:"name"`
	Effect        string        `json:"effect"`
	DedupScope    string        `json:"key_scope"`
	DedupWindow   time.Duration `json:"repeat_window"`
	LatencyTarget time.Duration `json:"promise"`
	ClientTimeout time.Duration `json:"give_up"`
	Value         float64       `json:"worth"`
}

// location is where a pool member runs.
type location struct {
	zone, machineType string
	cell              int
	justStarted       bool // the membership list gives the current time as its start
}

// deployment is one customer's settings, the behavior of the pool members and the load.
type deployment struct {
	classes                        []class
	classKinds                     []int // for each class the index of the machine type that it requires, -1: any
	machineTypes, tenants          []string
	zone                           string // of the dispatcher
	locations                      []location
	pushMembership, noStartReports bool // membership lists are pushed; members don't report the start of jobs
	cancel, probes                 bool
	attempts, dispatchers          int // the most attempts of a job; the number of dispatchers
	slots                          int
	runTime                        time.Duration
	crossZonePrice                 float64
	faults                         fakes.Faults
	jobs                           int
	over                           time.Duration // the mean time in which the jobs are sent
	seed                           uint64
}

// drawDeployment draws a deployment with arbitrary names and one to five classes, over which the
// effects are spread in random order.
func drawDeployment(t *rapid.T) deployment {
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
	s := deployment{
		machineTypes: names("shapes", 3), tenants: names("tenants", 4),
		pushMembership: rapid.Bool().Draw(t, "pushed"), noStartReports: rapid.Bool().Draw(t, "silent"),
		cancel: rapid.Bool().Draw(t, "cancel"), probes: rapid.Bool().Draw(t, "probes"),
		attempts: rapid.IntRange(1, 5).Draw(t, "tries"), dispatchers: rapid.SampledFrom([]int{1, 3, 20}).Draw(t, "instances"),
		slots: rapid.IntRange(1, 6).Draw(t, "slots"), runTime: span("run", 2, 20, 60, 150),
		crossZonePrice: rapid.SampledFrom([]float64{0, 0.03}).Draw(t, "crossing"),
		faults: fakes.Faults{
			Reject: chance("turn away"), Fail: chance("fail"), Break: chance("break"), DuplicateEnd: chance("again"),
			HandBack: chance("return"), ReportLost: chance("lose"), Hang: chance("hang") / 2,
		},
		jobs: 60, over: 600 * time.Millisecond, seed: rapid.Uint64().Draw(t, "seed"),
	}
	zones := names("zones", 3)
	s.zone = zones[0]
	effects := rapid.Permutation([]string{"idempotent", "deduplicated", "at_most_once"}).Draw(t, "effects")
	for i, name := range names("classes", 5) {
		l := class{
			Name: name, Effect: effects[i%len(effects)], DedupScope: rapid.SampledFrom([]string{"all", "zone", "cell"}).Draw(t, "scope"),
			DedupWindow: span("window", 0, 60, 300, 1500, 15000), ClientTimeout: span("give up", 20, 150, 400, 1000, 2000),
			Value: rapid.Float64Range(0, 20).Draw(t, "worth"),
		}
		l.LatencyTarget = l.ClientTimeout / time.Duration(rapid.IntRange(1, 5).Draw(t, "promise"))
		s.classes = append(s.classes, l)
		s.classKinds = append(s.classKinds, rapid.IntRange(-1, len(s.machineTypes)-1).Draw(t, "kind"))
	}
	for i := range rapid.IntRange(3, 8).Draw(t, "members") {
		s.locations = append(s.locations, location{
			zone: rapid.SampledFrom(zones).Draw(t, "zone"), machineType: s.machineTypes[i%len(s.machineTypes)],
			cell: rapid.IntRange(0, 2).Draw(t, "cell"), justStarted: rapid.IntRange(0, 4).Draw(t, "young") == 0,
		})
	}
	return s
}

// settings returns the settings object that the program reads, with the given classes in place of the
// deployment's own.
func (s deployment) settings(classes []class) string {
	tenants := []map[string]string{}
	for _, name := range s.tenants {
		tenants = append(tenants, map[string]string{"name": name})
	}
	mode := map[bool]string{true: "push", false: "ask"}[s.pushMembership]
	text, _ := json.Marshal(map[string]any{
		"balancers": s.dispatchers, "rank": 0, "registry_mode": mode, "worth_by": "request", "zone": s.zone, "shapes": s.machineTypes,
		"tenants": tenants, "lanes": classes, "prices": map[string]float64{"cross_zone": s.crossZonePrice},
		"family_info": map[string]any{"class_kind": s.classKinds, "tells_start": !s.noStartReports},
		"limits": map[string]any{"most_tries": s.attempts, "cancel": s.cancel, "probes": s.probes, "retry_after": true,
			"max_retry_after": 500 * time.Millisecond, "dial_timeout": 250 * time.Millisecond},
		"guarantees": map[string]any{"grace_to_answer": 8 * time.Millisecond, "ask_every": 5 * time.Second, "start_capacity": 0.3,
			"warm_after": time.Second, "fall_multiple": 4, "tip_after": time.Second},
	})
	return string(text)
}

// call is one request and the answer that its client received.
type call struct {
	id, logicalID string
	class         class
	timeout       time.Duration // of the client, from the time of sending
	took          time.Duration
	status        int // 0: no complete answer
	body          string
}

// history is the result of a run: the clients' calls and the arrivals at the pool members.
type history struct {
	calls    []call
	arrivals []fakes.Arrival
	lag      time.Duration // the largest delay of a 2 ms timer in this process
}

// runDeployment runs the program on a deployment until all calls are answered. The program's settings
// have the given classes; the calls are made for the deployment's own.
//
//nolint:funlen,gocognit // one run: its goroutines share the clocks and the history
func runDeployment(s deployment, configured []class) (h history, err error) {
	runLog := fakes.NewRunLog()
	runLog.KeepArrivals()
	addr, err := fakes.FreeAddr()
	if err != nil {
		return h, err
	}
	var listed []fakes.Instance
	for i, p := range s.locations {
		m, err := fakes.NewMember(fakes.MemberSettings{
			ID: fmt.Sprintf("m%d", i), Zone: p.zone, Kind: p.machineType, Cell: p.cell, Slots: s.slots, NoStartReports: s.noStartReports, RunLog: runLog, Seed: s.seed + uint64(i),
			Run: func(string) time.Duration { return s.runTime }, AtMostOnce: func(string) bool { return false }, Faults: s.faults,
			ReportTo: func() string { return addr },
			Outcome:  func(_, logicalID string, _ []byte) (state, result string) { return "done", "ran " + logicalID },
		})
		if err != nil {
			return h, err
		}
		defer m.Close()
		instance := m.Instance()
		if p.justStarted {
			instance.StartedMs = time.Now().UnixMilli()
		}
		listed = append(listed, instance)
	}
	discovery, err := fakes.NewDiscovery(listed...)
	if err != nil {
		return h, err
	}
	defer discovery.Close()
	known, _ := json.Marshal(listed)
	c, err := settings.DecodeConfig(fmt.Appendf(nil, `{"name":"n%d","listen":%q,"discovery":%q,"limits":{"cores":1,"memory_mb":192,"sockets":1024},`+
		`"known":{"generation":0,"reset":true,"instances":%s},"settings":%s}`, s.seed, addr, discovery.Addr(), known, s.settings(configured)))
	if err != nil {
		return h, err
	}
	o, err := settings.DecodeOperator([]byte("{}"))
	if err != nil {
		return h, err
	}
	log := logtest.Discard()
	stop, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() {
		ended <- server.Run(context.Background(), server.Options{Config: c, Operator: o, Log: log}, stop, nil)
	}()
	over := make(chan struct{})
	defer func() {
		close(over)
		stop <- os.Interrupt
		select {
		case failed := <-ended:
			err = errors.Join(err, failed)
		case <-time.After(30 * time.Second):
			err = errors.Join(err, errors.New("the dispatcher does not end"))
		}
	}()
	var maxLag atomic.Int64
	go func() {
		for last := time.Now(); ; last = time.Now() {
			select {
			case <-over:
				return
			case <-time.After(2 * time.Millisecond):
				maxLag.Store(max(maxLag.Load(), int64(time.Since(last))))
			}
		}
	}()
	transport := &http.Transport{MaxIdleConnsPerHost: s.jobs}
	defer transport.CloseIdleConnections()
	for until := time.Now().Add(20 * time.Second); ; { // until the dispatcher is ready
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr+"/health/ready", nil)
		if err != nil {
			return h, err
		}
		if resp, err := transport.RoundTrip(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(until) {
			return h, errors.New("the dispatcher does not become ready")
		}
		time.Sleep(5 * time.Millisecond)
	}
	h.calls = make([]call, s.jobs)
	random := rand.New(rand.NewPCG(s.seed, 3))
	var requests sync.WaitGroup
	for i := range h.calls {
		l := s.classes[random.IntN(len(s.classes))]
		q := call{id: fmt.Sprintf("%x-%d", s.seed, i), logicalID: fmt.Sprintf("a%d", i), class: l, timeout: l.ClientTimeout}
		if random.IntN(4) == 0 {
			q.timeout = l.ClientTimeout * 3 / 4
		}
		tenant := s.tenants[random.IntN(len(s.tenants))]
		requests.Go(func() {
			q.send(transport, addr, tenant)
			h.calls[i] = q
		})
		time.Sleep(time.Duration(random.Int64N(int64(2*s.over) / int64(s.jobs))))
	}
	requests.Wait()
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		h.arrivals, h.lag = runLog.Arrivals(), time.Duration(maxLag.Load())
		// A member may notice that its connection was closed only after the next member has the job.
		if !hasUnsettledAttempt(h.arrivals) || time.Now().After(until) {
			return h, nil
		}
	}
}

// hasUnsettledAttempt reports whether a member has not yet seen the end of an attempt although a later
// attempt of the same job has arrived at a member.
func hasUnsettledAttempt(arrivals []fakes.Arrival) bool {
	last := make(map[string]fakes.Arrival)
	for _, a := range arrivals {
		if b, known := last[a.ID]; known && b.SettledAt.IsZero() {
			return true
		}
		last[a.ID] = a
	}
	return false
}

// send sends the request and records its answer.
func (q *call) send(transport *http.Transport, addr, tenant string) {
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout+10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+q.class.Name+"?sid="+q.logicalID, strings.NewReader("body"))
	if err != nil {
		return
	}
	req.Header.Set("X-Call-Id", q.id)
	req.Header.Set("X-Call-Class", q.class.Name)
	req.Header.Set("X-Caller", tenant)
	req.Header.Set("X-Budget", fmt.Sprintf("%.3f", q.timeout.Seconds()))
	if q.class.Effect == "deduplicated" {
		req.Header.Set("Idempotency-Key", "k-"+q.id)
	}
	// The request counts as sent once its last byte is written to an accepted connection. mu guards began.
	var mu sync.Mutex
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
	resp, err := transport.RoundTrip(req)
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

// violations returns a line for each violation of the rules. It judges by the deployment's settings
// alone.
//
//nolint:funlen,gocognit // a list of rules over the same history
func violations(s deployment, h history) (wrong []string) {
	report := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	slack := min(100*time.Millisecond+3*h.lag, time.Second) // for the delays of the members in this process
	byID := make(map[string][]fakes.Arrival)
	for _, a := range h.arrivals {
		byID[a.ID] = append(byID[a.ID], a)
	}
	locationOf := make(map[string]location)
	for i, p := range s.locations {
		locationOf[fmt.Sprintf("m%d", i)] = p
	}
	for _, q := range h.calls {
		l, attempts := q.class, byID[q.id]
		delete(byID, q.id)
		var ran *fakes.Arrival // the first attempt that may have run
		for i, a := range attempts {
			if a.Class != l.Name || a.LogicalID != q.logicalID || (l.Effect == "deduplicated") != (a.Key != "") {
				report("%s of %s came to its member as %s %s %q", q.id, l.Name, a.Class, a.LogicalID, a.Key)
			}
			if i > 0 {
				if b := attempts[i-1]; b.SettledAt.IsZero() || b.SettledAt.Sub(a.ArrivedAt) > slack {
					report("%s of %s: two attempts at once, at %s and %s", q.id, l.Name, b.Member, a.Member)
				}
			}
			if ran != nil {
				from, to := locationOf[ran.Member], locationOf[a.Member]
				inside := l.DedupScope == "all" || from.zone == to.zone && (l.DedupScope == "zone" || from.cell == to.cell)
				switch {
				case l.Effect == "at_most_once":
					report("%s of %s: sent again to %s, may have run at %s", q.id, l.Name, a.Member, ran.Member)
				case l.Effect == "deduplicated" && !inside:
					report("%s of %s: sent again outside its %s", q.id, l.Name, l.DedupScope)
				case l.Effect == "deduplicated" && a.ArrivedAt.Sub(ran.ArrivedAt) > l.DedupWindow+slack:
					report("%s of %s: sent again after %v, window %v", q.id, l.Name, a.ArrivedAt.Sub(ran.ArrivedAt), l.DedupWindow)
				}
			}
			if ran == nil && !a.Rejected {
				ran = &attempts[i]
			}
		}
		if len(attempts) > s.attempts {
			report("%s of %s: %d attempts of %d", q.id, l.Name, len(attempts), s.attempts)
		}
		// Each of the steps in between may be delayed by the lag; other tests check the exact times.
		if q.took > q.timeout+2*time.Second+10*h.lag {
			report("%s of %s: answered after %v of %v", q.id, l.Name, q.took, q.timeout)
		}
		if q.status == 0 && h.lag > time.Second {
			continue // the dispatcher closes the connection of a client that sends nothing for so long
		}
		switch q.status {
		case http.StatusOK:
			if q.body != "ran "+q.logicalID && q.body != "again" || ran == nil {
				report("%s of %s: served with %q, which no member made", q.id, l.Name, q.body)
			}
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if ran != nil && l.Effect != "idempotent" && (l.Effect == "at_most_once" || l.DedupScope != "all") {
				report("%s of %s: refused, may have run at %s", q.id, l.Name, ran.Member)
			}
		case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
		default:
			report("%s of %s: answered %d", q.id, l.Name, q.status)
		}
	}
	for id := range byID {
		report("%s came to a member, and no client sent it", id)
	}
	return wrong
}

// TestAnySettings: the dispatcher keeps the rules of its classes with any customer's settings. The
// deployments are drawn from fixed seeds, so they are the same in each run; the checker judges by the
// settings alone.
func TestAnySettings(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	const deployments, concurrent = 20, 7
	served, resent := map[string]int{}, map[string]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	semaphore := make(chan struct{}, concurrent)
	for seed := range deployments {
		s := rapid.Custom(drawDeployment).Example(seed)
		if seed < 5 { // long timeouts and rejections, so that jobs are sent again on a busy machine too
			s.attempts, s.faults.Reject = max(3, s.attempts), 0.3
			for i := range s.classes {
				s.classes[i].LatencyTarget, s.classes[i].ClientTimeout = 3*time.Second, 3*time.Second
			}
		}
		all.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			h, err := runDeployment(s, s.classes)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Errorf("deployment %d: %v", seed, err)
				return
			}
			for _, wrong := range violations(s, h) {
				t.Errorf("deployment %d, late by %v: %s", seed, h.lag, wrong)
			}
			effect := map[string]string{}
			for _, q := range h.calls {
				if effect[q.id] = q.class.Effect; q.status == http.StatusOK {
					served[q.class.Effect]++
				}
			}
			seen := map[string]bool{}
			for _, a := range h.arrivals {
				if seen[a.ID] {
					resent[effect[a.ID]]++
				}
				seen[a.ID] = true
			}
		})
	}
	all.Wait()
	t.Logf("served %v, sent again %v", served, resent)
	// Without such jobs the rules of an effect were not tested.
	for _, effect := range []string{"idempotent", "deduplicated", "at_most_once"} {
		require.NotZero(t, served[effect], effect)
		require.NotZero(t, resent[effect], effect)
	}
}

// TestAnySettingsDetectsViolations: the checker of TestAnySettings detects a program that treats a class
// otherwise than its settings require. It judges a run by settings that differ from those that the
// program was given.
func TestAnySettingsDetectsViolations(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	l := class{Name: "w9", Effect: "deduplicated", DedupScope: "all", DedupWindow: 20 * time.Second, LatencyTarget: 8 * time.Second, ClientTimeout: 8 * time.Second, Value: 1}
	s := deployment{
		classes: []class{l}, classKinds: []int{-1}, machineTypes: []string{"s"}, tenants: []string{"t"}, zone: "z", attempts: 3, dispatchers: 1, slots: 8,
		locations: []location{{zone: "z", machineType: "s"}, {zone: "y", machineType: "s", cell: 1}, {zone: "x", machineType: "s", cell: 2}},
		runTime:   5 * time.Millisecond, jobs: 24, over: 60 * time.Millisecond, seed: 1, noStartReports: true, faults: fakes.Faults{Break: 1},
	}
	var all sync.WaitGroup
	for name, c := range map[string]struct {
		change func(expected *class, s *deployment) // changes the settings to judge by, not those of the program
		want   string                               // empty: no violation
	}{
		"as it is":   {func(*class, *deployment) {}, ""},
		"effect":     {func(expected *class, _ *deployment) { expected.Effect = "at_most_once" }, "sent again to"},
		"zone":       {func(expected *class, _ *deployment) { expected.DedupScope = "zone" }, "outside its zone"},
		"cell":       {func(expected *class, _ *deployment) { expected.DedupScope = "cell" }, "outside its cell"},
		"most tries": {func(_ *class, s *deployment) { s.attempts = 1 }, "attempts of 1"},
		"window": {func(expected *class, s *deployment) {
			expected.DedupWindow, s.runTime, s.faults = 0, 1500*time.Millisecond, fakes.Faults{Fail: 1}
		}, "window 0s"},
		"its refusal": {func(expected *class, _ *deployment) { expected.Effect, expected.DedupScope = "deduplicated", "zone" }, "refused, may have run"},
	} {
		all.Go(func() {
			expected, reference := l, s
			c.change(&expected, &reference)
			h, err := runDeployment(withMaxAttempts(reference, s.attempts), []class{l})
			for i := range h.calls {
				h.calls[i].class = expected
			}
			wrong := strings.Join(violations(reference, h), "\n")
			if err != nil || (c.want == "") != (wrong == "") || !strings.Contains(wrong, c.want) {
				t.Errorf("%s: %v, late by %v, %d calls: want %q, got\n%s", name, err, h.lag, len(h.calls), c.want, wrong)
			}
		})
	}
	all.Wait()

	// Violations that no settings can bring about are written into a history.
	began := time.Now()
	reference := history{
		calls:    []call{{id: "a", logicalID: "a", class: l, timeout: time.Second, took: time.Second, status: http.StatusOK, body: "ran a"}},
		arrivals: []fakes.Arrival{{ID: "a", LogicalID: "a", Class: l.Name, Key: "k", Member: "m0", ArrivedAt: began, SettledAt: began.Add(time.Second)}},
	}
	require.Empty(t, violations(s, reference))
	for want, change := range map[string]func(h *history){
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
		h := history{calls: slices.Clone(reference.calls), arrivals: slices.Clone(reference.arrivals)}
		change(&h)
		require.Contains(t, strings.Join(violations(s, h), "\n"), want)
	}
}

// withMaxAttempts returns the deployment with another limit of attempts.
func withMaxAttempts(s deployment, attempts int) deployment {
	s.attempts = attempts
	return s
}
