// Package dataplane assembles an edge process: it takes clients' requests, finds the route in
// the newest configuration, and passes them to the owner of the service's shard. It keeps no
// promise of its own.
package dataplane

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft/coord/rpc"
	"basaltloft/internal/boot"
	"basaltloft/internal/opconfig"
	"basaltloft/internal/protocol"
)

// view is what an edge goes by. It is replaced as a whole, never changed.
type view struct {
	config   *opconfig.Config
	backends map[string][]string // earlier services of queues, oldest first
}

// follower keeps an edge's view up to date: it tails the owner of the configuration, which
// renews the edge's lease by each answer.
type follower struct {
	settings boot.Settings
	log      *slog.Logger
	clock    func() time.Duration
	view     atomic.Pointer[view]
	stop     chan struct{}

	confirmed atomic.Int64 // when an answer was asked for that named the view as the newest

	mu      sync.Mutex
	clients map[string]*rpc.Client
	cores   []string
	leader  string
	owners  []string // by shard; empty: not known
	turn    int
}

const (
	feedWaitMs   = 500
	feedWithin   = 900 * time.Millisecond
	feedAgain    = 60 * time.Millisecond
	confirmSlack = 350 * time.Millisecond // under the bound on a configuration's way
)

func newFollower(settings boot.Settings, log *slog.Logger, clock func() time.Duration) *follower {
	f := &follower{settings: settings, log: log, clock: clock, stop: make(chan struct{}), clients: map[string]*rpc.Client{}}
	f.owners = make([]string, protocol.Shards)
	f.cores = settings.SeedAddresses()
	return f
}

// run tails the feed until the process ends.
func (f *follower) run() {
	for {
		pause := f.poll()
		select {
		case <-f.stop:
			return
		case <-time.After(pause):
		}
	}
}

// poll asks once and returns how long to wait before the next time.
func (f *follower) poll() time.Duration {
	asked := f.clock()
	have := int64(0)
	if current := f.view.Load(); current != nil {
		have = current.config.Version
	}
	target := f.target()
	ctx, cancel := context.WithTimeout(context.Background(), feedWithin)
	defer cancel()
	got, err := f.client(target).Call(ctx, protocol.Feed{Node: f.settings.NodeName, Have: have, WaitMs: feedWaitMs})
	answer, ok := got.(protocol.FeedAnswer)
	if err != nil || !ok {
		f.turnFrom(target)
		return feedAgain
	}
	f.takeCores(answer)
	if !answer.Leads {
		f.follow(answer.Leader, target)
		return feedAgain
	}
	f.take(answer, asked)
	return 0
}

// target returns the core process to ask: the owner, or each by turns.
func (f *follower) target() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != "" {
		return f.leader
	}
	return f.cores[f.turn%len(f.cores)]
}

func (f *follower) turnFrom(failed string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = ""
	f.turn++
	for at, owner := range f.owners {
		if owner == failed {
			f.owners[at] = ""
		}
	}
}

// follow goes to the owner that another core process named.
func (f *follower) follow(leader, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = leader
	if leader == "" || leader == from {
		f.leader = ""
		f.turn++
	}
}

func (f *follower) takeCores(answer protocol.FeedAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(answer.Cores) == 0 {
		return
	}
	f.cores = append(slices.Clone(answer.Cores), f.settings.SeedAddresses()...)
	slices.Sort(f.cores)
	f.cores = slices.Compact(f.cores)
}

func (f *follower) take(answer protocol.FeedAnswer, asked time.Duration) {
	f.mu.Lock()
	f.leader = answer.Leader
	for at, owner := range answer.Owners {
		if owner != "" && at < len(f.owners) {
			f.owners[at] = owner
		}
	}
	f.mu.Unlock()
	if len(answer.Content) > 0 && !f.install(answer) {
		return
	}
	current := f.view.Load()
	if current == nil || answer.Version < current.config.Version {
		return
	}
	f.confirmed.Store(int64(asked))
}

// install replaces the view by a newer one.
func (f *follower) install(answer protocol.FeedAnswer) bool {
	config, err := opconfig.Read(answer.Content)
	if err != nil {
		f.log.Error("the configuration can't be read: this program is older than the core's", "error", err)
		return false
	}
	if current := f.view.Load(); current != nil && config.Version < current.config.Version {
		return false
	}
	f.view.Store(&view{config: config, backends: answer.Backends})
	f.log.Info("a configuration is in force", "version", config.Version)
	return true
}

// current returns the view, if it may be acted on: it was confirmed to be the newest a short
// while ago, so that no newer one has been in force for longer than the deployment allows.
func (f *follower) current() (*view, bool) {
	v := f.view.Load()
	if v == nil {
		return nil, false
	}
	age := f.clock() - time.Duration(f.confirmed.Load())
	return v, age < time.Duration(f.settings.Bounds.ConfigApplyMs)*time.Millisecond-confirmSlack
}

func (f *follower) client(address string) *rpc.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	client := f.clients[address]
	if client == nil {
		client = rpc.NewClient(address)
		f.clients[address] = client
	}
	return client
}

// owner returns whom to ask for a shard: its owner as far as is known, or each core process
// by turns.
func (f *follower) owner(shard int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if owner := f.owners[shard]; owner != "" {
		return owner
	}
	f.turn++
	return f.cores[f.turn%len(f.cores)]
}

// correct notes what an answer said of a shard's owner.
func (f *follower) correct(shard int, asked, owner string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case owner != "" && owner != asked:
		f.owners[shard] = owner
	case f.owners[shard] == asked:
		f.owners[shard] = ""
	}
}

// reload takes in new seeds.
func (f *follower) reload(settings boot.Settings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings.Seeds = settings.Seeds
	f.cores = append(f.cores, settings.SeedAddresses()...)
	slices.Sort(f.cores)
	f.cores = slices.Compact(f.cores)
}
