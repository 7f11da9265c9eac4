package controlplane

import (
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/group"
	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
	"basaltloft/internal/cluster/protocol"
)

// timing is the Raft timing of all groups. A follower's minimum election timeout exceeds the leader's lease
// by more than any clock drift, so that no two leaders hold a lease at the same time.
var timing = replica.Timing{
	HeartbeatInterval:  100 * time.Millisecond,
	LeaseDuration:      420 * time.Millisecond,
	MinElectionTimeout: 520 * time.Millisecond,
	ElectionJitter:     260 * time.Millisecond,
}

// Sizes of each group's log on disk.
const (
	segmentBytes           = 1 << 20
	segments               = 4
	snapshotThresholdBytes = 2 << 20 // size of the log since the last snapshot that triggers a new one
)

// openGroups opens the replicas of all groups concurrently, because opening one waits for the disk several
// times. If some replicas can't be opened, it returns an error, and n.groups contains the others.
func (n *Node) openGroups(stateMachines map[string]group.StateMachine) error {
	type result struct {
		group *group.Group
		err   error
	}
	names := slices.Sorted(maps.Keys(stateMachines))
	results := make([]result, len(names))
	var opening sync.WaitGroup
	for i, name := range names {
		opening.Go(func() { results[i].group, results[i].err = n.openGroup(name, stateMachines[name]) })
	}
	opening.Wait()
	var openErr error
	for i, name := range names {
		if results[i].err != nil {
			openErr = errors.CombineErrors(openErr, errors.Wrapf(results[i].err, "open group %s", name))
			continue
		}
		n.groups[name] = results[i].group
	}
	return openErr
}

// openGroup opens the replica of one group. Each group has its own folder in the data folder.
func (n *Node) openGroup(name string, stateMachine group.StateMachine) (*group.Group, error) {
	settings := group.Settings{
		Name:                   name,
		Self:                   n.self,
		Timing:                 timing,
		VoterCount:             2*n.settings.FaultTolerance.Machines + 1,
		Seed:                   rand.Uint64(),
		SnapshotThresholdBytes: snapshotThresholdBytes,
	}
	storage := group.Storage{
		Files:  ringlog.OSFileSystem{},
		Folder: filepath.Join(n.settings.DataDir, name),
		Sizes:  ringlog.Sizes{SegmentBytes: segmentBytes, Segments: segments},
	}
	environment := group.Environment{StateMachine: stateMachine, Transport: n.peers, Clock: n.now, Logger: n.log}
	return group.Open(settings, storage, environment)
}

// startReplicas starts all replicas, the loops of the shards, the reader of the runner list and the load
// reports. Only the first call has an effect.
func (n *Node) startReplicas() {
	if n.replicasRunning.Swap(true) {
		return
	}
	for _, g := range n.groups {
		g.Run()
	}
	for _, loop := range n.shards {
		n.tasks.Go(loop.run)
	}
	n.tasks.Go(n.runnerListReader.run)
	n.tasks.Go(n.reportLoad)
}

// receive passes a message to this node's replica of the group. It discards messages for unknown groups and
// those that arrive before the replicas run.
func (n *Node) receive(message replica.Message) {
	if g := n.groups[message.Group]; g != nil && n.replicasRunning.Load() {
		g.Receive(message)
	}
}

// shardLeaders returns the address of each shard's leader, indexed by shard; empty for an unknown leader.
func (n *Node) shardLeaders() []string {
	var addresses []string
	for number := range n.shards {
		addresses = append(addresses, n.groups[protocol.ShardGroup(number)].Leader().Address)
	}
	return addresses
}

// nodeAddresses returns the internal addresses of the control-plane nodes that are members of the
// configuration's group.
func (n *Node) nodeAddresses() []string {
	var addresses []string
	for _, member := range n.configGroup.Membership().AllMembers() {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

const (
	// transferTimeout bounds how long a stopping node waits for other nodes to take over its leaderships
	// and votes.
	transferTimeout = 1500 * time.Millisecond
	// transferPollInterval is the interval at which it checks whether they have done so.
	transferPollInterval = 50 * time.Millisecond
)

// transferLeadership prepares a planned stop. It transfers the leadership of this node's groups, which
// avoids elections. It also asks the groups to replace this node as a voter by a learner where there is
// one, so that they tolerate another failure immediately. It returns when both are done, or after
// transferTimeout.
func (n *Node) transferLeadership() {
	if !n.replicasRunning.Load() {
		return
	}
	for _, g := range n.groups {
		g.TransferLeadership()
	}
	deadline := time.Now().Add(transferTimeout)
	for time.Now().Before(deadline) {
		canGiveUpVote := n.sendLeaveNotices() // repeated in each iteration because notices may be lost
		if !canGiveUpVote && !n.leadsAnyGroup() {
			return
		}
		time.Sleep(transferPollInterval)
	}
}

// leadsAnyGroup reports whether this node is the leader of any group, with or without a lease.
func (n *Node) leadsAnyGroup() bool {
	for _, g := range n.groups {
		if g.Leader().ID == n.self.ID {
			return true
		}
	}
	return false
}
