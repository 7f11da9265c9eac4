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

// timing of all groups. A follower's minimum election timeout outlasts the leader's lease by more
// than any drift of the clocks, so that no two leaders hold a lease at the same time.
var timing = replica.Timing{
	HeartbeatInterval:  100 * time.Millisecond,
	LeaseDuration:      420 * time.Millisecond,
	MinElectionTimeout: 520 * time.Millisecond,
	ElectionJitter:     260 * time.Millisecond,
}

// Sizes of the groups' logs on disk.
const (
	segmentBytes           = 1 << 20
	segments               = 4
	snapshotThresholdBytes = 2 << 20 // of log since the last snapshot
)

// openGroups opens the groups' replicas concurrently, as each waits for the disk several times. Those
// that could be opened are in n.groups also where it returns an error for others.
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

// openGroup opens the replica of one group, in a folder of its own in the data folder.
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

// startReplicas runs all replicas and what depends on them. Only the first call has an effect.
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

// receive passes a replica's message to its group.
func (n *Node) receive(message replica.Message) {
	if g := n.groups[message.Group]; g != nil && n.replicasRunning.Load() {
		g.Receive(message)
	}
}

// shardLeaders returns the address of each shard's leader as far as it is known here, by shard.
func (n *Node) shardLeaders() []string {
	var addresses []string
	for number := range n.shards {
		addresses = append(addresses, n.groups[protocol.ShardGroup(number)].Leader().Address)
	}
	return addresses
}

// nodeAddresses returns the internal addresses of the control-plane nodes: the members of the
// configuration's group.
func (n *Node) nodeAddresses() []string {
	var addresses []string
	for _, member := range n.configGroup.Membership().AllMembers() {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

const (
	// transferTimeout bounds how long a stopping node waits until other nodes lead its groups.
	transferTimeout = 1500 * time.Millisecond
	// transferPollInterval is how often it checks that meanwhile.
	transferPollInterval = 50 * time.Millisecond
)

// transferLeadership transfers the leadership of this node's groups, so that a planned stop costs no
// election, and its votes where a learner can take them, so that the groups tolerate another loss at
// once. It returns when that is done, or after transferTimeout.
func (n *Node) transferLeadership() {
	if !n.replicasRunning.Load() {
		return
	}
	for _, g := range n.groups {
		g.TransferLeadership()
	}
	deadline := time.Now().Add(transferTimeout)
	for time.Now().Before(deadline) {
		stillVotes := n.sendLeaveNotices() // sent again in each round: a notice may be lost
		if !stillVotes && !n.leadsAnyGroup() {
			return
		}
		time.Sleep(transferPollInterval)
	}
}

// leadsAnyGroup reports whether this node is known as the leader of a group, with a lease or without.
func (n *Node) leadsAnyGroup() bool {
	for _, g := range n.groups {
		if g.Leader().ID == n.self.ID {
			return true
		}
	}
	return false
}
