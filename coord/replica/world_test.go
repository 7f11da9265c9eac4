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
// goroutine. All randomness comes from a seed, which a failure names.

var timing = replica.Timing{HeartbeatInterval: 200 * time.Millisecond, LeaseDuration: time.Second, MinElectionTimeout: 1200 * time.Millisecond, ElectionJitter: 600 * time.Millisecond}

const (
	tick        = 10 * time.Millisecond
	segmentSize = 4 << 10
)

// host is a machine with one replica.
type host struct {
	name          string
	id            string
	incarnation   int
	disk          *simdisk.Disk
	ring          *ringlog.Ring
	node          *replica.Node
	up            bool
	pausedUntil   time.Duration // until then it does nothing
	applied       []string      // what it applied
	pendingWrites []pendingWrite
	addressHints  map[string]replica.Member
}

// pendingWrite is a write that the disk has not carried out yet.
type pendingWrite struct {
	due   time.Duration
	ready replica.Ready
}

type envelope struct {
	due     time.Duration
	host    string // name of a host
	message replica.Message
}

type world struct {
	t                testing.TB
	seed             uint64
	random           *rand.Rand
	now              time.Duration
	hosts            map[string]*host
	names            []string
	inFlight         []envelope
	disconnected     map[[2]string]bool
	lossRate         float64
	history          []string          // what was applied at any host, by index
	acknowledged     []string          // commands whose proposers know that they are committed
	pendingProposals map[string]uint64 // proposals: ID of the proposer and command to index
	proposalCount    int
	fault            plantedFault
	sentCount        int
	dropMessage      func(replica.Message) bool // messages that are lost in any case; nil: none
}

// plantedFault is a fault in the driver, planted to show that a check finds it.
type plantedFault int

const (
	noFault plantedFault = iota
	acknowledgeBeforeSync
	useLeaseAfterEnd
	forgetHardState
	keepIDWithoutDisk  // a host that lost its disk keeps its ID
	changeInOneStep    // two voters change in one step, without a joint membership
	installUnsynced    // an installed snapshot is acknowledged before it is on disk
	olderStateRestored // a snapshot's index is newer than its state
)

func newWorld(t testing.TB, seed uint64, n int) *world {
	w := &world{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, hosts: map[string]*host{},
		disconnected: map[[2]string]bool{}, pendingProposals: map[string]uint64{}}
	var voters []replica.Member
	for i := range n {
		name := fmt.Sprint("host", i)
		h := &host{name: name, disk: simdisk.New(seed*31 + uint64(i)), addressHints: map[string]replica.Member{}}
		w.hosts[name], w.names = h, append(w.names, name)
		h.id = name + "#0"
		voters = append(voters, replica.Member{ID: h.id, Address: name})
	}
	for _, name := range w.names {
		h := w.hosts[name]
		ring, _, err := ringlog.Open(h.disk, "log", ringlog.Sizes{SegmentBytes: segmentSize, Segments: 3})
		w.check(err == nil, "open: %v", err)
		err = ring.Reset(replica.Snapshot{Index: 1, Term: 1, Membership: replica.Membership{Voters: voters}})
		w.check(err == nil, "reset: %v", err)
		w.start(h)
	}
	return w
}

// addHost adds a host with an empty disk that is a member of nothing yet.
func (w *world) addHost(name string) {
	h := &host{name: name, id: name + "#0", disk: simdisk.New(w.seed*31 + uint64(len(w.names))), addressHints: map[string]replica.Member{}}
	w.hosts[name], w.names = h, append(w.names, name)
	w.start(h)
}

func (w *world) check(ok bool, format string, args ...any) {
	w.t.Helper()
	if !ok {
		w.t.Fatalf("seed %d at %v: %s", w.seed, w.now, fmt.Sprintf(format, args...))
	}
}

// start starts a host with what its disk holds.
func (w *world) start(h *host) {
	h.disk.Full = false
	ring, found, err := ringlog.Open(h.disk, "log", ringlog.Sizes{SegmentBytes: segmentSize, Segments: 3})
	w.check(err == nil, "%s can't open its log: %v", h.name, err)
	h.ring, h.up, h.pendingWrites = ring, true, nil
	h.applied = nil
	if found.Snapshot.Index > 1 {
		h.applied = slices.Clone(w.history[:found.Snapshot.Index-1])
	}
	if w.fault == forgetHardState {
		found.HardState = replica.HardState{}
	}
	h.incarnation++
	h.node = replica.NewNode(h.id, "g", timing, found, w.seed*7+uint64(h.incarnation)*13+uint64(len(h.name)+int(h.name[4])), w.now)
}

func (w *world) stop(h *host, power bool) {
	h.up = false
	if power {
		h.disk.LosePower()
	}
}

func (w *world) wipe(h *host) {
	h.up = false
	h.disk.Wipe()
	if w.fault == keepIDWithoutDisk {
		w.bootstrapAgain(h)
		return
	}
	h.id = fmt.Sprintf("%s#%d", h.name, h.incarnation+1)
}

// bootstrapAgain makes a host that lost its disk a founding member once more: its votes are forgotten.
func (w *world) bootstrapAgain(h *host) {
	var voters []replica.Member
	for _, name := range w.names {
		voters = append(voters, replica.Member{ID: w.hosts[name].id, Address: name})
	}
	ring, _, err := ringlog.Open(h.disk, "log", ringlog.Sizes{SegmentBytes: segmentSize, Segments: 3})
	w.check(err == nil, "open: %v", err)
	err = ring.Reset(replica.Snapshot{Index: 1, Term: 1, Membership: replica.Membership{Voters: voters}})
	w.check(err == nil, "reset: %v", err)
}

// inOneStep skips the joint membership and removes another voter too, so that majorities before and
// after the change need not overlap.
func (w *world) inOneStep(next replica.Membership) replica.Membership {
	settled := next.LeaveJoint()
	settled.Voters = settled.Voters[len(settled.Voters)-1:]
	return settled
}

// run lets a span of time pass.
func (w *world) run(span time.Duration) {
	for end := w.now + span; w.now < end; w.now += tick {
		w.deliver()
		for _, name := range w.names {
			w.stepHost(w.hosts[name])
		}
	}
}

func (w *world) deliver() {
	due := slices.DeleteFunc(slices.Clone(w.inFlight), func(e envelope) bool { return e.due > w.now })
	w.inFlight = slices.DeleteFunc(w.inFlight, func(e envelope) bool { return e.due <= w.now })
	for _, e := range due {
		h := w.hosts[e.host]
		if h.up && h.id == e.message.To && w.now >= h.pausedUntil {
			for _, m := range e.message.Addresses {
				h.addressHints[m.ID] = m
			}
			h.node.Step(w.now, e.message)
			w.execute(h)
		}
	}
}

func (w *world) stepHost(h *host) {
	if !h.up || w.now < h.pausedUntil {
		return
	}
	h.node.Tick(w.now)
	w.execute(h)
	w.sync(h)
	w.checkLease(h)
}

// execute carries out what a node asks for; its writes take a while.
func (w *world) execute(h *host) {
	out := h.node.Ready()
	if out.Snapshot != nil {
		h.applied = slices.Clone(w.history[:out.Snapshot.Index-1])
		if w.fault == olderStateRestored {
			h.applied = h.applied[:len(h.applied)/2]
		}
	}
	if w.fault == installUnsynced && out.Snapshot != nil {
		h.node.Persisted(w.now, out.Snapshot.Index, out.Snapshot.Term)
		for _, m := range out.MessagesAfterSync {
			w.send(h, m)
		}
		out.Snapshot = nil
	}
	for _, m := range out.Messages {
		w.send(h, m)
	}
	for _, entry := range out.CommittedEntries {
		w.apply(h, entry)
	}
	if out.HardState != nil || len(out.Entries) > 0 || out.Snapshot != nil || len(out.MessagesAfterSync) > 0 {
		h.pendingWrites = append(h.pendingWrites, pendingWrite{due: w.now + time.Duration(w.random.Int64N(int64(30*time.Millisecond))), ready: out})
	}
	if w.fault == acknowledgeBeforeSync {
		for _, m := range out.MessagesAfterSync {
			w.send(h, m)
		}
		if n := len(out.Entries); n > 0 {
			h.node.Persisted(w.now, out.Entries[n-1].Index, out.Entries[n-1].Term)
		}
	}
}

// sync carries out the writes that are due, in order.
func (w *world) sync(h *host) {
	for len(h.pendingWrites) > 0 && h.pendingWrites[0].due <= w.now {
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
			h.node.Persisted(w.now, out.Snapshot.Index, out.Snapshot.Term)
		}
		if n := len(out.Entries); n > 0 {
			h.node.Persisted(w.now, out.Entries[n-1].Index, out.Entries[n-1].Term)
		}
		if w.fault != acknowledgeBeforeSync {
			for _, m := range out.MessagesAfterSync {
				w.send(h, m)
			}
		}
		if h.ring.NearlyFull() {
			at := h.node.AppliedSnapshot()
			if h.ring.SaveSnapshot(at) == nil {
				h.node.Compact(at, replica.LogRetention{Entries: 5, Bytes: 1 << 20})
			}
		}
		w.execute(h)
	}
}

func (w *world) apply(h *host, entry replica.Entry) {
	text := fmt.Sprintf("%d:%s", entry.Term, entry.Data)
	at := int(entry.Index) - 2
	w.check(len(h.applied) == at, "%s applies %d after %d entries", h.name, entry.Index, len(h.applied))
	h.applied = append(h.applied, text)
	if at < len(w.history) {
		w.check(w.history[at] == text, "%s applies %q at %d, where another applied %q", h.name, text, entry.Index, w.history[at])
	} else {
		w.history = append(w.history, text)
	}
	command := string(entry.Data)
	if index, ok := w.pendingProposals[h.id+command]; ok && index == entry.Index {
		w.acknowledged = append(w.acknowledged, text)
		delete(w.pendingProposals, h.id+command)
	}
}

func (w *world) send(from *host, m replica.Message) {
	to, ok := from.node.Membership().Find(m.To)
	if !ok {
		to, ok = from.addressHints[m.To]
	}
	w.sentCount++
	if !ok || w.dropMessage != nil && w.dropMessage(m) || w.disconnected[[2]string{from.name, to.Address}] || w.random.Float64() < w.lossRate {
		return
	}
	if m.Kind == replica.InstallSnapshot {
		at := from.node.AppliedSnapshot()
		m.Snapshot = &at
	}
	delay := time.Duration(1+w.random.IntN(20)) * time.Millisecond
	if w.random.IntN(50) == 0 {
		delay += time.Duration(w.random.IntN(2000)) * time.Millisecond
	}
	w.inFlight = append(w.inFlight, envelope{due: w.now + delay, host: to.Address, message: m})
}

// checkLease requires that no two hosts hold a lease at the same time.
func (w *world) checkLease(h *host) {
	until := h.node.LeaseUntil()
	if w.fault == useLeaseAfterEnd && h.node.Role() == replica.Leader {
		until = w.now + time.Second
	}
	if until <= w.now {
		return
	}
	for _, name := range w.names {
		other := w.hosts[name]
		if other == h || !other.up {
			continue
		}
		held := other.node.LeaseUntil()
		if w.fault == useLeaseAfterEnd && other.node.Role() == replica.Leader {
			held = w.now + time.Second
		}
		w.check(held <= w.now, "%s and %s both hold the lease", h.name, other.name)
	}
}

func (w *world) leader() *host {
	for _, name := range w.names {
		if h := w.hosts[name]; h.up && w.now >= h.pausedUntil && h.node.LeaseUntil() > w.now {
			return h
		}
	}
	return nil
}

// propose proposes a command at the leader, if there is one.
func (w *world) propose() {
	h := w.leader()
	if h == nil {
		return
	}
	w.proposalCount++
	command := fmt.Sprintf("c%d-%s", w.proposalCount, "0123456789012345678901234567890123456789")
	index, _, ok := h.node.Propose(w.now, []byte(command))
	if ok {
		w.pendingProposals[h.id+command] = index
		w.execute(h)
	}
}

// manageMembership lets the leader admit a host that lost its disk.
func (w *world) manageMembership() {
	h := w.leader()
	if h == nil || h.node.Membership().IsJoint() {
		return
	}
	members := h.node.Membership()
	for _, learner := range members.Learners {
		for _, voter := range members.Voters {
			if voter.Address == learner.Address && h.node.CaughtUp(learner.ID, 20) {
				next := members.EnterJoint(voter.ID, learner)
				if w.fault == changeInOneStep {
					next = w.inOneStep(next)
				}
				h.node.ChangeMembers(w.now, next)
				w.execute(h)
				return
			}
		}
	}
	for _, name := range w.names {
		other := w.hosts[name]
		if _, known := members.Find(other.id); !known && other.up {
			h.node.ChangeMembers(w.now, members.WithLearner(replica.Member{ID: other.id, Address: other.name}))
			w.execute(h)
			return
		}
	}
}

// healAndVerify ends all faults and requires that the group makes progress and loses nothing.
func (w *world) healAndVerify() {
	w.disconnected, w.lossRate = map[[2]string]bool{}, 0
	for _, name := range w.names {
		h := w.hosts[name]
		h.pausedUntil = 0
		h.disk.Full = false
		if !h.up {
			w.start(h)
		}
	}
	for range 40 {
		w.run(250 * time.Millisecond)
		w.manageMembership()
	}
	before := len(w.acknowledged)
	sent := w.sentCount
	for range 10 {
		w.propose()
		w.run(100 * time.Millisecond)
	}
	w.run(time.Second)
	w.check(len(w.acknowledged) >= before+10, "after all faults have ended only %d of 10 proposals are committed", len(w.acknowledged)-before)
	w.check(w.sentCount-sent < 600, "%d messages for 10 proposals", w.sentCount-sent)
	for _, text := range w.acknowledged {
		w.check(slices.Contains(w.history, text), "%q was acknowledged and is lost", text)
	}
	for _, name := range w.names {
		h := w.hosts[name]
		w.check(len(h.applied) == len(w.history), "%s has applied %d of %d", name, len(h.applied), len(w.history))
	}
}
