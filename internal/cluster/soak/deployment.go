package soak

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
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

// Size is how much of each a deployment has.
type Size struct {
	Nodes       int // an odd number; each of them votes
	Dispatchers int
	Runners     int // of each service
	Clients     int
}

// Bounds of the deployment's rules.
const (
	grace       = 6 * time.Second
	maxLease    = 6 * time.Second
	configApply = 2 * time.Second
	contact     = 3 * time.Second
	cancelTime  = 3 * time.Second
)

// machine is a process and the address at which it runs. Whoever acts on the process holds the mutex.
type machine struct {
	processes.Process
	ip string
	mu sync.Mutex
	// frozen: an event has stopped it, and throttle lets it be.
	frozen atomic.Bool
}

// deployment is the processes of a run, and the stand-ins of platform and runners.
type deployment struct {
	size        Size
	build       processes.Build
	folder      string
	ports       portreservation.Range
	addresses   *localcluster.Cluster // starts nothing: it has the addresses and the settings
	nodes       []*machine
	dispatchers []*machine
	platform    *standin.Platform
	timeline    *Timeline
	findings    *Findings
	runs        *runLog

	// nodeTurn is held while a node is not a full member: no more than one may be lost at a time.
	nodeTurn sync.Mutex
	// leftRequests counts stops that ended with requests under way, which the exit status tells.
	leftRequests atomic.Int64

	runnersMu sync.Mutex
	runners   []*runnerSlot
	nextID    int
}

// runnerSlot is a runner, or the one that comes after it under another ID.
type runnerSlot struct {
	service string
	turn    sync.Mutex // held while the runner ends and another one comes
	runner  *standin.Runner
}

// services are the kinds of runners. They lie in different shards, so that a queue that moves is sealed.
var services = []string{"alpha", "gamma"}

// newDeployment prepares a deployment in a folder; nothing runs yet but the stand-ins. An error tells what
// of the machine can't be used.
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
	d.layOut()
	for _, m := range d.machines() {
		if err := d.writeSettings(m, true, random); err != nil {
			return nil, err
		}
	}
	for range size.Runners {
		for _, service := range services {
			slot := &runnerSlot{service: service}
			d.runners = append(d.runners, slot)
			if err := d.renew(slot); err != nil {
				return nil, err
			}
		}
	}
	return d, nil
}

// layOut gives each process an address. The ports are reserved at 127.0.0.1, so that nobody else has them
// at another address of loopback.
func (d *deployment) layOut() {
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

func (d *deployment) machines() []*machine {
	return append(append([]*machine(nil), d.nodes...), d.dispatchers...)
}

// seedCount is how many seeds a process is given.
const seedCount = 3

// writeSettings writes a process's settings file. At the first start all have the same seeds, as the platform
// has it; later ones are drawn.
func (d *deployment) writeSettings(m *machine, bootstrap bool, random *rand.Rand) error {
	given := d.addresses.Settings(m.ip, bootstrap)
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

// start starts a process. A node gets its folder.
func (d *deployment) start(m *machine) error {
	if m.Program == processes.CoreProgram {
		if err := os.MkdirAll(d.dataDir(m), 0o700); err != nil {
			return errors.Wrap(err, "make a node's folder")
		}
	}
	return m.Start(d.build)
}

func (d *deployment) dataDir(m *machine) string { return d.addresses.Settings(m.ip, false).DataDir }

// renew puts a new runner in a slot, under an ID that no other runner had.
func (d *deployment) renew(slot *runnerSlot) error {
	const shortest, steps = 20 * time.Millisecond, 8
	d.runnersMu.Lock()
	defer d.runnersMu.Unlock()
	d.nextID++
	takes := shortest << (d.nextID % steps / 2)
	runner, err := standin.NewRunner(fmt.Sprintf("i-%d", d.nextID), takes)
	if err != nil {
		return err
	}
	runner.MaxLease, runner.Observer = maxLease, d.runs
	slot.runner = runner
	d.platform.AddRunner(runner, slot.service)
	return nil
}

// runnerOf returns the runner in a slot.
func (d *deployment) runnerOf(slot *runnerSlot) *standin.Runner {
	d.runnersMu.Lock()
	defer d.runnersMu.Unlock()
	return slot.runner
}

// awaitVoting waits until each node votes and has applied what any has applied by now.
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

// await calls a condition until it holds; false: it does not within the limit, or the context has ended.
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

// pass waits until a time has passed; false: the context has ended before.
func pass(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
