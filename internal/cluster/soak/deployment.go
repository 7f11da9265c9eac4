package soak

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"basaltloft/internal/cluster/localcluster"
	"basaltloft/internal/cluster/processes"
	"basaltloft/internal/cluster/settings"
	"basaltloft/internal/cluster/standin"
	"basaltloft/internal/shared/portreservation"
)

// Size is the number of processes, runners and clients in a deployment.
type Size struct {
	Nodes       int // an odd number; each of them votes
	Dispatchers int
	Runners     int // per service
	Clients     int
}

// Time bounds of the deployment, as its settings give them.
const (
	grace       = 6 * time.Second
	maxLease    = 6 * time.Second
	configApply = 2 * time.Second
	contact     = 3 * time.Second
	cancelTime  = 3 * time.Second
)

// machine is a process and the address at which it runs. An event that acts on the process holds the mutex.
type machine struct {
	processes.Process
	ip string
	mu sync.Mutex
	// frozen is set while an event keeps the process stopped; throttle must not continue it.
	frozen atomic.Bool
}

// deployment holds the processes of a run, and the stand-ins for the platform and the runners.
type deployment struct {
	size        Size
	build       processes.Build
	folder      string
	ports       portreservation.Range
	addresses   *localcluster.Cluster // provides addresses and settings; its processes are not started
	nodes       []*machine
	dispatchers []*machine
	platform    *standin.Platform
	lists       map[string]*standin.Server // of the platform's list, by the address of the node that reads it
	timeline    *Timeline
	findings    *Findings
	runs        *runLog

	// nodeMu is held while a node is not a full member: no more than one may be lost at a time.
	nodeMu sync.Mutex
	// uncleanStops counts stops with an exit status other than 0: requests or connections were left open.
	uncleanStops atomic.Int64

	runnersMu sync.Mutex
	runners   []*runnerSlot
	nextID    int
}

// runnerSlot is a place for a runner. A runner that ends is replaced by one with another ID.
type runnerSlot struct {
	service string
	address string
	mu      sync.Mutex // held while the runner is replaced
	runner  *standin.Runner
}

// services are the services of the runners. Their shards differ, so that a queue that moves from one to the
// other is sealed in its former shard.
var services = []string{"alpha", "gamma"}

// newDeployment prepares a deployment in a folder and starts the stand-ins only. It returns an error if the
// host lacks a resource, such as ports.
func newDeployment(size Size, build processes.Build, folder string, random *rand.Rand) (*deployment, error) {
	d := &deployment{size: size, build: build, folder: folder, timeline: newTimeline(contact), findings: &Findings{}}
	d.runs = newRunLog(d.timeline, d.findings)
	var err error
	if d.ports, err = portreservation.ReserveRange(localcluster.PortsEach); err != nil {
		return nil, err
	}
	if d.platform, err = standin.NewPlatform(); err != nil {
		return nil, err
	}
	d.assignAddresses()
	if err := d.serveLists(random); err != nil {
		return nil, err
	}
	for _, m := range d.machines() {
		if err := d.writeSettings(m, true, random); err != nil {
			return nil, err
		}
	}
	for range size.Runners {
		for _, service := range services {
			slot := &runnerSlot{service: service, address: fmt.Sprintf("127.81.0.%d:%d", 1+len(d.runners), d.ports.First())}
			d.runners = append(d.runners, slot)
			if err := d.startRunner(slot); err != nil {
				return nil, err
			}
		}
	}
	return d, nil
}

// assignAddresses gives each process an address. The ports are reserved at 127.0.0.1, so that no other process
// uses them at another loopback address.
func (d *deployment) assignAddresses() {
	const perNetwork = 200
	var nodeIPs []string
	for number := range d.size.Nodes + d.size.Dispatchers {
		ip := fmt.Sprintf("127.80.%d.%d", number/perNetwork, 1+number%perNetwork)
		m := &machine{ip: ip, Process: processes.Process{
			Program: processes.EdgeProgram, Settings: filepath.Join(d.folder, ip+".yaml"), Log: filepath.Join(d.folder, ip+".log"),
		}}
		if number >= d.size.Nodes {
			d.dispatchers = append(d.dispatchers, m)
			continue
		}
		m.Program = processes.CoreProgram
		d.nodes = append(d.nodes, m)
		nodeIPs = append(nodeIPs, ip)
	}
	d.addresses = localcluster.New(localcluster.Options{
		NodeIPs: nodeIPs, Port: d.ports.First(), PlatformURL: d.platform.Server.URL, DataDir: d.folder, Log: slog.New(slog.DiscardHandler),
		Bounds: settings.Bounds{
			ContactMs: contact.Milliseconds(), GraceS: grace.Seconds(), MaxLeaseMs: maxLease.Milliseconds(),
			ConfigApplyMs: configApply.Milliseconds(), CancelMs: cancelTime.Milliseconds(), RemoteSlowdown: 1,
		},
	})
}

// maxListLag is the longest time by which a server of the platform's list lags.
const maxListLag = 800 * time.Millisecond

// serveLists starts a server of the platform's list for each node. Their lags differ.
func (d *deployment) serveLists(random *rand.Rand) error {
	d.lists = map[string]*standin.Server{}
	for _, node := range d.nodes {
		server, err := d.platform.ServeLagging(time.Duration(random.Int64N(int64(maxListLag))))
		if err != nil {
			return err
		}
		d.lists[node.ip] = server
	}
	return nil
}

func (d *deployment) machines() []*machine {
	return append(append([]*machine(nil), d.nodes...), d.dispatchers...)
}

// seedCount is how many seeds are in a process's settings.
const seedCount = 3

// writeSettings writes a process's settings file. At the first start all processes have the same seeds, as on
// the platform; later the seeds are random.
func (d *deployment) writeSettings(m *machine, bootstrap bool, random *rand.Rand) error {
	given := d.addresses.Settings(m.ip, bootstrap)
	if list := d.lists[m.ip]; list != nil {
		given.CloudAPI.Address = strings.TrimPrefix(list.URL, "http://")
	}
	if !bootstrap {
		random.Shuffle(len(given.Seeds), func(a, b int) { given.Seeds[a], given.Seeds[b] = given.Seeds[b], given.Seeds[a] })
	}
	given.Seeds = given.Seeds[:min(seedCount, len(given.Seeds))]
	content, err := yaml.Marshal(given)
	if err != nil {
		return errors.Wrap(err, "write settings")
	}
	next := m.Settings + ".next"
	if err := os.WriteFile(next, content, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return errors.Wrap(os.Rename(next, m.Settings), "write settings")
}

// start starts a process; for a node it creates the data folder first.
func (d *deployment) start(m *machine) error {
	if m.Program == processes.CoreProgram {
		if err := os.MkdirAll(d.dataDir(m), 0o700); err != nil {
			return errors.Wrap(err, "make a node's folder")
		}
	}
	return m.Start(d.build)
}

func (d *deployment) dataDir(m *machine) string { return d.addresses.Settings(m.ip, false).DataDir }

// startRunner starts a runner in a slot, with an ID that no other runner had.
func (d *deployment) startRunner(slot *runnerSlot) error {
	const shortest, steps = 20 * time.Millisecond, 8
	d.runnersMu.Lock()
	defer d.runnersMu.Unlock()
	d.nextID++
	takes := shortest << (d.nextID % steps / 2)
	runner, err := standin.NewRunnerAt(slot.address, fmt.Sprintf("i-%d", d.nextID), takes)
	if err != nil {
		return err
	}
	runner.MaxLease, runner.Observer = maxLease, d.runs
	slot.runner = runner
	d.platform.AddRunner(runner, slot.service)
	return nil
}

// runnerOf returns the present runner of a slot.
func (d *deployment) runnerOf(slot *runnerSlot) *standin.Runner {
	d.runnersMu.Lock()
	defer d.runnersMu.Unlock()
	return slot.runner
}

// awaitVoting waits until each node is a voter and has applied what any node had applied at the call.
func (d *deployment) awaitVoting(ctx context.Context) error {
	const limit = 40 * time.Second
	var addresses []string
	for _, m := range d.nodes {
		addresses = append(addresses, d.addresses.Internal(m.ip))
	}
	wanted := processes.HighestApplied(processes.Statuses(addresses))
	fault := ""
	if await(ctx, limit, func() bool {
		fault = processes.FindFault(processes.Statuses(addresses), wanted, len(d.nodes))
		return fault == ""
	}) {
		return nil
	}
	return errors.Newf("after %v: %s", limit, fault)
}

// await polls a condition until it holds. It returns false if the limit passes or the context ends first.
func await(ctx context.Context, limit time.Duration, condition func() bool) bool {
	const interval = 20 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if condition() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
