package group_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/group"
	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
	"basaltloft/coord/simdisk"
)

var timing = replica.Timing{HeartbeatInterval: 5 * time.Millisecond, LeaseDuration: 40 * time.Millisecond, MinElectionTimeout: 60 * time.Millisecond, ElectionJitter: 40 * time.Millisecond}

// commandList is a state machine whose state is the list of all commands.
type commandList struct {
	mu           sync.Mutex
	commands     []string
	becameLeader chan uint64
}

func (w *commandList) Apply(_ uint64, command []byte) (any, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commands = append(w.commands, string(command))
	return len(w.commands), nil
}

func (w *commandList) Digest() uint64 { return uint64(w.len()) }

func (w *commandList) Snapshot() ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var content []byte
	for _, command := range w.commands {
		content = append(append(content, command...), '\n')
	}
	return append(content, '.'), nil
}

func (w *commandList) Restore(content []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commands = nil
	command := ""
	for _, letter := range string(content[:len(content)-1]) {
		if letter == '\n' {
			w.commands, command = append(w.commands, command), ""
			continue
		}
		command += string(letter)
	}
	return nil
}

func (w *commandList) BecameLeader(epoch uint64) { w.becameLeader <- epoch }
func (w *commandList) LostLeadership()           {}

func (w *commandList) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.commands)
}

// memoryNetwork delivers messages in memory. A message to an address without a running group is lost.
type memoryNetwork struct {
	mu     sync.Mutex
	groups map[string]*group.Group
}

func (n *memoryNetwork) Send(address string, message replica.Message) {
	n.mu.Lock()
	to := n.groups[address]
	n.mu.Unlock()
	if to != nil {
		to.Receive(message)
	}
}

func (n *memoryNetwork) connect(address string, g *group.Group) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.groups[address] = g
}

// replicaGroup is a group of three replicas in one process. Tests run it in a synctest bubble, with
// virtual time.
type replicaGroup struct {
	t             *testing.T
	net           *memoryNetwork
	disks         map[string]*simdisk.Disk
	stateMachines map[string]*commandList
	groups        map[string]*group.Group
	becameLeader  chan uint64
}

func newReplicaGroup(t *testing.T) *replicaGroup {
	r := &replicaGroup{t: t, net: &memoryNetwork{groups: map[string]*group.Group{}}, disks: map[string]*simdisk.Disk{}, stateMachines: map[string]*commandList{}, groups: map[string]*group.Group{}, becameLeader: make(chan uint64, 100)}
	var voters []replica.Member
	for i := range 3 {
		voters = append(voters, replica.Member{ID: fmt.Sprint("id", i), Address: fmt.Sprint("a", i)})
	}
	for i, voter := range voters {
		r.disks[voter.Address] = simdisk.New(uint64(i))
		r.open(voter)
		require.NoError(t, r.groups[voter.Address].Bootstrap(replica.Membership{Voters: voters}))
		r.start(voter.Address)
	}
	return r
}

func (r *replicaGroup) open(member replica.Member) {
	r.stateMachines[member.Address] = &commandList{becameLeader: r.becameLeader}
	settings := group.Settings{Name: "g", Self: member, Timing: timing, VoterCount: 3, Seed: rand.Uint64(), SnapshotThresholdBytes: 8 << 10}
	storage := group.Storage{Files: r.disks[member.Address], Folder: "log", Sizes: ringlog.Sizes{SegmentBytes: 16 << 10, Segments: 4}}
	environment := group.Environment{
		StateMachine: r.stateMachines[member.Address],
		Transport:    r.net,
		Clock:        newClock(),
		Logger:       slog.New(slog.DiscardHandler),
	}
	g, err := group.Open(settings, storage, environment)
	require.NoError(r.t, err)
	r.groups[member.Address] = g
}

func newClock() func() time.Duration {
	base := time.Now()
	return func() time.Duration { return time.Since(base) + time.Hour }
}

func (r *replicaGroup) start(address string) {
	r.net.connect(address, r.groups[address])
	r.groups[address].Run()
}

func (r *replicaGroup) stop(address string) {
	r.net.connect(address, nil)
	r.groups[address].Close()
	delete(r.groups, address)
}

// leader waits for a leader and returns its address.
func (r *replicaGroup) leader() string {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		for address, g := range r.groups {
			if g.IsLeader() {
				return address
			}
		}
		select { // a lease may expire and be renewed in the same term
		case <-r.becameLeader:
		case <-time.After(timing.HeartbeatInterval):
		}
	}
	r.t.Fatal("there is no leader")
	return ""
}

// commit proposes a command until it is committed. An attempt whose outcome is unknown may be committed
// too, so a command can be applied more than once.
func (r *replicaGroup) commit(command string) {
	for {
		done := make(chan error, 1)
		r.groups[r.leader()].Propose([]byte(command), func(_ any, err error) { done <- err })
		if err := <-done; err == nil {
			return
		}
	}
}

func (r *replicaGroup) close() {
	for address := range r.groups {
		r.stop(address)
	}
}

// TestCommitsSurviveLeaderLossAndRestarts checks that commands stay committed, and further ones are
// committed, when leaders stop, and one restarts after a power loss of its disk.
func TestCommitsSurviveLeaderLossAndRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplicaGroup(t)
		defer r.close()
		for i := range 300 { // enough for snapshots
			r.commit(fmt.Sprintf("word-%d-%0100d", i, i))
		}
		lost := r.leader()
		r.stop(lost)
		r.disks[lost].LosePower()
		r.commit("after")
		r.open(replica.Member{ID: "id" + lost[1:], Address: lost})
		r.start(lost)
		r.commit("again")
		other := r.leader()
		r.stop(other)
		r.commit("and again")
		require.GreaterOrEqual(t, r.stateMachines[r.leader()].len(), 303)
	})
}

// TestWipedReplicaJoinsUnderNewID checks that a replica whose disk was wiped joins again under a new ID,
// becomes a voter, and is counted in a majority.
func TestWipedReplicaJoinsUnderNewID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplicaGroup(t)
		defer r.close()
		r.commit("before")
		wiped := "a0"
		r.stop(wiped)
		r.disks[wiped].Wipe()
		newMember := replica.Member{ID: "new", Address: wiped}
		r.open(newMember)
		require.False(t, r.groups[wiped].IsBootstrapped())
		r.start(wiped)
		for !r.groups[wiped].Membership().IsVoter("new") {
			for _, g := range r.groups {
				g.RequestJoin(newMember)
			}
			r.commit("meanwhile")
			<-time.After(timing.HeartbeatInterval) // virtual time advances only while all goroutines are blocked
		}
		r.commit("after")
		for address := range r.groups { // without this voter a majority needs the new member
			if address != wiped && address != r.leader() {
				r.stop(address)
				break
			}
		}
		r.commit("with the new one")
	})
}

func TestLeadershipTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplicaGroup(t)
		defer r.close()
		r.commit("x")
		old := r.leader()
		r.groups[old].TransferLeadership()
		r.commit("y")
		done := make(chan error, 1)
		r.groups[old].Propose([]byte("z"), func(_ any, err error) { done <- err })
		if err := <-done; err != nil {
			require.ErrorIs(t, err, group.ErrNotLeader)
		}
	})
}

// TestFullDiskOnFollowerDoesNotBlockCommits checks that the group commits while a follower's disk is full.
func TestFullDiskOnFollowerDoesNotBlockCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplicaGroup(t)
		defer r.close()
		r.commit("x")
		for address := range r.groups {
			if address != r.leader() {
				r.disks[address].SetFull(true)
				break
			}
		}
		r.commit("y")
	})
}
