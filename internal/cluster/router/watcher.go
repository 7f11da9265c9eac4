package router

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
)

// Watcher keeps a dispatcher's View up to date: it watches the configuration's leader, each of
// whose responses renews the dispatcher's right to act on the view. It also knows the leaders of
// the shards. Its methods may be called concurrently.
type Watcher struct {
	node     string
	validFor time.Duration // how long a view may be acted on after its confirmation
	log      *slog.Logger

	mu           sync.Mutex
	view         *View         // nil: none yet
	confirmedAt  time.Duration // when the view was the newest for certain
	seeds        []string      // addresses from the settings
	nodes        []string      // addresses of control-plane nodes that are known, with the seeds
	configLeader string        // address; empty: unknown
	shardLeaders []string      // addresses, by shard; empty: unknown
	turn         int           // of nodes, for requests whose addressee is unknown
	unresponsive unresponsiveNodes
}

const (
	// longestWatchWait bounds how long a leader holds a watch request until there is a change.
	longestWatchWait = 500 * time.Millisecond
	// watchesPerValidity is how many watch requests fit into the time that a view stays valid, so
	// that one late response does not make it invalid.
	watchesPerValidity = 3
	// applySlack is by how much a view's validity ends before the bound on how late a new
	// configuration may be applied, and slackDivisor limits it to that part of the bound.
	applySlack   = 350 * time.Millisecond
	slackDivisor = 4
	// heldShare is the part that counts of the time for which a leader says it held a watch
	// request: its clock may run fast by 2%.
	heldShare = 0.98
)

// NewWatcher returns a watcher without a view. applyWithin is the deployment's bound on how late
// a new configuration is applied: a view may be acted on until nearly that long after the leader
// read it for the last response, since no newer one has then been in force for longer.
func NewWatcher(node string, seeds []string, applyWithin time.Duration, log *slog.Logger) *Watcher {
	return &Watcher{
		node: node, validFor: applyWithin - min(applySlack, applyWithin/slackDivisor), log: log,
		seeds: seeds, nodes: slices.Clone(seeds), shardLeaders: make([]string, protocol.ShardCount),
		unresponsive: unresponsiveNodes{},
	}
}

// NextRequest returns the next watch request and the address to send it to: the configuration's
// leader, unless that was unresponsive a short while ago. Other nodes may go on naming it until
// they have elected another.
func (w *Watcher) NextRequest(now time.Duration) (address string, request protocol.WatchRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	request = protocol.WatchRequest{Node: w.node, WaitMs: min(longestWatchWait, w.validFor/watchesPerValidity).Milliseconds()}
	if w.view != nil {
		request.Have = w.view.Config.Version
	}
	if w.configLeader != "" && !w.unresponsive.avoided(w.configLeader, now) {
		return w.configLeader, request
	}
	return w.unresponsive.next(w.nodes, &w.turn, now), request
}

// RequestFailed records that a watch request, sent at the given time, had no response.
func (w *Watcher) RequestFailed(address string, sentAt, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unresponsive.recordFailure(address, sentAt, now)
	w.configLeader = ""
	w.turn++
	for shard, leader := range w.shardLeaders {
		if leader == address {
			w.shardLeaders[shard] = ""
		}
	}
}

// HandleResponse applies the response to a watch request that was sent at the given time. It
// returns whether the configuration's leader responded; if not, the next request is to be sent
// after a pause.
func (w *Watcher) HandleResponse(address string, sentAt time.Duration, response protocol.WatchResponse) (isLeader bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unresponsive.recordResponse(address)
	if len(response.Cores) > 0 {
		w.nodes = union(response.Cores, w.seeds)
	}
	if !response.Leads {
		w.redirect(response.Leader, address)
		return false
	}
	w.apply(sentAt, response)
	return true
}

// redirect takes over the leader's address that another node named, if it named another one.
func (w *Watcher) redirect(leader, namedBy string) {
	w.configLeader = leader
	if leader == "" || leader == namedBy {
		w.configLeader = ""
		w.turn++
	}
}

// union returns the addresses of both lists, sorted, each once.
func union(one, other []string) []string {
	all := append(slices.Clone(one), other...)
	slices.Sort(all)
	return slices.Compact(all)
}

// apply applies the leader's response.
func (w *Watcher) apply(sentAt time.Duration, response protocol.WatchResponse) {
	w.configLeader = response.Leader
	for shard, leader := range response.Owners {
		if leader != "" && shard < len(w.shardLeaders) {
			w.shardLeaders[shard] = leader
		}
	}
	if len(response.Content) > 0 && !w.install(response) {
		return
	}
	if w.view != nil && response.Version >= w.view.Config.Version {
		held := time.Duration(heldShare * float64(response.HeldMs) * float64(time.Millisecond))
		w.confirmedAt = max(w.confirmedAt, sentAt+held)
	}
}

// install replaces the view, and returns false where the response has none that could replace it.
func (w *Watcher) install(response protocol.WatchResponse) bool {
	config, err := opconfig.Decode(response.Content)
	if err != nil {
		w.log.Error("configuration not readable: this build is older than the control plane's", "error", err)
		return false
	}
	if w.view != nil && config.Version < w.view.Config.Version {
		return false
	}
	w.view = &View{Config: config, ServiceHistories: response.Moved}
	w.log.Info("configuration in force", "version", config.Version)
	return true
}

// Current returns the view, and whether it may be acted on: it was the newest so short a while
// ago that no newer one has been in force for longer than the deployment allows.
func (w *Watcher) Current(now time.Duration) (view *View, valid bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view, w.view != nil && now-w.confirmedAt < w.validFor
}

// LeaderOf returns the address to ask for a shard: its leader's, if that is known and was not
// unresponsive a short while ago, else that of each node in turn.
func (w *Watcher) LeaderOf(shard int, now time.Duration) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if leader := w.shardLeaders[shard]; leader != "" && !w.unresponsive.avoided(leader, now) {
		return leader
	}
	w.turn++
	return w.unresponsive.next(w.nodes, &w.turn, now)
}

// UpdateLeader records the shard's leader that the node at an address named; empty: that node is
// not the leader and knows none.
func (w *Watcher) UpdateLeader(shard int, address, leader string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unresponsive.recordResponse(address)
	w.updateLeader(shard, address, leader)
}

// LeaderUnresponsive records that a request to a shard's leader, sent at the given time, had no
// response.
func (w *Watcher) LeaderUnresponsive(shard int, address string, sentAt, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unresponsive.recordFailure(address, sentAt, now)
	w.updateLeader(shard, address, "")
}

// LeaderResponded records that a node has responded to a request as the shard's leader: it is not avoided
// any more, even where another request to it had no response.
func (w *Watcher) LeaderResponded(shard int, address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unresponsive.recordResponse(address)
	w.shardLeaders[shard] = address
}

func (w *Watcher) updateLeader(shard int, address, leader string) {
	switch {
	case leader != "" && leader != address:
		w.shardLeaders[shard] = leader
	case w.shardLeaders[shard] == address:
		w.shardLeaders[shard] = ""
	}
}

// UpdateSeeds applies seeds that have changed in the settings.
func (w *Watcher) UpdateSeeds(seeds []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seeds = seeds
	w.nodes = union(w.nodes, seeds)
}
