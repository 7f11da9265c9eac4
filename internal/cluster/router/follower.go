// Package router decides for an edge process: which configuration it may go by, whom it
// asks for a shard, what it asks to serve a client's request, and what an answer is worth.
// It does no I/O and keeps no clock; package dataplane drives it.
package router

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
)

// View is what an edge goes by. It is replaced as a whole, never changed.
type View struct {
	Config           *opconfig.Config
	ServiceHistories map[string]opconfig.ServiceHistory // queues that were sent to several services
}

// services lists where a queue's jobs may be: the present service first, then earlier ones.
func (v *View) services(route *opconfig.Route) []string {
	services := []string{route.Backend}
	earlier := v.ServiceHistories[route.Queue()].Services
	for at := len(earlier) - 1; at >= 0; at-- {
		if earlier[at] != route.Backend {
			services = append(services, earlier[at])
		}
	}
	return services
}

// shards lists the shards where a queue's jobs may be, each once, the present one first.
func (v *View) shards(route *opconfig.Route) []int {
	var numbers []int
	for _, service := range v.services(route) {
		if shard := protocol.ShardOf(service); !slices.Contains(numbers, shard) {
			numbers = append(numbers, shard)
		}
	}
	return numbers
}

// Watcher keeps an edge's view up to date: it tails the owner of the configuration, which
// renews the edge's right to go by its view with each answer. It also knows who owns which
// shard. Its methods may be called concurrently.
type Watcher struct {
	node  string
	fresh time.Duration // how long a view that was confirmed may be gone by
	log   *slog.Logger

	mu        sync.Mutex
	view      *View
	confirmed time.Duration // the view was the newest then, by its owner's answer
	seeds     []string
	cores     []string
	leader    string
	owners    []string // by shard; empty: not known
	turn      int
	silences  silences
}

const (
	feedWait     = 500 * time.Millisecond // at the most
	feedParts    = 3                      // a view that may be gone by for so long is asked for so often
	confirmSlack = 350 * time.Millisecond // under the bound on a configuration's way
	slackParts   = 4                      // but no more than this part of it
	heldPart     = 0.98                   // of the time that an owner says it held a question: its clock may run fast
)

// NewWatcher returns a follower without a view. A view may be gone by until the bound on a
// configuration's way is nearly over after its owner read it for the last answer: no newer one
// has then been in force for longer.
func NewWatcher(node string, seeds []string, applyWithin time.Duration, log *slog.Logger) *Watcher {
	fresh := applyWithin - min(confirmSlack, applyWithin/slackParts)
	return &Watcher{node: node, fresh: fresh, log: log, seeds: seeds, cores: slices.Clone(seeds), owners: make([]string, protocol.ShardCount), silences: silences{}}
}

// NextRequest returns whom to ask for the configuration, and what: the owner, unless it was silent a
// short while ago. The others may go on naming it until they have a new one.
func (f *Watcher) NextRequest(now time.Duration) (target string, feed protocol.WatchRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	feed = protocol.WatchRequest{Node: f.node, WaitMs: min(feedWait, f.fresh/feedParts).Milliseconds()}
	if f.view != nil {
		feed.Have = f.view.Config.Version
	}
	if f.leader != "" && !f.silences.lately(f.leader, now) {
		return f.leader, feed
	}
	return f.silences.next(f.cores, &f.turn, now), feed
}

// RequestFailed tells that a target did not answer a question that was sent at a time.
func (f *Watcher) RequestFailed(target string, asked, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silences.note(target, asked, now)
	f.leader = ""
	f.turn++
	for at, owner := range f.owners {
		if owner == target {
			f.owners[at] = ""
		}
	}
}

// HandleResponse takes in a target's answer to a question that was sent at a time. It tells whether
// the target led; else another is to be asked after a pause.
func (f *Watcher) HandleResponse(target string, asked time.Duration, answer protocol.WatchResponse) (led bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silences.end(target)
	f.takeCores(answer)
	if !answer.Leads {
		f.follow(answer.Leader, target)
		return false
	}
	f.take(asked, answer)
	return true
}

// follow goes to the owner that another core process named.
func (f *Watcher) follow(leader, from string) {
	f.leader = leader
	if leader == "" || leader == from {
		f.leader = ""
		f.turn++
	}
}

func (f *Watcher) takeCores(answer protocol.WatchResponse) {
	if len(answer.Cores) > 0 {
		f.cores = distinct(answer.Cores, f.seeds)
	}
}

func distinct(one, other []string) []string {
	all := append(slices.Clone(one), other...)
	slices.Sort(all)
	return slices.Compact(all)
}

func (f *Watcher) take(asked time.Duration, answer protocol.WatchResponse) {
	f.leader = answer.Leader
	for at, owner := range answer.Owners {
		if owner != "" && at < len(f.owners) {
			f.owners[at] = owner
		}
	}
	if len(answer.Content) > 0 && !f.install(answer) {
		return
	}
	if f.view != nil && answer.Version >= f.view.Config.Version {
		held := time.Duration(heldPart * float64(answer.HeldMs) * float64(time.Millisecond))
		f.confirmed = max(f.confirmed, asked+held)
	}
}

// install replaces the view by a newer one.
func (f *Watcher) install(answer protocol.WatchResponse) bool {
	config, err := opconfig.Decode(answer.Content)
	if err != nil {
		f.log.Error("the configuration can't be read: this program is older than the core's", "error", err)
		return false
	}
	if f.view != nil && config.Version < f.view.Config.Version {
		return false
	}
	f.view = &View{Config: config, ServiceHistories: answer.Moved}
	f.log.Info("a configuration is in force", "version", config.Version)
	return true
}

// Current returns the view, if it may be acted on: it was confirmed to be the newest a short
// while ago, so that no newer one has been in force for longer than the deployment allows.
func (f *Watcher) Current(now time.Duration) (*View, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.view != nil && now-f.confirmed < f.fresh
}

// LeaderOf returns whom to ask for a shard: its owner as far as is known, or each core process
// by turns. One that was silent a short while ago is passed by.
func (f *Watcher) LeaderOf(shard int, now time.Duration) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if owner := f.owners[shard]; owner != "" && !f.silences.lately(owner, now) {
		return owner
	}
	f.turn++
	return f.silences.next(f.cores, &f.turn, now)
}

// UpdateLeader notes what an answer said of a shard's owner; nothing: the one that was asked does
// not own it.
func (f *Watcher) UpdateLeader(shard int, asked, owner string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silences.end(asked)
	f.correct(shard, asked, owner)
}

// LeaderUnresponsive notes that a shard's owner left a question without an answer.
func (f *Watcher) LeaderUnresponsive(shard int, owner string, asked, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silences.note(owner, asked, now)
	f.correct(shard, owner, "")
}

func (f *Watcher) correct(shard int, asked, owner string) {
	switch {
	case owner != "" && owner != asked:
		f.owners[shard] = owner
	case f.owners[shard] == asked:
		f.owners[shard] = ""
	}
}

// UpdateSeeds takes in new seeds.
func (f *Watcher) UpdateSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
	f.cores = distinct(f.cores, seeds)
}
