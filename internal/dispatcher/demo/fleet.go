package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"basaltloft/deploy"
	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/fakes"
	"basaltloft/internal/dispatcher/metrics"
)

// Command is the program, not yet started, as this dispatcher: its files are written
// into a folder, and its $TMPDIR is there. An empty operator's file is none.
func (d Dispatcher) Command(program, home, operator string, args ...string) (*exec.Cmd, error) {
	config, tmp := filepath.Join(home, "config.json"), filepath.Join(home, "tmp")
	if err := errors.Join(os.MkdirAll(tmp, 0o700), os.WriteFile(config, []byte(d.Configuration()), 0o600)); err != nil {
		return nil, err
	}
	if operator != "" {
		file := filepath.Join(home, "operator.json")
		if err := os.WriteFile(file, []byte(operator), 0o600); err != nil {
			return nil, err
		}
		args = append(args, "--operator", file)
	}
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_NAME=", "ROUTER_ADMIN=", "TMPDIR="+tmp)
	return cmd, nil
}

// OpenMembersFor opens a door of each member for one dispatcher of several, and a discovery that
// lists them.
func OpenMembersFor(members []*fakes.Member, name string, reports func() string) (known []fakes.Instance, d *fakes.Discovery, err error) {
	for _, m := range members {
		listed, err := m.OpenFor(name, reports)
		if err != nil {
			return nil, nil, err
		}
		known = append(known, listed)
	}
	d, err = fakes.NewDiscovery(known...)
	return known, d, err
}

// FleetSettings are what a demo of several processes is.
type FleetSettings struct {
	Program   string // to start
	Processes int
	Until     time.Time // clients ask up to then
	// MinimumTaken, unless 0, has clients ask past Until, for the demo's patience at most,
	// until each process has taken so many jobs and a plan has been served.
	MinimumTaken int64
}

const (
	mostKeepers = 3
	bookEvery   = 500 * time.Millisecond // a plan is begun
	budget      = 60                     // jobs a second of one tenant, at all processes together
	seats       = 42                     // of each; the plan goes with 40
	endWithin   = 10 * time.Second       // of a process that was told to end
)

// node is one process.
type node struct {
	name, home                                   string
	listen, admin, figures, calls, votes, folder string
	cmd                                          *exec.Cmd
	ended                                        chan error
}

// fleet is the processes and what they share.
type fleet struct {
	FleetSettings
	nodes   []*node
	members []*fakes.Member
	lists   []*fakes.Discovery
	till    *fakes.RunLog
	answers fakes.Answers

	mu      sync.Mutex
	tickets map[string]int // runs by booking
	runs    []string
}

// RunFleet plays a demo of several processes that are joined as one fleet: clients ask
// all of them over HTTP, and begin plans at their doors. It ends with the account of
// each and how the fleet stands on out. It fails if anything does not add up, a plan
// gets no answer, or a ticket ran twice.
func RunFleet(ctx context.Context, s FleetSettings, out, errs io.Writer) error {
	home, err := os.MkdirTemp("", "basaltloft-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(home)
	f := &fleet{FleetSettings: s, till: fakes.NewRunLog(), tickets: map[string]int{}}
	defer f.close()
	if err := f.start(ctx, home); err != nil {
		return err
	}
	for _, n := range f.nodes {
		fmt.Fprintf(errs, "%s: HTTP front %s, operators' door http://%s/fleet, figures http://%s/metrics\n", n.name, n.listen, n.admin, n.figures)
	}
	fmt.Fprintf(errs, "clients ask all of them; %s may spend %d jobs a second over all, and gets shares once it asks\n", Tenants[0], budget)
	if err := f.serve(ctx, errs); err != nil {
		return err
	}
	if err := f.show(out); err != nil {
		return err
	}
	return f.end()
}

// start starts members and processes, and waits until each has joined.
func (f *fleet) start(ctx context.Context, home string) (err error) {
	load := Load{Members: 6, Slots: 8, Seed: 3, Faults: fakes.Faults{Reject: 0.01, DuplicateEnd: 0.05}}
	if f.members, err = load.NewMembers(fakes.MemberSettings{RunLog: f.till, Outcome: f.ends}); err != nil {
		return err
	}
	keepers, kept := map[string]map[string]string{}, mostKeepers
	if f.Processes < mostKeepers {
		kept = 1
	}
	for i := range f.Processes {
		n := &node{name: fmt.Sprintf("n%d", i+1), ended: make(chan error, 1)}
		n.home = filepath.Join(home, n.name)
		n.folder = filepath.Join(n.home, "folder")
		for _, at := range []*string{&n.listen, &n.admin, &n.figures, &n.calls, &n.votes} {
			if *at, err = fakes.FreeAddr(); err != nil {
				return err
			}
		}
		if i < kept {
			keepers[n.name] = map[string]string{"calls": n.calls, "votes": n.votes}
		} else {
			n.calls, n.votes = "", ""
		}
		f.nodes = append(f.nodes, n)
	}
	plans := filepath.Join(home, "plans.hcl")
	if err := os.WriteFile(plans, deploy.Plans, 0o600); err != nil {
		return err
	}
	for i, n := range f.nodes {
		known, list, err := OpenMembersFor(f.members, n.name, func() string { return n.listen })
		if err != nil {
			return err
		}
		f.lists = append(f.lists, list)
		section := map[string]any{
			"name": n.name, "folder": n.folder, "keepers": keepers, "plans": []string{plans},
			"budgets": []any{map[string]any{"of": "jobs", "name": Tenants[0], "whole": budget, "burst": budget / 2}},
		}
		if n.calls != "" {
			section["calls"], section["votes"] = n.calls, n.votes
		}
		operator, err := json.Marshal(map[string]any{"fleet": section, "figures": map[string]any{"listen": n.figures, "audit_every_ms": 500}})
		if err != nil {
			return err
		}
		d := Dispatcher{Name: n.name, Listen: n.listen, Discovery: list.Addr(), Admin: n.admin, Rank: i, Count: len(f.nodes), InitialMembers: known}
		if err := n.start(d, f.Program, string(operator)); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := WaitReady(ctx, n.listen, n.ended); err != nil {
			return fmt.Errorf("%s: %w; its log ends with %s", n.name, err, n.last())
		}
		if err := n.joined(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) start(d Dispatcher, program, operator string) error {
	if err := os.MkdirAll(n.folder, 0o700); err != nil {
		return err
	}
	cmd, err := d.Command(program, n.home, operator, "serve", "--log-level", "info")
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(n.home, "log"))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", n.name, err)
	}
	n.cmd = cmd
	go func() {
		n.ended <- cmd.Wait()
		close(n.ended)
	}()
	return nil
}

// last is the last line of its log.
func (n *node) last() string {
	text, _ := os.ReadFile(filepath.Join(n.home, "log"))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// joined waits until a process has a lease.
func (n *node) joined(ctx context.Context) error {
	for until := time.Now().Add(patience); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		var s struct {
			Incarnation uint64
			Renewed     int `json:"renewed_ms"`
		}
		if get(n.admin, "/fleet", &s) == nil && s.Incarnation > 0 && s.Renewed >= 0 {
			return nil
		}
	}
	return errors.Join(ctx.Err(), fmt.Errorf("%s did not join the fleet; its log ends with %s", n.name, n.last()))
}

// ends is how members end jobs: those of the plan by their paths.
func (f *fleet) ends(class, _ string, body []byte) (state, result string) {
	switch class {
	case "prices":
		return "done", `{"version":1,"list":{"seat":12,"group":390}}`
	case "hold":
		return "done", `{"held":true}`
	case "ticket":
		var b struct{ Booking string }
		json.Unmarshal(body, &b)
		f.mu.Lock()
		f.tickets[b.Booking]++
		f.mu.Unlock()
		return "done", fmt.Sprintf(`{"number":"T-%s"}`, b.Booking)
	}
	return "done", `"ok"`
}

// serve lets clients ask until the time is over, and waits for what is due to them.
func (f *fleet) serve(ctx context.Context, errs io.Writer) error {
	last := f.Until
	if f.MinimumTaken > 0 {
		last = last.Add(patience)
	}
	asking, stop := context.WithDeadline(ctx, last)
	defer stop()
	var all sync.WaitGroup
	random := rand.New(rand.NewPCG(3, 5)) // of the HTTP clients, which draw one at a time
	var mu sync.Mutex
	anyone := func() string {
		mu.Lock()
		defer mu.Unlock()
		return f.nodes[random.IntN(len(f.nodes))].listen
	}
	mix := fakes.ClientSettings{Rate: 60, TicketShare: 0.28, Tenants: Tenants, Retries: 2, AbandonShare: 0.02, Seed: 3}
	all.Go(func() { fakes.HTTPClients(asking, anyone, "h", mix, &f.answers) })
	all.Go(func() { f.book(asking) })
	var died error
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for died == nil && asking.Err() == nil {
		select {
		case <-asking.Done():
		case <-tick.C:
			fmt.Fprintf(errs, "\r%d answered by HTTP, %d plans begun", f.answers.Served.Load(), len(f.begun()))
			died = f.died()
			if f.MinimumTaken > 0 && !time.Now().Before(f.Until) && f.enough() {
				stop()
			}
		}
	}
	stop()
	all.Wait()
	fmt.Fprintln(errs)
	return errors.Join(died, ctx.Err())
}

// enough tells whether each process has taken the fewest jobs that it is to take, and a
// plan has been served.
func (f *fleet) enough() bool {
	for _, n := range f.nodes {
		var r metrics.Report
		if get(n.figures, "/figures", &r) != nil || r.Account.Totals.Taken < f.MinimumTaken {
			return false
		}
	}
	for i, run := range f.begun() {
		if f.ended(f.nodes[i%len(f.nodes)], run) == "served" {
			return true
		}
	}
	return false
}

// died tells of a process that has ended by itself.
func (f *fleet) died() error {
	for _, n := range f.nodes {
		select {
		case err := <-n.ended:
			return fmt.Errorf("%s ended by itself: %v; its log ends with %s", n.name, err, n.last())
		default:
		}
	}
	return nil
}

// book begins a plan now and then, at one process after the other.
func (f *fleet) book(ctx context.Context) {
	for i := 0; ; i++ {
		run := fmt.Sprintf("coach-%d", i)
		list := make([]int, seats)
		for k := range list {
			list[k] = k + 1
		}
		input, _ := json.Marshal(map[string]any{"booking": run, "tour": "east gate", "seats": list, "email": "group@tours.example"})
		at := f.nodes[i%len(f.nodes)]
		resp, err := http.Post("http://"+at.admin+"/plans/coach?run="+run+"&tenant="+Tenants[1], "application/json", strings.NewReader(string(input)))
		if err == nil {
			resp.Body.Close()
			f.mu.Lock()
			f.runs = append(f.runs, run) // also one of which it is not known
			f.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(bookEvery):
		}
	}
}

func (f *fleet) begun() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.runs)
}

// show writes what became of everything.
func (f *fleet) show(out io.Writer) error {
	outcomes := map[string]int{}
	runs := f.begun()
	for i, run := range runs {
		outcome, err := f.outcome(f.nodes[i%len(f.nodes)], run)
		if err != nil {
			return err
		}
		outcomes[outcome]++
	}
	var served int64
	for _, n := range f.nodes {
		if err := WaitIdle(n.figures); err != nil {
			return fmt.Errorf("%s: %w", n.name, err)
		}
		var r metrics.Report
		var status json.RawMessage
		if err := errors.Join(get(n.figures, "/audit", &struct{}{}), get(n.figures, "/figures", &r), get(n.admin, "/fleet", &status)); err != nil {
			return fmt.Errorf("%s: %w", n.name, err)
		}
		if len(r.Audit.Differences) > 0 {
			return fmt.Errorf("the account of %s does not add up: %v", n.name, r.Audit.Differences)
		}
		total := &r.Account.Totals
		served += total.EndedAs(accounting.Served)
		fmt.Fprintf(out, "%s: %d jobs taken, %d served, %d refused, %d failed; the account adds up\n   fleet: %s\n", n.name, total.Taken,
			total.EndedAs(accounting.Served), total.EndedAs(accounting.Refused), total.EndedAs(accounting.Failed), status)
	}
	var twice []string
	f.mu.Lock()
	for booking, runs := range f.tickets {
		if runs > 1 {
			twice = append(twice, booking)
		}
	}
	f.mu.Unlock()
	twice = append(twice, f.till.RunTwice()...)
	fmt.Fprintf(out, "clients were told: %v\n", &f.answers)
	fmt.Fprintf(out, "%d plans of %d seats: %d served, %d refused, %d otherwise; %d tickets ran twice\n", len(runs), seats, outcomes["served"],
		outcomes["refused"], len(runs)-outcomes["served"]-outcomes["refused"], len(twice))
	switch {
	case len(twice) > 0:
		return fmt.Errorf("tickets ran twice: %v", twice)
	case served == 0 || outcomes["served"] == 0:
		return errors.New("nothing was served")
	}
	return nil
}

// outcome waits for the final answer of a run, in one word.
func (f *fleet) outcome(at *node, run string) (string, error) {
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if outcome := f.ended(at, run); outcome != "" {
			return outcome, nil
		}
	}
	return "", fmt.Errorf("plan %s has no answer", run)
}

// ended is the outcome of a run's final answer, or "" while it has none.
func (f *fleet) ended(at *node, run string) string {
	var a struct{ Outcome string }
	if get(at.admin, "/runs/"+run, &a) != nil || a.Outcome == "under way" {
		return ""
	}
	return a.Outcome
}

// end ends the processes in order, and waits for them.
func (f *fleet) end() (err error) {
	for _, n := range f.nodes {
		n.cmd.Process.Signal(syscall.SIGTERM)
	}
	timer := time.NewTimer(endWithin)
	defer timer.Stop()
	for _, n := range f.nodes {
		select {
		case ended := <-n.ended:
			if ended != nil {
				err = errors.Join(err, fmt.Errorf("%s ended with %w; its log ends with %s", n.name, ended, n.last()))
			}
		case <-timer.C:
			return errors.Join(err, fmt.Errorf("%s has not ended", n.name))
		}
	}
	return err
}

// close ends what still runs.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.cmd != nil {
			n.cmd.Process.Kill()
			<-n.ended
		}
	}
	for _, m := range f.members {
		m.Close()
	}
	for _, d := range f.lists {
		d.Close()
	}
}
