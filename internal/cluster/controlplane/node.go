// Package controlplane assembles a control-plane node, the process that deploy files call a core: its
// replicas of the configuration's group and of the shards' groups, the schedulers of the shards that
// it leads, the reader of the platform's runner list, and the operators' API.
//
// Files are named by role: node.go (assembly and life cycle), groups.go (replica groups), handler.go
// (messages of other processes), shardloop.go and runnerclient.go (scheduling and orders),
// runnerlist.go (the platform's list), configapi.go, join.go (membership), recovery.go (a disk
// that can't be read), identity.go, peers.go (connections to other nodes).
//
// A process makes one Node by New and calls Run once; package daemon does both. The decisions are made
// by packages leader and scheduler, which do no I/O: this package has the sockets, disks, clocks and
// goroutines around them.
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
	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/settings"
)

// commandsByRPC is the one supported value of the setting that says how runners get their orders.
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
	damageCause      error // why the state on disk can't be used; nil: it can

	replicasRunning atomic.Bool
	stop            chan struct{}   // closed when the node stops
	lifetime        context.Context // ends when the node stops; bounds calls to runners and platform
	endLifetime     context.CancelFunc
	tasks           sync.WaitGroup // the goroutines that Run started, directly or not

	// mu guards settings.Seeds, which Reload replaces: read them by seeds. All other settings stay as New
	// got them, but Bootstrap, which recoverDataDir clears before anything else runs.
	mu sync.Mutex
}

// New opens a node's state on disk. It does not serve yet. Where the state is damaged New succeeds all
// the same, and Run tries to recover. It returns an error where the settings name no data folder, or
// of the file system.
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

// clockOrigin keeps the node's clock above zero from its start, whatever is subtracted from it.
const clockOrigin = time.Hour

// now is the node's monotonic clock.
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
	runners.limitDescriptors(n.settings.Limits.MaxFDs)
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
	n.shards = shards // last: the callbacks of opening groups find no shard that is not set up
	return nil
}

// updateShardConfigs passes a configuration that was applied to the shards.
func (n *Node) updateShardConfigs(config *opconfig.Config) {
	for _, loop := range n.shards {
		loop.shard.UpdateConfig(config)
	}
}

// ErrKilled is the cause of a context that ends Run without a transfer of leadership, as if the process
// were killed: for clusters within one process, which can't kill a part of it.
var ErrKilled = errors.New("the node is killed")

// Run serves until the context ends, and then transfers the leadership of this node's groups to other
// nodes. It returns once the goroutines that it started have ended, or closeTimeout after the transfer.
// It returns an error where it can't listen, or where damaged state can't be set aside. It is called
// once.
func (n *Node) Run(ctx context.Context) error {
	if err := n.recoverDataDir(ctx); err != nil {
		return err
	}
	if n.damageCause != nil {
		return nil // the context ended before the disk could be used
	}
	internal, operators := n.servers()
	serveErrors := make(chan error, 2) // has room for both, so that neither goroutine waits for a reader
	for _, server := range []*http.Server{internal, operators} {
		n.tasks.Go(func() { serveErrors <- server.ListenAndServe() })
	}
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

// headerTimeout bounds how long a server waits for a request's header.
const headerTimeout = 5 * time.Second

// servers returns the server of other processes and that of operators; neither serves yet.
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

// shutDown stops everything that Run and joinGroups have started.
func (n *Node) shutDown(internal, operators *http.Server) {
	close(n.stop)
	n.endLifetime()
	n.peers.close() // ends the calls of operators that were passed on
	answerOperators(operators)
	_ = internal.Close() // an error of a listener's close: the process ends anyway
	n.rpc.Close()
	n.peers.close() // what was opened since
	n.closeGroups()
}

// answerTimeout bounds how long a stopping node takes to answer the operators' calls that wait.
const answerTimeout = 300 * time.Millisecond

// answerOperators lets the calls that are under way have their answers, and closes the operators' server.
func answerOperators(operators *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	if operators.Shutdown(ctx) != nil {
		_ = operators.Close() // what has no answer by now is cut: the process ends anyway
	}
}

// closeTimeout bounds how long a stopping node waits for its goroutines and its disk.
const closeTimeout = 300 * time.Millisecond

// closeGroups waits for the node's goroutines and closes its replicas, for closeTimeout at most: what a
// replica has acknowledged is on disk already, so that nothing depends on a disk that hangs.
func (n *Node) closeGroups() {
	closed := make(chan struct{})
	go func() { // may outlive Run where a disk hangs
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

// Reload applies settings that have changed. Only the seeds can change while the node runs: all other
// changes are ignored. It may be called concurrently with Run.
func (n *Node) Reload(settings settings.Settings) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.settings.Seeds = settings.Seeds
}

// seeds returns the addresses of the seeds as they are now.
func (n *Node) seeds() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.settings.SeedAddresses()
}
