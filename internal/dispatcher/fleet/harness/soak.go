package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/demo"

	"github.com/stretchr/testify/require"
)

// Soak is faults under load for a time.
type Soak struct {
	Settings
	FaultKinds []string                          // of faults; none: all
	Background []func(context.Context, *Cluster) // what runs beside the clients, until the context ends
	Checks     []SoakCheck
}

// SoakCheck is what a soak counts when all has ended.
type SoakCheck struct {
	Name       string
	MustBeZero bool                             // there must be none
	Find       func(*Cluster) ([]string, error) // which; nil: nothing counts them, which is said
}

// SoakChecks are those of a soak of any processes, and with them those that are told
// apart by name: what only a part of the fleet has is counted by its test.
func SoakChecks(more map[string]func(*Cluster) ([]string, error)) []SoakCheck {
	all := []SoakCheck{
		{"overspends", true, nil},
		{"plans ended once", false, nil},
		{"plans ended never or otherwise", true, nil},
		{"tickets run twice", true, func(r *Cluster) ([]string, error) {
			return append(RunTwice(r.Till.Arrivals(), demo.AtMostOnce), r.Till.RunTwice()...), nil
		}},
		{"answers unfounded", true, func(r *Cluster) ([]string, error) {
			return UnfoundedAnswers(r.Calls(), r.Till.Arrivals(), demo.AtMostOnce), nil
		}},
		{"calls lost", true, func(r *Cluster) ([]string, error) { return r.LostCalls(), nil }},
		{"processes that ended by themselves", true, func(r *Cluster) (died []string, _ error) {
			for _, p := range r.Processes {
				died = append(died, p.UnexpectedExits()...)
			}
			return died, nil
		}},
		{"records missing", true, nil},
		{"extra", true, nil},
		{"resurrected", true, nil},
		{"digests that differed", true, nil},
	}
	for i := range all {
		if of := more[all[i].Name]; of != nil {
			all[i].Find = of
		}
	}
	return all
}

// AdmissionSpans are the times within which each try of a tenant was admitted: after
// its client sent it, and before a member got it.
func (r *Cluster) AdmissionSpans(tenant string) (all []Span) {
	first := make(map[string]time.Time)
	for _, a := range r.Till.Arrivals() {
		if at, ok := first[a.ID]; !ok || a.ArrivedAt.Before(at) {
			first[a.ID] = a.ArrivedAt
		}
	}
	for _, c := range r.Calls() {
		if at, ok := first[c.ID]; ok && c.Tenant == tenant {
			all = append(all, Span{c.Sent, at})
		}
	}
	return all
}

// DigestMonitor are what keepers said of their state, by how much of the log it had.
type DigestMonitor struct {
	mu          sync.Mutex
	byIndex     map[uint64]map[string]string // by part
	lastIndex   map[string]uint64            // by process
	differences []string
}

// Watch asks all processes until the context ends. It is for Soak.Beside.
func (d *DigestMonitor) Watch(ctx context.Context, r *Cluster) {
	for ctx.Err() == nil {
		for _, p := range r.Processes {
			d.poll(p)
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (d *DigestMonitor) poll(p *Process) {
	var s struct {
		Keeper *struct {
			Index   uint64
			Digests map[string]string
		}
	}
	_, text, err := p.AdminRequest("GET", "/fleet", "", time.Now().Add(time.Second))
	if err != nil || json.Unmarshal([]byte(text), &s) != nil || s.Keeper == nil || s.Keeper.Index == 0 { // it has no state yet
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byIndex == nil {
		d.byIndex, d.lastIndex = make(map[uint64]map[string]string), make(map[string]uint64)
	}
	at := s.Keeper.Index
	d.lastIndex[p.Name] = at
	if was := d.byIndex[at]; was == nil {
		d.byIndex[at] = s.Keeper.Digests
	} else if !maps.Equal(was, s.Keeper.Digests) {
		d.differences = append(d.differences, fmt.Sprintf("%s at %d: %v, before %v", p.Name, at, s.Keeper.Digests, was))
	}
}

// WaitConverged waits until so many keepers have told of the same state, and returns
// all that were seen to differ.
func (d *DigestMonitor) WaitConverged(r *Cluster, keepers int, until time.Time) ([]string, error) {
	for time.Now().Before(until) {
		for _, p := range r.Processes {
			d.poll(p)
		}
		d.mu.Lock()
		ends := slices.Compact(slices.Sorted(maps.Values(d.lastIndex)))
		diff, told := slices.Clone(d.differences), len(d.lastIndex)
		d.mu.Unlock()
		if told == keepers && len(ends) == 1 {
			return diff, nil
		}
	}
	var said []string
	for _, p := range r.Processes {
		_, text, err := p.AdminRequest("GET", "/fleet", "", time.Now().Add(time.Second))
		said = append(said, fmt.Sprintf("%s: %s (%v)", p.Name, text, err))
	}
	return nil, fmt.Errorf("%d keepers did not come to the same state: %v\n%s", keepers, d.lastIndex, strings.Join(said, "\n"))
}

// Run soaks for a time with faults that end within it, and returns the line of
// its counts. It fails the test for each that there must be none of.
func (s Soak) Run(t testing.TB, length time.Duration) string {
	t.Helper()
	plan := RandomFaults(s.Load.Seed, s.Processes, int(length/(100*time.Millisecond)), s.FaultKinds...)
	plan = slices.DeleteFunc(plan, func(f Fault) bool { return f.At+f.Duration > length })
	t.Logf("the plan of seed %d:\n%v", s.Load.Seed, plan)
	r := New(t, s.Settings)
	r.Start()
	r.StartClients()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, beside := range s.Background {
		r.clients.Go(func() { beside(ctx, r) })
	}
	require.NoError(t, r.Inject(ctx, plan))
	stop()
	r.StopClients()
	require.NotZero(t, r.Answers.Served.Load())
	line := []string{fmt.Sprintf("soak of %v, seed %d: faults %d, calls %d, served %d", length, s.Load.Seed, len(plan), len(r.Calls()), r.Answers.Served.Load())}
	for _, c := range s.Checks {
		if c.Find == nil {
			line = append(line, c.Name+" not counted")
			continue
		}
		found, err := c.Find(r)
		require.NoError(t, err, c.Name)
		line = append(line, fmt.Sprintf("%s %d", c.Name, len(found)))
		if c.MustBeZero && len(found) > 0 {
			t.Errorf("%s: %v", c.Name, found)
		}
	}
	return strings.Join(line, ", ")
}

// PlanLoad begins runs of a plan, and holds what it is told of their ends.
type PlanLoad struct {
	Plan, Query string        // of the call that begins one
	Interval    time.Duration // from one to the next
	started     []string      // by Begin, until its end
}

// Run begins runs until the context ends, each at any process, and at another
// as long as nobody has said that it is begun. It is for Soak.Beside.
func (b *PlanLoad) Run(ctx context.Context, r *Cluster) {
	for n := 0; ctx.Err() == nil; n++ {
		run := fmt.Sprintf("run-%05d", n)
		b.started = append(b.started, run)
		for until := time.Now().Add(transitionTimeout); time.Now().Before(until); { // also past the context's end
			path := "/plans/" + b.Plan + "?run=" + run + "&" + b.Query
			status, _, err := r.RandomProcess().AdminRequest("POST", path, fmt.Sprintf(`{"booking":%q}`, run), time.Now().Add(2*time.Second))
			if err == nil && (status == 200 || status == 202) {
				break
			}
			time.Sleep(b.Interval / 8)
		}
		time.Sleep(b.Interval)
	}
}

// Outcomes asks two processes for the end of each run, until a time at the latest.
func (b *PlanLoad) Outcomes(r *Cluster, until time.Time) Outcomes {
	var ends []FinalAnswer
	for _, run := range b.started {
		for range 2 {
			for p := r.RandomProcess(); time.Now().Before(until); p = r.RandomProcess() {
				status, text, err := p.AdminRequest("GET", "/runs/"+run, "", time.Now().Add(2*time.Second))
				if err == nil && status == 200 {
					ends = append(ends, FinalAnswer{run, text})
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	return CompareOutcomes(b.started, ends)
}

// RetentionMonitor watches what records the fleet keeps of a tenant whose rule cuts them, and holds
// at the end those of others against what clients were told.
type RetentionMonitor struct {
	PrunedTenant string   // the tenant with a rule
	KeptTenants  []string // those without
	Lag          time.Duration
	removed      map[string]bool
	present      map[string]bool
	resurrected  []string
	missing      []string
	extra        []string
}

// list are the ids of all records of a tenant, by pages of a door.
func (k *RetentionMonitor) list(r *Cluster, tenant string, until time.Time) (ids []string, err error) {
	after := ""
	for {
		var page struct {
			Records []struct{ ID string }
			Next    string
		}
		status, text, err := r.RandomProcess().AdminRequest("GET", "/records?most=1000&tenant="+tenant+"&after="+after, "", time.Now().Add(2*time.Second))
		if err != nil || status != 200 || json.Unmarshal([]byte(text), &page) != nil {
			if time.Now().After(until) {
				return nil, fmt.Errorf("records of %s: %d %s (%v)", tenant, status, text, err)
			}
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for _, one := range page.Records {
			ids = append(ids, one.ID)
		}
		if after = page.Next; after == "" {
			return ids, nil
		}
	}
}

// Watch looks what comes and goes until the context ends. It is for Soak.Beside.
func (k *RetentionMonitor) Watch(ctx context.Context, r *Cluster) {
	k.removed, k.present = make(map[string]bool), make(map[string]bool)
	for ctx.Err() == nil {
		if ids, err := k.list(r, k.PrunedTenant, time.Now().Add(transitionTimeout)); err == nil {
			k.observe(ids)
		}
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (k *RetentionMonitor) observe(ids []string) {
	now := make(map[string]bool, len(ids))
	for _, id := range ids {
		if now[id] = true; k.removed[id] {
			k.resurrected = append(k.resurrected, id)
		}
	}
	for id := range k.present {
		if !now[id] {
			k.removed[id] = true
		}
	}
	k.present = now
}

// Check waits until every spool is empty, and holds the records against the calls. What
// a process answered within Lag before it went out of service may have gone with it.
func (k *RetentionMonitor) Check(r *Cluster) error {
	for _, p := range r.Processes {
		if _, err := p.WaitForAdmin("/fleet", `"unsent":0[,}]`, time.Now().Add(2*transitionTimeout)); err != nil {
			return err
		}
	}
	for _, tenant := range k.KeptTenants {
		ids, err := k.list(r, tenant, time.Now().Add(transitionTimeout))
		if err != nil {
			return err
		}
		got, asked := make(map[string]int), make(map[string]bool)
		for _, id := range ids {
			got[id]++
		}
		for _, c := range r.Calls() {
			asked[c.ID] = true
			if c.Tenant == tenant && c.Status != 0 && got[c.ID] == 0 && !r.hadOutage(c.Addr, c.Ended, k.Lag) {
				k.missing = append(k.missing, c.ID)
			}
		}
		for id, n := range got {
			if n > 1 || !asked[id] && !strings.HasPrefix(id, "plan-") {
				k.extra = append(k.extra, id)
			}
		}
	}
	return nil
}

// hadOutage tells whether a process went out of service within a time after a moment.
func (r *Cluster) hadOutage(addr string, at time.Time, within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.outages, func(o outage) bool {
		return o.addr == addr && o.From.Before(at.Add(within)) && (o.To.IsZero() || o.To.After(at))
	})
}
