package group

import (
	"bytes"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"basaltloft/coord/replica"
)

// lastCommand is a state machine whose state is the last command. Commands and snapshots that begin
// with '!' are unreadable for it.
type lastCommand struct{ content []byte }

var errUnreadable = errors.New("this program can't read it")

func (b *lastCommand) Apply(_ uint64, command []byte) (any, error) {
	if len(command) > 0 && command[0] == '!' {
		return nil, errUnreadable
	}
	b.content = command
	return len(command), nil
}
func (b *lastCommand) Snapshot() ([]byte, error) { return b.content, nil }
func (b *lastCommand) Restore(content []byte) error {
	if len(content) > 0 && content[0] == '!' {
		return errUnreadable
	}
	b.content = content
	return nil
}
func (b *lastCommand) Digest() uint64      { return uint64(len(b.content)) }
func (b *lastCommand) BecameLeader(uint64) {}
func (b *lastCommand) LostLeadership()     {}

var testTiming = replica.Timing{HeartbeatInterval: 100 * time.Millisecond, LeaseDuration: 420 * time.Millisecond, MinElectionTimeout: 520 * time.Millisecond, ElectionJitter: 260 * time.Millisecond}

// pair is a group of two replicas: "a" is the only voter and has a state, "b" is a learner with an empty
// disk.
type pair struct {
	t             *testing.T
	now           time.Duration
	engines       map[string]*Engine
	stateMachines map[string]*lastCommand
	inFlight      []Envelope
	drops         func(replica.Message) bool
	shuffle       *rand.Rand // nil if messages arrive in order
	chunkCount    int        // SnapshotChunk messages sent
}

func newPair(t *testing.T, state []byte) *pair {
	p := &pair{t: t, now: time.Hour, engines: map[string]*Engine{}, stateMachines: map[string]*lastCommand{}, drops: func(replica.Message) bool { return false }}
	members := replica.Membership{Voters: []replica.Member{{ID: "a", Address: "a"}}, Learners: []replica.Member{{ID: "b", Address: "b"}}}
	p.stateMachines["a"] = &lastCommand{content: state}
	first, err := InitialSnapshot(members, p.stateMachines["a"])
	require.NoError(t, err)
	p.open("a", replica.PersistedState{HardState: replica.HardState{Term: 1}, Snapshot: first})
	p.open("b", replica.PersistedState{})
	return p
}

// open starts a replica with the state that its disk holds. The state machine of "b" is new.
func (p *pair) open(id string, persisted replica.PersistedState) {
	if p.stateMachines[id] == nil || id == "b" {
		p.stateMachines[id] = &lastCommand{}
	}
	e, err := NewEngine(Settings{Name: "g", Self: replica.Member{ID: id, Address: id}, Timing: testTiming, VoterCount: 1, Seed: 7, SnapshotChunkBytes: 1000}, persisted, p.stateMachines[id], p.now, slog.New(slog.DiscardHandler))
	require.NoError(p.t, err)
	p.engines[id] = e
}

// run advances the time by a duration. Disks sync at once.
func (p *pair) run(duration time.Duration) {
	const tick = 5 * time.Millisecond
	for end := p.now + duration; p.now < end; p.now += tick {
		arriving := p.inFlight
		p.inFlight = nil
		if p.shuffle != nil {
			p.shuffle.Shuffle(len(arriving), func(i, j int) { arriving[i], arriving[j] = arriving[j], arriving[i] })
		}
		for _, envelope := range arriving {
			if e := p.engines[envelope.Address]; e != nil && !p.drops(envelope.Message) {
				e.Receive(p.now, envelope.Message)
			}
		}
		for _, id := range []string{"a", "b"} {
			if e := p.engines[id]; e != nil {
				e.Tick(p.now)
				p.execute(e)
			}
		}
	}
}

func (p *pair) execute(e *Engine) {
	effects := e.TakeEffects(p.now)
	effects.Execute(func(Lease, replica.Member) {}, func(writes []DiskWrite) {
		e.Persisted(p.now, writes, false)
	}, func(envelope Envelope) {
		if envelope.Message.Kind == replica.SnapshotChunk {
			p.chunkCount++
		}
		p.inFlight = append(p.inFlight, envelope)
	})
}

// stateOfSize returns a state of n bytes, where n is a multiple of 8.
func stateOfSize(n int) []byte { return bytes.Repeat([]byte("state..."), n/8) }

// TestLargeSnapshotIsSentInChunks checks that a snapshot arrives complete although chunks are lost or
// reordered, and that the number of chunks sent stays limited.
func TestLargeSnapshotIsSentInChunks(t *testing.T) {
	const chunks = 200
	for _, c := range []struct {
		name      string
		lossRate  float64
		shuffled  bool
		maxChunks int // limit of the chunks sent, with resends
	}{
		{"undisturbed", 0, false, chunks + 2},
		{"reordered", 0, true, 2 * chunks},
		{"one in twenty lost", 0.05, false, 4 * chunks},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPair(t, stateOfSize(chunks*1000))
			random := rand.New(rand.NewPCG(5, 5))
			p.drops = func(m replica.Message) bool {
				return m.Kind == replica.SnapshotChunk && random.Float64() < c.lossRate
			}
			if c.shuffled {
				p.shuffle = random
			}
			p.run(30 * time.Second)
			require.True(t, bytes.Equal(p.stateMachines["a"].content, p.stateMachines["b"].content))
			require.LessOrEqual(t, p.chunkCount, c.maxChunks)
		})
	}
}

// TestSnapshotTransferSurvivesRestart checks that a transfer starts over and completes if the receiver
// restarts, after each of the first 20 chunks.
func TestSnapshotTransferSurvivesRestart(t *testing.T) {
	for i := range 20 {
		p := newPair(t, stateOfSize(30_000))
		for p.engines["b"].Status(p.now).Receiving < i*1000+1 {
			p.run(5 * time.Millisecond)
		}
		p.open("b", replica.PersistedState{})
		p.run(15 * time.Second)
		require.True(t, bytes.Equal(p.stateMachines["a"].content, p.stateMachines["b"].content), "restarted at chunk %d", i)
	}
}

// TestUnreadableSnapshotHaltsReplica checks that a replica that can't read a received snapshot keeps its
// state, does not acknowledge the snapshot, and reports the cause in its status.
func TestUnreadableSnapshotHaltsReplica(t *testing.T) {
	p := newPair(t, nil)
	p.stateMachines["a"].content = []byte("!from a newer program")
	p.run(3 * time.Second)
	require.Empty(t, p.stateMachines["b"].content)
	status := p.engines["b"].Status(p.now)
	require.Contains(t, status.Halted, "this program can't read it")
	require.Zero(t, status.Applied-status.Snapshot)
	require.NotEqual(t, uint64(0), p.engines["a"].Status(p.now).Lacks["b"], "the leader must not have an acknowledgement")
}

// TestUnreadableCommandHaltsReplica checks that a replica that can't read a command halts, so that its
// state does not diverge from that of the others, and that each pending proposal gets one result.
func TestUnreadableCommandHaltsReplica(t *testing.T) {
	p := newPair(t, []byte("first"))
	p.run(2 * time.Second)
	var results []error
	for _, command := range []string{"fine", "!unreadable", "later"} {
		p.engines["a"].Propose(p.now, []byte(command), func(_ any, err error) { results = append(results, err) })
	}
	p.run(time.Second)
	require.Equal(t, "fine", string(p.stateMachines["a"].content))
	require.Len(t, results, 3, "each proposal gets one result")
	require.NoError(t, results[0])
	require.ErrorIs(t, results[1], ErrOutcomeUnknown)
	require.ErrorIs(t, results[2], ErrOutcomeUnknown)
	require.NotEmpty(t, p.engines["a"].Status(p.now).Halted)
	require.False(t, p.engines["a"].Status(p.now).Leads)
	p.engines["a"].Propose(p.now, []byte("x"), func(_ any, err error) { results = append(results, err) })
	require.ErrorIs(t, results[3], ErrNotLeader)
}

// TestProposalsBeforeFirstLeaseGetResult checks that a proposal fails with ErrOutcomeUnknown if the
// leadership is lost before its first lease was published, instead of waiting forever.
func TestProposalsBeforeFirstLeaseGetResult(t *testing.T) {
	voters := []replica.Member{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}, {ID: "c", Address: "c"}}
	stateMachine := &lastCommand{}
	first, err := InitialSnapshot(replica.Membership{Voters: voters}, stateMachine)
	require.NoError(t, err)
	now := time.Hour
	e, err := NewEngine(Settings{Name: "g", Self: voters[0], Timing: testTiming, VoterCount: 3, Seed: 7}, replica.PersistedState{HardState: replica.HardState{Term: 1}, Snapshot: first}, stateMachine, now, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	e.Receive(now, replica.Message{Kind: replica.TimeoutNow, From: "b", To: "a", Term: 1})
	e.Receive(now, replica.Message{Kind: replica.VoteResponse, From: "b", To: "a", Term: 2})
	var results []error
	e.Propose(now, []byte("x"), func(_ any, err error) { results = append(results, err) })
	effects := e.TakeEffects(now)
	require.Zero(t, effects.Lease.Until, "no entry of its term is committed: it has no lease yet")
	require.Empty(t, results)
	e.Receive(now, replica.Message{Kind: replica.AppendRequest, From: "c", To: "a", Term: 3, Index: 1, LogTerm: 1})
	e.TakeEffects(now)
	require.Len(t, results, 1)
	require.ErrorIs(t, results[0], ErrOutcomeUnknown)
}

// TestLeaseIsPublishedBeforeMessages checks the order of effects: a message may give up the lease, so
// the lease must be published first.
func TestLeaseIsPublishedBeforeMessages(t *testing.T) {
	var order []string
	effects := Effects{Messages: []Envelope{{}}, Writes: []DiskWrite{{}}}
	effects.Execute(func(Lease, replica.Member) { order = append(order, "lease") }, func([]DiskWrite) { order = append(order, "write") }, func(Envelope) { order = append(order, "send") })
	require.Equal(t, []string{"lease", "write", "send"}, order)
}
