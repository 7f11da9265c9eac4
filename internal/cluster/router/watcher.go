package router

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/shared/saturating"
)

// Watcher keeps a dispatcher's View up to date. Its watch requests go to the leader of the configuration's
// group, and each response of that leader extends the time for which the dispatcher may act on the view. The
// watcher also records the leaders of the shards. Its methods may be called concurrently.
type Watcher struct {
	node     string
	validFor time.Duration // how long a view may be acted on after it was confirmed
	log      *slog.Logger

	mu           sync.Mutex
	view         *View         // nil: none yet
	confirmedAt  time.Duration // latest time at which the view was known to be the newest
	seeds        []string      // addresses from the settings
	nodes        []string      // addresses of known control-plane nodes, including the seeds
	configLeader string        // address; empty: unknown
	shardLeaders []string      // addresses, by shard; empty: unknown
	turn         int           // round-robin index into nodes, for requests whose leader is unknown
	unresponsive unresponsiveNodes
}

const (
	// maxWatchWait is the longest time for which a leader holds a watch request while nothing changes.
	maxWatchWait = 500 * time.Millisecond
	// watchesPerValidity is how many watch requests fit into the time for which a view stays valid, so that
	// one late response doesn't make the view invalid.
	watchesPerValidity = 3
	// applySlack is how long before the limit on applying a new configuration a view becomes invalid. The
	// slack is at most the limit divided by slackDivisor.
	applySlack   = 350 * time.Millisecond
	slackDivisor = 4
	// heldFraction is the part that counts of the time for which a leader reports that it held a watch
	// request: the leader's clock may run fast by 2%.
	heldFraction = 0.98
)

// NewWatcher returns a watcher without a view. applyWithin is the deployment's limit on how long a
// dispatcher may act on an old configuration after a new one was committed. A view may be acted on for
// nearly that long after the leader last read its version for a response, since no newer version can have
// been committed before that read.
func NewWatcher(node string, seeds []string, applyWithin time.Duration, log *slog.Logger) *Watcher {
	return &Watcher{
		node: node, validFor: applyWithin - min(applySlack, applyWithin/slackDivisor), log: log,
		seeds: seeds, nodes: slices.Clone(seeds), shardLeaders: make([]string, protocol.ShardCount),
		unresponsive: unresponsiveNodes{},
	}
}

// NextRequest returns the next watch request and the address to send it to: the configuration's leader,
// unless that is unknown or was unresponsive recently, else another node. Other nodes may continue to name
// an unresponsive leader until they have elected a new one.
func (w *Watcher) NextRequest(now time.Duration) (address string, request protocol.WatchRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	request = protocol.WatchRequest{Node: w.node, WaitMs: min(maxWatchWait, w.validFor/watchesPerValidity).Milliseconds()}
	if w.view != nil {
		request.Have = w.view.Config.Version
	}
	if w.configLeader != "" && !w.unresponsive.avoided(w.configLeader, now) {
		return w.configLeader, request
	}
	return w.unresponsive.next(w.nodes, &w.turn, now), request
}

// RequestFailed records that a watch request that was sent at sentAt had no response.
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

// HandleResponse applies the response to a watch request that was sent at sentAt. It reports whether the
// configuration's leader responded; if not, the caller sends the next request after a pause.
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

// redirect sets the configuration's leader to the one that a node named. If the node named none, or itself,
// the leader is unknown, and the next request goes to the next node.
func (w *Watcher) redirect(leader, namedBy string) {
	w.configLeader = leader
	if leader == "" || leader == namedBy {
		w.configLeader = ""
		w.turn++
	}
}

// union returns the addresses of both lists, sorted and without duplicates.
func union(a, b []string) []string {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}

// apply applies a response of the configuration's leader.
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
		held := saturating.Duration(heldFraction * float64(response.HeldMs) * float64(time.Millisecond))
		w.confirmedAt = max(w.confirmedAt, sentAt+held)
	}
}

// install replaces the view by the configuration in the response. It returns false and keeps the view if
// that configuration can't be decoded or is older.
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

// Current returns the view, and whether it may be acted on. It may be if it was confirmed as the newest so
// recently that a newer one is still within the deployment's limit (see NewWatcher).
func (w *Watcher) Current(now time.Duration) (view *View, valid bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view, w.view != nil && now-w.confirmedAt < w.validFor
}

// LeaderOf returns the address to which requests for a shard are to be sent: that of the shard's leader if
// that is known and wasn't unresponsive recently, else those of the nodes in round-robin order.
func (w *Watcher) LeaderOf(shard int, now time.Duration) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if leader := w.shardLeaders[shard]; leader != "" && !w.unresponsive.avoided(leader, now) {
		return leader
	}
	w.turn++
	return w.unresponsive.next(w.nodes, &w.turn, now)
}

// UpdateLeader records that the node at address named leader as the shard's leader. If leader is empty, the
// node isn't the leader and knows none.
func (w *Watcher) UpdateLeader(shard int, address, leader string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unresponsive.recordResponse(address)
	w.updateLeader(shard, address, leader)
}

// LeaderUnresponsive records that a request to a shard's leader that was sent at sentAt had no response.
func (w *Watcher) LeaderUnresponsive(shard int, address string, sentAt, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unresponsive.recordFailure(address, sentAt, now)
	w.updateLeader(shard, address, "")
}

// LeaderResponded records that a node has responded to a request as the shard's leader. The node is no longer
// avoided, even if another request to it had no response.
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

// UpdateSeeds replaces the seeds after they have changed in the settings.
func (w *Watcher) UpdateSeeds(seeds []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seeds = seeds
	w.nodes = union(w.nodes, seeds)
}
