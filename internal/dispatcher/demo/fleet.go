package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"basaltloft/deploy"
	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/fakes"
	"basaltloft/internal/dispatcher/textout"
)

// FleetSettings are the settings of RunFleet.
type FleetSettings struct {
	Program   string // the dispatcher's executable
	Processes int
	Until     time.Time // clients make requests until then
	// MinimumTaken, unless 0, is the number of jobs that each process must have accepted: clients make
	// requests past Until until then. Afterwards plans are begun, one at a time, until one has been
	// served. Each of these two waits takes at most Patience.Load.
	MinimumTaken int64
	Patience     Patience // the zero value means DefaultPatience
}

const (
	maxRaftNodes = 3
	jobBudget    = 60 // jobs a second of the first tenant, at all processes together
)

// fleet holds the processes of the fleet and the fakes around them.
type fleet struct {
	FleetSettings
	nodes       []*node
	members     []*fakes.Member
	discoveries []*fakes.Discovery // of each process
	runLog      *fakes.RunLog
	answers     fakes.Answers

	mu         sync.Mutex
	ticketRuns map[string]int // number of runs of each booking's ticket
	bookings   []*booking
}

// RunFleet runs a demo of several processes that form one fleet: clients send requests to all of
// them over HTTP, and begin plans at their admin APIs. At the end it writes the ledger of each process and
// its view of the fleet to out. It fails if a ledger does not add up, nothing was served, a plan gets no
// answer, a ticket ran twice, or a process ends by itself or not in time.
func RunFleet(ctx context.Context, s FleetSettings, out, errs io.Writer) (err error) {
	home, err := os.MkdirTemp("", "basaltloft-demo")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(home)) }()
	if s.Patience == (Patience{}) {
		s.Patience = DefaultPatience()
	}
	f := &fleet{FleetSettings: s, runLog: fakes.NewRunLog(), ticketRuns: map[string]int{}}
	defer f.close()
	if err := f.start(ctx, home); err != nil {
		return err
	}
	p := textout.New(errs)
	for _, n := range f.nodes {
		p.Printf("%s: HTTP front %s, admin API http://%s/fleet, figures http://%s/metrics\n", n.name, n.listen, n.admin, n.metrics)
	}
	p.Printf("clients ask all of them; %s may spend %d jobs a second over all, and gets shares once it asks\n", Tenants[0], jobBudget)
	if err := errors.Join(p.Err(), f.serve(ctx, errs)); err != nil {
		return err
	}
	if f.MinimumTaken > 0 {
		if err := f.bookUntilServed(ctx); err != nil {
			return err
		}
	}
	if err := f.summarize(ctx, out); err != nil {
		return err
	}
	return f.shutdown()
}

// start starts members and processes, and waits until each process is ready and has
// joined the fleet.
func (f *fleet) start(ctx context.Context, home string) (err error) {
	load := Load{Members: 6, Slots: 8, Seed: 3, Faults: fakes.Faults{Reject: 0.01, DuplicateEnd: 0.05}}
	if f.members, err = load.NewMembers(fakes.MemberSettings{RunLog: f.runLog, Outcome: f.jobOutcome}); err != nil {
		return err
	}
	raftCount := maxRaftNodes
	if f.Processes < maxRaftNodes {
		raftCount = 1
	}
	for i := range f.Processes {
		n, err := newNode(fmt.Sprintf("n%d", i+1), home, i < raftCount)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	planFile := filepath.Join(home, "plans.hcl")
	if err := os.WriteFile(planFile, deploy.Plans, 0o600); err != nil {
		return err
	}
	for rank, n := range f.nodes {
		if err := f.startNode(n, rank, planFile); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := waitReady(ctx, n.listen, n.ended, f.Patience.Start); err != nil {
			return fmt.Errorf("%s: %w; its log ends with %s", n.name, err, n.lastLogLine())
		}
		if err := n.waitJoined(ctx, f.Patience.Start); err != nil {
			return err
		}
	}
	return nil
}

// startNode opens the members' addresses for a process and starts it.
func (f *fleet) startNode(n *node, rank int, planFile string) error {
	list, discovery, err := OpenMembersFor(f.members, n.name, func() string { return n.listen })
	if err != nil {
		return err
	}
	f.discoveries = append(f.discoveries, discovery)
	operator, err := n.operatorFile(raftNodes(f.nodes), planFile)
	if err != nil {
		return err
	}
	d := Dispatcher{
		Name: n.name, Listen: n.listen, Discovery: discovery.Addr(), Admin: n.admin, Rank: rank, Count: len(f.nodes), InitialMembers: list,
	}
	return n.start(d, f.Program, operator)
}

// jobOutcome returns the state and the result with which members end a job: for the plan's jobs by
// class, otherwise "ok". It counts the runs of each ticket.
func (f *fleet) jobOutcome(class, _ string, body []byte) (state, result string) {
	switch class {
	case "prices":
		return "done", `{"version":1,"list":{"seat":12,"group":390}}`
	case "hold":
		return "done", `{"held":true}`
	case "ticket":
		var ticket struct{ Booking string }
		if err := json.Unmarshal(body, &ticket); err != nil {
			return "failed", err.Error()
		}
		f.mu.Lock()
		f.ticketRuns[ticket.Booking]++
		f.mu.Unlock()
		return "done", fmt.Sprintf(`{"number":"T-%s"}`, ticket.Booking)
	}
	return "done", `"ok"`
}

// serve runs the clients, which send requests and begin plans, until the time is over, and waits until
// the clients have ended. It fails if a process ends by itself.
func (f *fleet) serve(ctx context.Context, errs io.Writer) error {
	deadline := f.Until
	if f.MinimumTaken > 0 {
		deadline = deadline.Add(f.Patience.Load)
	}
	ctxClients, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	ctxPlans, stopPlans := context.WithDeadline(ctxClients, f.Until) // on a slow machine more plans would only add to the backlog
	defer stopPlans()
	var clients sync.WaitGroup
	s := fakes.ClientSettings{Rate: 60, TicketShare: ticketShare, Tenants: Tenants, Retries: 2, AbandonShare: 0.02, Seed: 3}
	clients.Go(func() { fakes.HTTPClients(ctxClients, f.randomNode(), "h", s, &f.answers) })
	clients.Go(func() { f.bookPlans(ctxPlans) })
	p := textout.New(errs)
	var earlyEnd error
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for earlyEnd == nil && ctxClients.Err() == nil {
		select {
		case <-ctxClients.Done():
		case <-ticker.C:
			p.Printf("\r%d answered by HTTP, %d plans begun", f.answers.Served.Load(), len(f.booked()))
			earlyEnd = f.endedEarly()
			if f.MinimumTaken > 0 && !time.Now().Before(f.Until) && f.tookEnough() {
				stop()
			}
		}
	}
	stop()
	clients.Wait()
	p.Println()
	return errors.Join(earlyEnd, ctx.Err(), p.Err())
}

// randomNode returns a function that returns the address of a random process. The function may be
// called concurrently.
func (f *fleet) randomNode() func() string {
	random := rand.New(rand.NewPCG(3, 5))
	var mu sync.Mutex
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		return f.nodes[random.IntN(len(f.nodes))].listen
	}
}

// tookEnough reports whether each process has accepted MinimumTaken jobs.
func (f *fleet) tookEnough() bool {
	for _, n := range f.nodes {
		if r, err := readReport(n.metrics); err != nil || r.Account.Totals.Taken < f.MinimumTaken {
			return false
		}
	}
	return true
}

// endedEarly returns an error if a process has ended by itself, and nil otherwise.
func (f *fleet) endedEarly() error {
	for _, n := range f.nodes {
		select {
		case err := <-n.ended:
			if err == nil {
				err = errors.New("without an error")
			}
			return fmt.Errorf("%s ended by itself: %w; its log ends with %s", n.name, err, n.lastLogLine())
		default:
		}
	}
	return nil
}

// summarize waits for the outcomes of all plans and until no job is open, and writes a summary of the
// jobs and plans. It fails if a ledger does not add up, a ticket ran twice, or nothing was served.
func (f *fleet) summarize(ctx context.Context, out io.Writer) error {
	outcomes := map[string]int{}
	bookings := f.booked()
	for _, b := range bookings {
		outcome, err := f.waitOutcome(ctx, b)
		if err != nil {
			return err
		}
		outcomes[outcome]++
	}
	p := textout.New(out)
	var served int64
	for _, n := range f.nodes {
		ofNode, err := n.summarize(ctx, p, f.Patience.Idle)
		if err != nil {
			return fmt.Errorf("%s: %w", n.name, err)
		}
		served += ofNode
	}
	runTwice := f.runTwice()
	others := len(bookings) - outcomes[outcomeServed] - outcomes[outcomeRefused]
	p.Printf("clients were told: %v\n", &f.answers)
	p.Printf("%d plans of %d seats: %d served, %d refused, %d otherwise; %d tickets ran twice\n",
		len(bookings), seatsPerPlan, outcomes[outcomeServed], outcomes[outcomeRefused], others, len(runTwice))
	switch {
	case p.Err() != nil:
		return p.Err()
	case len(runTwice) > 0:
		return fmt.Errorf("tickets ran twice: %v", runTwice)
	case served == 0 || outcomes[outcomeServed] == 0:
		return errors.New("nothing was served")
	}
	return nil
}

// summarize waits until no job is open at the process, for at most maxIdle, audits its ledger, and
// writes the ledger's totals and the process's view of the fleet. It returns the number of jobs served.
func (n *node) summarize(ctx context.Context, p *textout.Printer, maxIdle time.Duration) (served int64, err error) {
	if err := errors.Join(waitIdle(ctx, n.metrics, maxIdle), runAudit(n.metrics)); err != nil {
		return 0, err
	}
	r, err := readReport(n.metrics)
	if err != nil {
		return 0, err
	}
	var status json.RawMessage
	if err := getJSON(n.admin, "/fleet", &status); err != nil {
		return 0, err
	}
	if len(r.Audit.Differences) > 0 {
		return 0, fmt.Errorf("the account does not add up: %v", r.Audit.Differences)
	}
	total := &r.Account.Totals
	served = total.EndedAs(accounting.Served)
	p.Printf("%s: %d jobs taken, %d served, %d refused, %d failed; the account adds up\n   fleet: %s\n", n.name, total.Taken,
		served, total.EndedAs(accounting.Refused), total.EndedAs(accounting.Failed), status)
	return served, nil
}

// runTwice returns the ids of the tickets that ran more than once.
func (f *fleet) runTwice() (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for booking, runs := range f.ticketRuns {
		if runs > 1 {
			ids = append(ids, booking)
		}
	}
	return append(ids, f.runLog.RunTwice()...)
}

// shutdown sends ShutdownSignal to the processes and waits until all have ended. It fails if one ends
// with an error or not within Patience.Shutdown.
func (f *fleet) shutdown() (err error) {
	for _, n := range f.nodes {
		if signalErr := n.cmd.Process.Signal(ShutdownSignal); signalErr != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", n.name, signalErr))
		}
	}
	timer := time.NewTimer(f.Patience.Shutdown)
	defer timer.Stop()
	for _, n := range f.nodes {
		select {
		case ended := <-n.ended:
			if ended != nil {
				err = errors.Join(err, fmt.Errorf("%s ended with %w; its log ends with %s", n.name, ended, n.lastLogLine()))
			}
		case <-timer.C:
			return errors.Join(err, fmt.Errorf("%s has not ended; its goroutines: %s", n.name, n.abort()))
		}
	}
	return err
}

// close kills the processes that still run, and closes the members and discovery services.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.kill()
	}
	for _, m := range f.members {
		m.Close()
	}
	for _, d := range f.discoveries {
		d.Close()
	}
}
