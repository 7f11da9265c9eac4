package leader

import (
	"log/slog"
	"sync"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/scheduler"
)

// Clocks are a process's clocks.
type Clocks struct {
	Monotonic func() time.Duration // since a fixed time before the process started
	UnixMs    func() int64         // time of day
}

// Shard is a node's replica of one shard's jobs and, while the node leads the shard's group, their
// scheduler. It implements group.StateMachine. Its methods may be called concurrently.
//
// The node calls RunCycle at intervals and whenever the wake callback was called. It sends the orders
// that RunCycle returns and passes each reply to OrderReplied.
type Shard struct {
	number int
	config scheduler.Config
	group  Group
	clocks Clocks
	log    *slog.Logger
	wake   func() // called when RunCycle has something to do; must not block

	mu              sync.Mutex
	store           *job.Store
	scheduler       *scheduler.Scheduler // nil: this process does not lead the group
	shedder         *loadShedder
	runners         []scheduler.Runner // of this shard's services
	operatorConfig  *opconfig.Config   // nil: none yet
	clientCommands  []clientCommand    // for the next batch
	batchesInFlight int                // proposed under scheduler and not yet committed
}

// NewShard returns a replica without jobs. wake is called whenever RunCycle has something to do; it
// must neither block nor call the shard.
func NewShard(number int, config scheduler.Config, clocks Clocks, wake func(), log *slog.Logger) *Shard {
	store := job.NewStore()
	return &Shard{number: number, config: config, clocks: clocks, wake: wake, log: log.With("shard", number), store: store, shedder: newLoadShedder(0, store, log)}
}

// SetGroup sets the replica's group. It must be called once, before any method other than those of
// group.StateMachine.
func (s *Shard) SetGroup(replicaGroup Group) { s.group = replicaGroup }

// UpdateRunners replaces the runners by those of the platform's list that serve this shard's services.
func (s *Shard) UpdateRunners(list []protocol.Runner) {
	var runners []scheduler.Runner
	for _, r := range list {
		if protocol.ShardOf(r.Service) != s.number {
			continue
		}
		runners = append(runners, scheduler.Runner{
			ID:          r.ID,
			Service:     r.Service,
			Address:     r.Address,
			Labels:      r.Labels,
			Capacity:    r.Capacity,
			Draining:    r.Draining,
			RemainingMs: r.RemainingMs,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runners = runners
	if s.scheduler != nil {
		s.scheduler.UpdateRunners(s.clocks.Monotonic(), runners)
		s.wake()
	}
}

// UpdateConfig replaces the operator's configuration; nil: there is none.
func (s *Shard) UpdateConfig(config *opconfig.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operatorConfig = config
}
