package replica_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
	"basaltloft/coord/simdisk"
)

// These tests run replicas with simulated disks and a lossy network in virtual time, in one
// goroutine. All randomness comes from a seed, which the message of a failed check contains.

var timing = replica.Timing{HeartbeatInterval: 200 * time.Millisecond, LeaseDuration: time.Second, MinElectionTimeout: 1200 * time.Millisecond, ElectionJitter: 600 * time.Millisecond}

const (
	tick        = 10 * time.Millisecond
	segmentSize = 4 << 10
)

// host is a simulated machine with one replica.
type host struct {
	name          string
	id            string
	incarnation   int
	disk          *simdisk.Disk
	ring          *ringlog.Ring
	node          *replica.Node
	up            bool
	pausedUntil   time.Duration // the host does nothing until then
	applied       []string      // entries that it applied
	pendingWrites []pendingWrite
	addressHints  map[string]replica.Member
}

// pendingWrite is the writes of one Ready that the disk has not completed yet.
type pendingWrite struct {
	due   time.Duration
	ready replica.Ready
}

// envelope is a message in flight to a host.
type envelope struct {
	due     time.Duration
	host    string // name of the receiving host
	message replica.Message
}

// simulation is a group of replicas on simulated hosts.
type simulation struct {
	t                testing.TB
	seed             uint64
	random           *rand.Rand
	now              time.Duration
	hosts            map[string]*host
	names            []string
	inFlight         []envelope
	disconnected     map[[2]string]bool
	lossRate         float64
	history          []string          // entries that were applied at any host, by index
	acknowledged     []string          // entries that their proposers applied, so that they count as acknowledged
	pendingProposals map[string]uint64 // index of each proposal, by the proposer's ID and the command
	proposalCount    int
	fault            plantedFault
	sentCount        int
	dropMessage      func(replica.Message) bool // reports whether a message is always lost; nil if none is
}

// plantedFault is a fault that is injected into the driver to verify that a check finds it.
type plantedFault int

const (
	noFault plantedFault = iota
	acknowledgeBeforeSync
	useLeaseAfterEnd
	forgetHardState
	keepIDWithoutDisk  // a host that lost its disk keeps its ID
	changeInOneStep    // the voters change in one step, without a joint membership
	installUnsynced    // an installed snapshot is acknowledged before it is on disk
	olderStateRestored // an installed snapshot's state is older than its index
)

func newSimulation(t testing.TB, seed uint64, n int) *simulation {
	s := &simulation{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, hosts: map[string]*host{},
		disconnected: map[[2]string]bool{}, pendingProposals: map[string]uint64{}}
	var voters []replica.Member
	for i := range n {
		name := fmt.Sprint("host", i)
		h := &host{name: name, disk: simdisk.New(seed*31 + uint64(i)), addressHints: map[string]replica.Member{}}
		s.hosts[name], s.names = h, append(s.names, name)
		h.id = name + "#0"
		voters = append(voters, replica.Member{ID: h.id, Address: name})
	}
	for _, name := range s.names {
		h := s.hosts[name]
		ring, _, err := ringlog.Open(h.disk, "log", ringlog.Sizes{SegmentBytes: segmentSize, Segments: 3})
		s.check(err == nil, "open: %v", err)
		err = ring.Reset(replica.Snapshot{Index: 1, Term: 1, Membership: replica.Membership{Voters: voters}})
		s.check(err == nil, "reset: %v", err)
		s.start(h)
	}
	return s
}

// addHost adds a host with an empty disk that is not a member of the group yet.
func (s *simulation) addHost(name string) {
	h := &host{name: name, id: name + "#0", disk: simdisk.New(s.seed*31 + uint64(len(s.names))), addressHints: map[string]replica.Member{}}
	s.hosts[name], s.names = h, append(s.names, name)
	s.start(h)
}

func (s *simulation) check(ok bool, format string, args ...any) {
	s.t.Helper()
	if !ok {
		s.t.Fatalf("seed %d at %v: %s", s.seed, s.now, fmt.Sprintf(format, args...))
	}
}

// start starts a host with the state that its disk holds.
func (s *simulation) start(h *host) {
	h.disk.Full = false
	ring, found, err := ringlog.Open(h.disk, "log", ringlog.Sizes{SegmentBytes: segmentSize, Segments: 3})
	s.check(err == nil, "%s can't open its log: %v", h.name, err)
	h.ring, h.up, h.pendingWrites = ring, true, nil
	h.applied = nil
	if found.Snapshot.Index > 1 {
		h.applied = slices.Clone(s.history[:found.Snapshot.Index-1])
	}
	if s.fault == forgetHardState {
		found.HardState = replica.HardState{}
	}
	h.incarnation++
	h.node = replica.NewNode(h.id, "g", timing, found, s.seed*7+uint64(h.incarnation)*13+uint64(len(h.name)+int(h.name[4])), s.now)
}

// stop kills the process of a host. With powerLoss the disk may lose unsynced writes.
func (s *simulation) stop(h *host, powerLoss bool) {
	h.up = false
	if powerLoss {
		h.disk.LosePower()
	}
}

// wipe kills the process of a host and empties its disk. The host comes back under another ID.
func (s *simulation) wipe(h *host) {
	h.up = false
	h.disk.Wipe()
	if s.fault == keepIDWithoutDisk {
		s.bootstrapAgain(h)
		return
	}
	h.id = fmt.Sprintf("%s#%d", h.name, h.incarnation+1)
}

// bootstrapAgain makes a host that lost its disk an initial member again under its old ID, so that it has
// lost the record of its votes. It implements keepIDWithoutDisk.
func (s *simulation) bootstrapAgain(h *host) {
	var voters []replica.Member
	for _, name := range s.names {
		voters = append(voters, replica.Member{ID: s.hosts[name].id, Address: name})
	}
	ring, _, err := ringlog.Open(h.disk, "log", ringlog.Sizes{SegmentBytes: segmentSize, Segments: 3})
	s.check(err == nil, "open: %v", err)
	err = ring.Reset(replica.Snapshot{Index: 1, Term: 1, Membership: replica.Membership{Voters: voters}})
	s.check(err == nil, "reset: %v", err)
}

// inOneStep returns a membership that skips the joint one and whose only voter is the newly added member,
// so that majorities before and after the change need not overlap. It implements changeInOneStep.
func (s *simulation) inOneStep(next replica.Membership) replica.Membership {
	settled := next.LeaveJoint()
	settled.Voters = settled.Voters[len(settled.Voters)-1:]
	return settled
}

// run advances the simulation by a span of time.
func (s *simulation) run(span time.Duration) {
	for end := s.now + span; s.now < end; s.now += tick {
		s.deliver()
		for _, name := range s.names {
			s.stepHost(s.hosts[name])
		}
	}
}

// deliver passes the messages that are due to their receivers. Messages to a stopped or paused host, or
// to an earlier ID of the host, are lost.
func (s *simulation) deliver() {
	due := slices.DeleteFunc(slices.Clone(s.inFlight), func(e envelope) bool { return e.due > s.now })
	s.inFlight = slices.DeleteFunc(s.inFlight, func(e envelope) bool { return e.due <= s.now })
	for _, e := range due {
		h := s.hosts[e.host]
		if h.up && h.id == e.message.To && s.now >= h.pausedUntil {
			for _, m := range e.message.Addresses {
				h.addressHints[m.ID] = m
			}
			h.node.Step(s.now, e.message)
			s.execute(h)
		}
	}
}

func (s *simulation) stepHost(h *host) {
	if !h.up || s.now < h.pausedUntil {
		return
	}
	h.node.Tick(s.now)
	s.execute(h)
	s.sync(h)
	s.checkLease(h)
}

// execute processes a node's Ready. The writes complete after a random delay.
func (s *simulation) execute(h *host) {
	out := h.node.Ready()
	if out.Snapshot != nil {
		h.applied = slices.Clone(s.history[:out.Snapshot.Index-1])
		if s.fault == olderStateRestored {
			h.applied = h.applied[:len(h.applied)/2]
		}
	}
	if s.fault == installUnsynced && out.Snapshot != nil {
		h.node.Persisted(s.now, out.Snapshot.Index, out.Snapshot.Term)
		for _, m := range out.MessagesAfterSync {
			s.send(h, m)
		}
		out.Snapshot = nil
	}
	for _, m := range out.Messages {
		s.send(h, m)
	}
	for _, entry := range out.CommittedEntries {
		s.apply(h, entry)
	}
	if out.HardState != nil || len(out.Entries) > 0 || out.Snapshot != nil || len(out.MessagesAfterSync) > 0 {
		h.pendingWrites = append(h.pendingWrites, pendingWrite{due: s.now + time.Duration(s.random.Int64N(int64(30*time.Millisecond))), ready: out})
	}
	if s.fault == acknowledgeBeforeSync {
		for _, m := range out.MessagesAfterSync {
			s.send(h, m)
		}
		if n := len(out.Entries); n > 0 {
			h.node.Persisted(s.now, out.Entries[n-1].Index, out.Entries[n-1].Term)
		}
	}
}

// sync completes the writes that are due, in order.
func (s *simulation) sync(h *host) {
	for len(h.pendingWrites) > 0 && h.pendingWrites[0].due <= s.now {
		out := h.pendingWrites[0].ready
		if out.Snapshot != nil {
			if h.ring.Reset(*out.Snapshot) != nil {
				return
			}
		}
		if out.HardState != nil || len(out.Entries) > 0 {
			if h.ring.Append(out.HardState, out.Entries) != nil {
				return
			}
		}
		h.pendingWrites = h.pendingWrites[1:]
		if out.Snapshot != nil {
			h.node.Persisted(s.now, out.Snapshot.Index, out.Snapshot.Term)
		}
		if n := len(out.Entries); n > 0 {
			h.node.Persisted(s.now, out.Entries[n-1].Index, out.Entries[n-1].Term)
		}
		if s.fault != acknowledgeBeforeSync {
			for _, m := range out.MessagesAfterSync {
				s.send(h, m)
			}
		}
		if h.ring.NearlyFull() {
			at := h.node.AppliedSnapshot()
			if h.ring.SaveSnapshot(at) == nil {
				h.node.Compact(at, replica.LogRetention{Entries: 5, Bytes: 1 << 20})
			}
		}
		s.execute(h)
	}
}

// apply applies an entry at a host. It requires that the entry is the next one, and that all hosts apply
// the same entry at an index.
func (s *simulation) apply(h *host, entry replica.Entry) {
	text := fmt.Sprintf("%d:%s", entry.Term, entry.Data)
	at := int(entry.Index) - 2
	s.check(len(h.applied) == at, "%s applies %d after %d entries", h.name, entry.Index, len(h.applied))
	h.applied = append(h.applied, text)
	if at < len(s.history) {
		s.check(s.history[at] == text, "%s applies %q at %d, where another applied %q", h.name, text, entry.Index, s.history[at])
	} else {
		s.history = append(s.history, text)
	}
	command := string(entry.Data)
	if index, ok := s.pendingProposals[h.id+command]; ok && index == entry.Index {
		s.acknowledged = append(s.acknowledged, text)
		delete(s.pendingProposals, h.id+command)
	}
}

// send puts a message in flight, unless it is lost.
func (s *simulation) send(from *host, m replica.Message) {
	to, ok := from.node.Membership().Find(m.To)
	if !ok {
		to, ok = from.addressHints[m.To]
	}
	s.sentCount++
	if !ok || s.dropMessage != nil && s.dropMessage(m) || s.disconnected[[2]string{from.name, to.Address}] || s.random.Float64() < s.lossRate {
		return
	}
	if m.Kind == replica.InstallSnapshot {
		at := from.node.AppliedSnapshot()
		m.Snapshot = &at
	}
	delay := time.Duration(1+s.random.IntN(20)) * time.Millisecond
	if s.random.IntN(50) == 0 {
		delay += time.Duration(s.random.IntN(2000)) * time.Millisecond
	}
	s.inFlight = append(s.inFlight, envelope{due: s.now + delay, host: to.Address, message: m})
}

// checkLease requires that no two hosts hold a lease at the same time.
func (s *simulation) checkLease(h *host) {
	until := h.node.LeaseUntil()
	if s.fault == useLeaseAfterEnd && h.node.Role() == replica.Leader {
		until = s.now + time.Second
	}
	if until <= s.now {
		return
	}
	for _, name := range s.names {
		other := s.hosts[name]
		if other == h || !other.up {
			continue
		}
		held := other.node.LeaseUntil()
		if s.fault == useLeaseAfterEnd && other.node.Role() == replica.Leader {
			held = s.now + time.Second
		}
		s.check(held <= s.now, "%s and %s both hold the lease", h.name, other.name)
	}
}

// leader returns a running host whose lease is valid, or nil if there is none.
func (s *simulation) leader() *host {
	for _, name := range s.names {
		if h := s.hosts[name]; h.up && s.now >= h.pausedUntil && h.node.LeaseUntil() > s.now {
			return h
		}
	}
	return nil
}

// propose proposes a command at the leader, if there is one.
func (s *simulation) propose() {
	h := s.leader()
	if h == nil {
		return
	}
	s.proposalCount++
	command := fmt.Sprintf("c%d-%s", s.proposalCount, "0123456789012345678901234567890123456789")
	index, _, ok := h.node.Propose(s.now, []byte(command))
	if ok {
		s.pendingProposals[h.id+command] = index
		s.execute(h)
	}
}

// manageMembership makes the leader replace a host's previous member by its new one: the new member is added
// as a learner, and once it has caught up it becomes a voter.
func (s *simulation) manageMembership() {
	h := s.leader()
	if h == nil || h.node.Membership().IsJoint() {
		return
	}
	members := h.node.Membership()
	for _, learner := range members.Learners {
		for _, voter := range members.Voters {
			if voter.Address == learner.Address && h.node.CaughtUp(learner.ID, 20) {
				next := members.EnterJoint(voter.ID, learner)
				if s.fault == changeInOneStep {
					next = s.inOneStep(next)
				}
				h.node.ChangeMembers(s.now, next)
				s.execute(h)
				return
			}
		}
	}
	for _, name := range s.names {
		other := s.hosts[name]
		if _, known := members.Find(other.id); !known && other.up {
			h.node.ChangeMembers(s.now, members.WithLearner(replica.Member{ID: other.id, Address: other.name}))
			s.execute(h)
			return
		}
	}
}

// healAndVerify ends all faults and requires that the group makes progress and loses nothing.
func (s *simulation) healAndVerify() {
	s.disconnected, s.lossRate = map[[2]string]bool{}, 0
	for _, name := range s.names {
		h := s.hosts[name]
		h.pausedUntil = 0
		h.disk.Full = false
		if !h.up {
			s.start(h)
		}
	}
	for range 40 {
		s.run(250 * time.Millisecond)
		s.manageMembership()
	}
	before := len(s.acknowledged)
	sent := s.sentCount
	for range 10 {
		s.propose()
		s.run(100 * time.Millisecond)
	}
	s.run(time.Second)
	s.check(len(s.acknowledged) >= before+10, "after all faults have ended only %d of 10 proposals are committed", len(s.acknowledged)-before)
	s.check(s.sentCount-sent < 600, "%d messages for 10 proposals", s.sentCount-sent)
	for _, text := range s.acknowledged {
		s.check(slices.Contains(s.history, text), "%q was acknowledged and is lost", text)
	}
	for _, name := range s.names {
		h := s.hosts[name]
		s.check(len(h.applied) == len(s.history), "%s has applied %d of %d", name, len(h.applied), len(s.history))
	}
}
