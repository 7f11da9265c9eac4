// Package controlplane implements a control-plane node, the process that deploy files call a core. A node
// runs the replicas of the configuration's group and of the shards' groups, the schedulers of the shards
// that it leads, the reader of the platform's runner list, and the operators' API.
//
// The files by responsibility: node.go (assembly and life cycle), groups.go (replica groups), handler.go
// (messages from other processes), shardloop.go and runnerclient.go (scheduling, and orders to runners),
// runnerpool.go, runnerconn.go and runnerreply.go (connections to runners and their replies), runnerlist.go
// (the platform's list of runners), configapi.go (the configuration), join.go (membership), recovery.go
// (recovery from unreadable state on disk), identity.go, peers.go (connections to other nodes),
// loadreport.go, ordercounts.go and processoruse.go (load reports in the log).
//
// A process creates one Node with New and calls Run once; package daemon does both. Packages leader and
// scheduler make all decisions and do no I/O. This package provides their sockets, disks, clocks and
// goroutines.
package controlplane

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/group"
	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/httpdrain"
	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/settings"
)

// commandsByRPC is the only supported value of the setting that selects how orders are sent to runners.
const commandsByRPC = "rpc"

// Node is one process of the control plane. Its exported methods may be called concurrently.
type Node struct {
	settings settings.Settings
	log      *slog.Logger
	started  time.Time
	identity identity
	self     replica.Member
	peers    *peers
	rpc      *rpc.Server

	groups           map[string]*group.Group // by name
	configGroup      *group.Group
	config           *leader.Configuration
	shards           []*shardLoop // by number
	runnerListReader *runnerListReader
	configAPI        *configAPI
	damageCause      error // why the state on disk is unusable; nil: it is usable

	replicasRunning atomic.Bool
	stop            chan struct{}   // closed when the node stops
	lifetime        context.Context // canceled when the node stops; bounds calls to runners and the platform
	endLifetime     context.CancelFunc
	tasks           sync.WaitGroup // all goroutines that Run started, directly or indirectly

	// mu guards settings.Seeds, which Reload replaces; use the method seeds to read them. All other settings
	// stay as passed to New, except Bootstrap, which recoverDataDir clears before anything else runs.
	mu sync.Mutex
}

// New opens a node's state on disk and returns the node, which does not serve yet. If the state is damaged,
// New still succeeds, and Run tries to recover. It returns an error if the settings name no data folder, or
// if the file system returns one.
func New(settings settings.Settings, log *slog.Logger) (*Node, error) {
	if settings.DataDir == "" {
		return nil, errors.New("data_dir is empty: run the core on machines with a disk")
	}
	n := &Node{
		settings: settings,
		log:      log,
		started:  time.Now(),
		groups:   map[string]*group.Group{},
		stop:     make(chan struct{}),
	}
	n.lifetime, n.endLifetime = context.WithCancel(context.Background())
	n.self.Address = settings.InternalAddress(settings.IP)
	if settings.Commands != "" && settings.Commands != commandsByRPC {
		log.Warn("unknown value of setting commands, runners are called by rpc", "commands", settings.Commands)
	}
	n.peers = newPeers(n.self.Address)
	n.peers.deliverLocal = n.receive
	err := n.open()
	if errors.Is(err, ringlog.ErrDamaged) || errors.Is(err, errIdentityUnreadable) {
		n.damageCause = err
		return n, nil
	}
	return n, err
}

// clockOrigin is the value of the node's clock at its start. It is above zero so that times that are computed
// by subtracting an interval from the clock stay positive.
const clockOrigin = time.Hour

// now returns the time on the node's monotonic clock.
func (n *Node) now() time.Duration { return time.Since(n.started) + clockOrigin }

// open reads the identity and opens all replicas.
func (n *Node) open() error {
	found, err := loadIdentity(n.settings.DataDir, n.newIdentity)
	if err != nil {
		return err
	}
	n.identity = found
	n.self.ID = found.ID
	n.rpc = rpc.NewServer(n)
	n.runnerListReader = newRunnerListReader(n.lifetime, n)
	n.config = leader.NewConfiguration(n.updateShardConfigs, n.runnerListReader.setEpoch, n.log)
	n.configAPI = &configAPI{node: n, config: n.config}
	runners := newRunnerClient(n.lifetime)
	runners.limitFDs(n.settings.Limits.MaxFDs)
	stateMachines := map[string]group.StateMachine{protocol.ConfigGroup: n.config}
	var shards []*shardLoop
	for number := range protocol.ShardCount {
		loop := n.newShardLoop(number, runners)
		stateMachines[protocol.ShardGroup(number)] = loop.shard
		shards = append(shards, loop)
	}
	if err := n.openGroups(stateMachines); err != nil {
		return err
	}
	n.configGroup = n.groups[protocol.ConfigGroup]
	n.config.SetGroup(n.configGroup)
	for number, loop := range shards {
		loop.shard.SetGroup(n.groups[protocol.ShardGroup(number)])
		loop.shard.UpdateConfig(n.config.Current())
	}
	n.shards = shards // set last, so that callbacks during the opening of groups see no incomplete shard
	return nil
}

// updateShardConfigs passes a newly applied configuration to all shards.
func (n *Node) updateShardConfigs(config *opconfig.Config) {
	for _, loop := range n.shards {
		loop.shard.UpdateConfig(config)
	}
}

// updateShardRunners passes a list of runners to all shards.
func (n *Node) updateShardRunners(list []protocol.Runner) {
	for _, loop := range n.shards {
		loop.shard.UpdateRunners(list)
	}
}

// ErrKilled is the cause to cancel Run's context with if Run must end without a transfer of leadership, as
// if the process were killed. It is for clusters that run several nodes in one process.
var ErrKilled = errors.New("the node is killed")

// Run serves until the context ends, and then transfers the leadership of this node's groups to other
// nodes. Before it returns it waits for the goroutines that it started, for at most closeTimeout. It
// returns an error if it can't listen, or if damaged state can't be set aside. It must be called only once.
func (n *Node) Run(ctx context.Context) error {
	if err := n.recoverDataDir(ctx); err != nil {
		return err
	}
	if n.damageCause != nil {
		return nil // the context ended before the state on disk was usable
	}
	internal, operatorServer := n.servers()
	operators := httpdrain.New(operatorServer)
	serveErrors := make(chan error, 2) // buffered for both, so that no goroutine blocks
	n.tasks.Go(func() { serveErrors <- internal.ListenAndServe() })
	n.tasks.Go(func() { serveErrors <- operators.ListenAndServe() })
	n.tasks.Go(n.joinGroups)
	var err error
	select {
	case serveErr := <-serveErrors:
		err = errors.Wrap(serveErr, "serve")
	case <-ctx.Done():
		if !errors.Is(context.Cause(ctx), ErrKilled) {
			n.transferLeadership()
		}
	}
	n.shutDown(internal, operators)
	return err
}

// headerTimeout bounds how long a server waits for the headers of a request.
const headerTimeout = 5 * time.Second

// servers returns the HTTP servers for other processes of the cluster and for operators. Neither is started.
func (n *Node) servers() (internal, operators *http.Server) {
	internalMux := http.NewServeMux()
	internalMux.Handle(rpc.Path, n.rpc)
	operatorMux := http.NewServeMux()
	operatorMux.HandleFunc("POST /-/config/replace", n.configAPI.serveReplace)
	operatorMux.HandleFunc("GET /-/config/get", n.configAPI.serveGet)
	internal = &http.Server{Addr: n.self.Address, Handler: internalMux, ReadHeaderTimeout: headerTimeout}
	operators = &http.Server{Addr: n.settings.Listen.Control, Handler: operatorMux, ReadHeaderTimeout: headerTimeout}
	return internal, operators
}

// shutDown stops everything that Run and joinGroups started.
func (n *Node) shutDown(internal *http.Server, operators *httpdrain.Server) {
	close(n.stop)
	n.endLifetime()
	n.peers.close() // ends operators' requests that were forwarded to the leader
	finishOperatorCalls(operators)
	_ = internal.Close() // the process ends anyway
	n.rpc.Close()
	n.peers.close() // connections that were opened since the first call
	n.closeGroups()
}

// operatorCallTimeout bounds how long a stopping node waits for pending requests of operators.
const operatorCallTimeout = 300 * time.Millisecond

// finishOperatorCalls waits until the responses to pending requests of operators are sent, for at most
// operatorCallTimeout, and closes the operators' server.
func finishOperatorCalls(operators *httpdrain.Server) {
	_ = operators.Drain(operatorCallTimeout) // requests that are unfinished are cut by Close; the process ends anyway
	_ = operators.Close()
}

// closeTimeout bounds how long a stopping node waits for its goroutines and its disk.
const closeTimeout = 300 * time.Millisecond

// closeGroups waits for the node's goroutines and closes its replicas. It returns after at most
// closeTimeout, even if the disk hangs: everything that a replica has acknowledged is already on disk.
func (n *Node) closeGroups() {
	closed := make(chan struct{})
	go func() { // may outlive Run if a disk hangs
		defer close(closed)
		n.tasks.Wait()
		if !n.replicasRunning.Load() {
			return
		}
		for _, g := range n.groups {
			g.Close()
		}
	}()
	select {
	case <-closed:
	case <-time.After(closeTimeout):
	}
}

// Reload applies changed settings. Only the seeds can change while the node runs; Reload ignores all other
// changes. It may be called concurrently with Run.
func (n *Node) Reload(settings settings.Settings) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.settings.Seeds = settings.Seeds
}

// seeds returns the current addresses of the seeds.
func (n *Node) seeds() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.settings.SeedAddresses()
}
