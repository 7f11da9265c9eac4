package demo

import (
	"cmp"
	"context"
	"fmt"
	"sync"

	"basaltloft/internal/dispatcher/fakes"
	"basaltloft/internal/dispatcher/settings"
)

// defaultSlots is the number of slots of a member if Load.Slots is 0.
const defaultSlots = 4

// World is the simulated environment of one dispatcher: discovery, pool members, HTTP clients, Faktory
// clients and Faktory workers. The caller runs the dispatcher, with the World's Configuration and
// OperatorFile, and closes the World.
type World struct {
	HTTPAddr, FaktoryAddr, AgentCheckAddr, MetricsAddr string // of the dispatcher
	Discovery                                          *fakes.Discovery
	RunLog                                             *fakes.RunLog
	HTTPAnswers, FaktoryAnswers                        fakes.Answers
	members                                            []*fakes.Member
	running                                            sync.WaitGroup // clients and workers
	stopClients, stopWorkers                           context.CancelFunc

	mu             sync.Mutex
	load           Load
	workersContext context.Context // parent of each worker's context
	workers        []context.CancelFunc
	workersStarted int
}

// NewWorld starts discovery and members. There are no requests before StartLoad.
func NewWorld(l Load) (*World, error) {
	w := &World{RunLog: fakes.NewRunLog()}
	for _, addr := range []*string{&w.HTTPAddr, &w.FaktoryAddr, &w.AgentCheckAddr, &w.MetricsAddr} {
		var err error
		if *addr, err = fakes.FreeAddr(); err != nil {
			return nil, err
		}
	}
	l.Slots = cmp.Or(l.Slots, defaultSlots)
	var err error
	if w.members, err = l.NewMembers(fakes.MemberSettings{ReportTo: func() string { return w.HTTPAddr }, RunLog: w.RunLog}); err != nil {
		return nil, err
	}
	if w.Discovery, err = fakes.NewDiscovery(instances(w.members)...); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// Configuration returns the text of the dispatcher's configuration file, which lists the members.
func (w *World) Configuration() string {
	return Dispatcher{
		Name: "demo", Listen: w.HTTPAddr, Discovery: w.Discovery.Addr(), Count: 1, InitialMembers: instances(w.members),
	}.Configuration()
}

// OperatorFile returns the text of the dispatcher's operator's file. If journalDir is empty, the dispatcher
// keeps no journal.
func (w *World) OperatorFile(journalDir string) string {
	return fmt.Sprintf(`{"agent_check":{"listen":%q},
"figures":{"listen":%q,"audit_every_ms":500,"journal":{"folder":%q,"segment_mb":1}},
"faktory":{"listen":%q,"connections":128,"default":{"class":"place-hold","deadline_ms":10000},
"workers":{"cell":7},
"queues":{"holds":{"class":"place-hold","deadline_ms":10000,"cost_us":20000},"tickets":{"class":"group-ticket","deadline_ms":25000,"cost_us":60000}},
"jobtypes":{"IssueTicket":{"class":"group-ticket","deadline_ms":25000,"cost_us":60000}}}}`, w.AgentCheckAddr, w.MetricsAddr, journalDir, w.FaktoryAddr)
}

// DecodedSettings returns the Configuration and the OperatorFile, decoded.
func (w *World) DecodedSettings(journalDir string) (c settings.Config, o settings.Operator, err error) {
	if c, err = settings.DecodeConfig([]byte(w.Configuration())); err != nil {
		return c, o, err
	}
	o, err = settings.DecodeOperator([]byte(w.OperatorFile(journalDir)))
	return c, o, err
}

// StartLoad starts the workers and the clients. It may be called only once.
func (w *World) StartLoad(l Load) {
	clients, stop := context.WithCancel(context.Background())
	w.stopClients = stop
	workers, stop := context.WithCancel(context.Background())
	w.stopWorkers = stop
	w.load, w.workersContext = l, workers
	for range l.Workers {
		w.workers = append(w.workers, w.startWorker())
	}
	s := fakes.ClientSettings{Rate: l.Rate, TicketShare: ticketShare, Tenants: Tenants, Retries: 2, AbandonShare: 0.02, Seed: l.Seed}
	w.running.Go(func() { fakes.HTTPClients(clients, func() string { return w.HTTPAddr }, "h", s, &w.HTTPAnswers) })
	if l.Workers > 0 {
		w.running.Go(func() { fakes.FaktoryClients(clients, w.faktoryAddr, "f", s, &w.FaktoryAnswers) })
	}
}

func (w *World) faktoryAddr() string { return w.FaktoryAddr }

// startWorker starts a Faktory worker with an id of its own and returns the function that ends it.
func (w *World) startWorker() context.CancelFunc {
	ctx, kill := context.WithCancel(w.workersContext)
	w.workersStarted++
	n := uint64(w.workersStarted)
	const seedOffset = 100 // from the members' seeds
	w.running.Go(func() {
		fakes.FaktoryWorker(ctx, w.faktoryAddr, fakes.WorkerSettings{
			WID: fmt.Sprintf("worker-%d", n), Queues: []string{"tickets", "holds"}, Run: w.load.RunTimes(seedOffset + n),
			Faults: w.load.Faults, RunLog: w.RunLog, AtMostOnce: AtMostOnce, Seed: w.load.Seed + seedOffset + n,
		})
	})
	return kill
}

// KillWorker ends one of the Faktory workers, and the job that it runs, without a message to the
// dispatcher, and starts another one. It may be called concurrently.
func (w *World) KillWorker(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n %= len(w.workers)
	w.workers[n]()
	w.workers[n] = w.startWorker()
}

// StopClients stops new requests. Requests already sent are still answered.
func (w *World) StopClients() { w.stopClients() }

// Close ends the clients and workers, waits for them, and closes the members and the discovery service.
func (w *World) Close() {
	if w.stopClients != nil {
		w.stopClients()
		w.stopWorkers()
	}
	w.running.Wait()
	for _, m := range w.members {
		m.Close()
	}
	if w.Discovery != nil {
		w.Discovery.Close()
	}
}
