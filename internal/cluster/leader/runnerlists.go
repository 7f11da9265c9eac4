package leader

import (
	"reflect"
	"slices"
	"time"

	"basaltloft/internal/cluster/protocol"
)

// listResendInterval is how often a list of runners that has not changed is sent to other nodes.
const listResendInterval = 3 * time.Second

// RunnerLists decides which lists of runners a node uses, and which it sends to other nodes while it leads
// the configuration's group and reads the platform's list. The zero value is that of a new node. It must not
// be used concurrently.
type RunnerLists struct {
	epoch      uint64              // epoch of this node's leadership; 0: it is not the leader
	sequence   uint64              // sequence number of the last list that this node has read
	newest     protocol.RunnerList // the newest list that was read or received
	lastSent   time.Duration       // when a list was last sent in this epoch; 0: none was
	applicants Applicants
}

// SetEpoch sets the epoch of this node's leadership of the configuration's group; 0: it is not the leader.
func (l *RunnerLists) SetEpoch(epoch uint64) {
	l.epoch = epoch
	l.lastSent = 0
}

// Epoch returns the epoch of this node's leadership; 0: it is not the leader.
func (l *RunnerLists) Epoch() uint64 { return l.epoch }

// Newest returns the newest list that was read or received.
func (l *RunnerLists) Newest() protocol.RunnerList { return l.newest }

// Read records a list that this node has read, beginning in the given epoch. send reports whether the
// list has to be sent to the other nodes, that is, if it has changed or none was sent for
// listResendInterval. A list is dropped, and ok is false, if the epoch has ended since the read began:
// another node may have read a newer one.
func (l *RunnerLists) Read(now time.Duration, epoch uint64, runners []protocol.Runner) (list protocol.RunnerList, send, ok bool) {
	if epoch == 0 || epoch != l.epoch {
		return protocol.RunnerList{}, false, false
	}
	l.sequence++
	list = protocol.RunnerList{Epoch: epoch, Sequence: l.sequence, List: runners}
	send = l.lastSent == 0 || now-l.lastSent > listResendInterval || !reflect.DeepEqual(runners, l.newest.List)
	if send {
		l.lastSent = now
	}
	l.Accept(list)
	return list, send, true
}

// Accept records a list unless there is one that is as new or newer. It reports whether it did.
func (l *RunnerLists) Accept(list protocol.RunnerList) bool {
	if !list.NewerThan(l.newest) {
		return false
	}
	l.newest = list
	return true
}

// JoinRequested records that a node requested to join a group. If that node has sent no request recently
// and this node has read a list as the leader, it returns that list, which has to be sent to the other
// node immediately: shards that the other node leads start no tasks before they have a list.
func (l *RunnerLists) JoinRequested(now time.Duration, address string) (list protocol.RunnerList, send bool) {
	isNew := l.applicants.Requested(now, address)
	return l.newest, isNew && l.epoch != 0 && l.newest.Epoch == l.epoch
}

// Recipients returns the addresses to which lists are sent: those of the other nodes, and of the nodes
// that recently requested to join a group.
func (l *RunnerLists) Recipients(now time.Duration, nodes []string) []string {
	addresses := slices.Clone(nodes)
	for _, address := range l.applicants.Addresses(now) {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
