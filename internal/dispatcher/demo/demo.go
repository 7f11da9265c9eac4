// Package demo runs a dispatcher with both fronts and the world around it in
// one process, on loopback, with nothing set up: discovery, pool members,
// clients and Faktory workers as stand-ins.
package demo

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"basaltloft/internal/dispatcher/fakes"
	"basaltloft/internal/dispatcher/settings"
)

// Tenants are those of the demo.
var Tenants = []string{"hrad-kamenec", "jaskyna-dolina", "hrad-vysoka"}

// settingsText is what the platform tells a dispatcher of the demo, one of so
// many and which: the two classes of the guided tours, and notices, which may run
// as often as need be.
const settingsText = `{"balancers":%d,"rank":%d,"registry_mode":"ask","worth_by":"work","zone":"hall","shapes":["std"],
"tenants":[{"name":"hrad-kamenec"},{"name":"jaskyna-dolina"},{"name":"hrad-vysoka"}],
"lanes":[{"name":"place-hold","effect":"deduplicated","key_scope":"cell","promise":400000000,"give_up":10000000000,"repeat_window":15000000000,"worth":10},
{"name":"group-ticket","effect":"at_most_once","key_scope":"all","promise":1000000000,"give_up":25000000000,"worth":2},
{"name":"send-notice","effect":"idempotent","key_scope":"all","promise":10000000000,"give_up":25000000000,"worth":1}],
"family_info":{"class_kind":[-1,-1,-1],"class_stretch":[2.5,2.5,2.5],"tells_start":true},
"limits":{"most_tries":3,"cancel":true,"probes":true,"retry_after":true,"max_retry_after":2000000000,"conn_idle":15000000000,"dial_timeout":250000000},
"guarantees":{"grace_to_answer":8000000,"ask_every":10000000000,"start_capacity":0.12,"warm_after":24000000000,"fall_multiple":4,"tip_after":3000000000}}`

// Configuration is the configuration file of this world's dispatcher. It knows
// the members from the start.
func (w *World) Configuration() string {
	var listed []fakes.Instance
	for _, m := range w.members {
		listed = append(listed, m.Instance())
	}
	return Dispatcher{Name: "demo", Listen: w.HTTPAddr, Discovery: w.Discovery.Addr(), Count: 1, InitialMembers: listed}.Configuration()
}

// Dispatcher is what the platform tells one dispatcher, of so many.
type Dispatcher struct {
	Name, Listen, Discovery, Admin string
	Rank, Count                    int
	InitialMembers                 []fakes.Instance
}

// Configuration is a dispatcher's configuration file.
func (d Dispatcher) Configuration() string {
	known, _ := json.Marshal(d.InitialMembers)
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"admin":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},`+
		`"known":{"generation":0,"reset":true,"instances":%s},"settings":%s}`, d.Name, d.Listen, d.Discovery, d.Admin, known, fmt.Sprintf(settingsText, d.Count, d.Rank))
}

// OperatorFile is its operator's file. An empty folder leaves the journal off.
func (w *World) OperatorFile(folder string) string {
	return fmt.Sprintf(`{"agent_check":{"listen":%q},
"figures":{"listen":%q,"audit_every_ms":500,"journal":{"folder":%q,"segment_mb":1}},
"faktory":{"listen":%q,"connections":128,"default":{"class":"place-hold","deadline_ms":10000},
"workers":{"cell":7},
"queues":{"holds":{"class":"place-hold","deadline_ms":10000,"cost_us":20000},"tickets":{"class":"group-ticket","deadline_ms":25000,"cost_us":60000}},
"jobtypes":{"IssueTicket":{"class":"group-ticket","deadline_ms":25000,"cost_us":60000}}}}`, w.AgentCheckAddr, w.MetricsAddr, folder, w.FaktoryAddr)
}

// World is the outside of one dispatcher.
type World struct {
	HTTPAddr, FaktoryAddr, AgentCheckAddr, MetricsAddr string
	Discovery                                          *fakes.Discovery
	RunLog                                             *fakes.RunLog
	HTTPAnswers, FaktoryAnswers                        fakes.Answers
	members                                            []*fakes.Member
	all                                                sync.WaitGroup
	stopClients, stopWorkers                           context.CancelFunc

	mu      sync.Mutex
	load    Load
	ctx     context.Context // of the workers
	workers []context.CancelFunc
	begun   int // workers so far
}

// Load is how busy the world is.
type Load struct {
	Rate    float64 // asks a second by each front
	Members int
	Workers int
	Slots   int           // of a member; 0: 4
	RunTime time.Duration // how long each job runs; 0: short, by chance
	Faults  fakes.Faults
	Seed    uint64
}

// NewWorld starts discovery and members. Nobody asks anything yet.
func NewWorld(l Load) (*World, error) {
	w := &World{RunLog: fakes.NewRunLog()}
	for _, at := range []*string{&w.HTTPAddr, &w.FaktoryAddr, &w.AgentCheckAddr, &w.MetricsAddr} {
		var err error
		if *at, err = fakes.FreeAddr(); err != nil {
			return nil, err
		}
	}
	l.Slots = cmp.Or(l.Slots, 4)
	var err error
	if w.members, err = l.NewMembers(fakes.MemberSettings{ReportTo: func() string { return w.HTTPAddr }, RunLog: w.RunLog}); err != nil {
		return nil, err
	}
	var listed []fakes.Instance
	for _, m := range w.members {
		listed = append(listed, m.Instance())
	}
	if w.Discovery, err = fakes.NewDiscovery(listed...); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// NewMembers starts the members of a load, each as one is set up and with an id, cell,
// and chances of its own.
func (l Load) NewMembers(one fakes.MemberSettings) (all []*fakes.Member, err error) {
	one.Slots, one.Faults, one.AtMostOnce = l.Slots, l.Faults, AtMostOnce
	for i := range l.Members {
		one.ID, one.Cell, one.Run, one.Seed = fmt.Sprintf("s-%d", i+1), i/4, l.RunTimes(uint64(i)), l.Seed+uint64(i)
		m, err := fakes.NewMember(one)
		if err != nil {
			for _, m := range all {
				m.Close()
			}
			return nil, err
		}
		all = append(all, m)
	}
	return all, nil
}

// AtMostOnce tells the classes that must never run twice.
func AtMostOnce(class string) bool { return class == "group-ticket" || class == "IssueTicket" }

// RunTimes is how long jobs run: holds for 10 to 30 ms, tickets for three times
// as long.
func (l Load) RunTimes(n uint64) func(string) time.Duration {
	if l.RunTime > 0 {
		return func(string) time.Duration { return l.RunTime }
	}
	random := rand.New(rand.NewPCG(l.Seed+n, 3))
	var mu sync.Mutex
	return func(class string) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		d := 10*time.Millisecond + time.Duration(random.Int64N(int64(20*time.Millisecond)))
		if AtMostOnce(class) {
			d *= 3
		}
		return d
	}
}

// StartLoad lets workers fetch and clients ask.
func (w *World) StartLoad(l Load) {
	clients, stop := context.WithCancel(context.Background())
	w.stopClients = stop
	workers, stop := context.WithCancel(context.Background())
	w.stopWorkers = stop
	mix := fakes.ClientSettings{Rate: l.Rate, TicketShare: 0.28, Tenants: Tenants, Retries: 2, AbandonShare: 0.02, Seed: l.Seed}
	http, faktory := func() string { return w.HTTPAddr }, w.faktory
	w.load, w.ctx = l, workers
	for range l.Workers {
		w.workers = append(w.workers, w.worker())
	}
	w.all.Go(func() { fakes.HTTPClients(clients, http, "h", mix, &w.HTTPAnswers) })
	if l.Workers > 0 {
		w.all.Go(func() { fakes.FaktoryClients(clients, faktory, "f", mix, &w.FaktoryAnswers) })
	}
}

func (w *World) faktory() string { return w.FaktoryAddr }

// worker starts a Faktory worker with a wid of its own.
func (w *World) worker() context.CancelFunc {
	ctx, kill := context.WithCancel(w.ctx)
	w.begun++
	n := uint64(w.begun)
	w.all.Go(func() {
		fakes.FaktoryWorker(ctx, w.faktory, fakes.WorkerSettings{
			WID: fmt.Sprintf("worker-%d", n), Queues: []string{"tickets", "holds"}, Run: w.load.RunTimes(100 + n),
			Faults: w.load.Faults, RunLog: w.RunLog, AtMostOnce: AtMostOnce, Seed: w.load.Seed + 100 + n,
		})
	})
	return kill
}

// KillWorker ends one of the Faktory workers, with what it runs and without a
// word, and starts another in its place.
func (w *World) KillWorker(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n %= len(w.workers)
	w.workers[n]()
	w.workers[n] = w.worker()
}

// StopClients asks nothing more.
func (w *World) StopClients() { w.stopClients() }

// Close ends everything and waits for it.
func (w *World) Close() {
	if w.stopClients != nil {
		w.stopClients()
		w.stopWorkers()
	}
	w.all.Wait()
	for _, m := range w.members {
		m.Close()
	}
	if w.Discovery != nil {
		w.Discovery.Close()
	}
}

// DecodedSettings are the configuration and operator's file for this world.
func (w *World) DecodedSettings(folder string) (c settings.Config, o settings.Operator, err error) {
	if c, err = settings.DecodeConfig([]byte(w.Configuration())); err != nil {
		return c, o, err
	}
	o, err = settings.DecodeOperator([]byte(w.OperatorFile(folder)))
	return c, o, err
}

// ShutdownSignal is the signal that ends a dispatcher in the same process.
var ShutdownSignal os.Signal = syscall.SIGTERM
