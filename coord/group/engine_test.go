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

// lastCommand is a state machine whose state is the last command; it can't read what begins with '!'.
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

// pair is the leader of a group with a large state, and a learner with an empty disk.
type pair struct {
	t             *testing.T
	now           time.Duration
	engines       map[string]*Engine
	stateMachines map[string]*lastCommand
	inFlight      []Envelope
	drops         func(replica.Message) bool
	shuffle       *rand.Rand // nil: messages arrive in their order
	chunkCount    int
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

func (p *pair) open(id string, found replica.PersistedState) {
	if p.stateMachines[id] == nil || id == "b" {
		p.stateMachines[id] = &lastCommand{}
	}
	e, err := NewEngine(Settings{Name: "g", Self: replica.Member{ID: id, Address: id}, Timing: testTiming, VoterCount: 1, Seed: 7, SnapshotChunkBytes: 1000}, found, p.stateMachines[id], p.now, slog.New(slog.DiscardHandler))
	require.NoError(p.t, err)
	p.engines[id] = e
}

// run lets a span of time pass; disks sync at once.
func (p *pair) run(span time.Duration) {
	const tick = 5 * time.Millisecond
	for end := p.now + span; p.now < end; p.now += tick {
		flying := p.inFlight
		p.inFlight = nil
		if p.shuffle != nil {
			p.shuffle.Shuffle(len(flying), func(i, j int) { flying[i], flying[j] = flying[j], flying[i] })
		}
		for _, send := range flying {
			if e := p.engines[send.Address]; e != nil && !p.drops(send.Message) {
				e.Receive(p.now, send.Message)
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
	}, func(send Envelope) {
		if send.Message.Kind == replica.SnapshotChunk {
			p.chunkCount++
		}
		p.inFlight = append(p.inFlight, send)
	})
}

func stateOf(n int) []byte { return bytes.Repeat([]byte("state..."), n/8) }

// TestLargeSnapshotIsSentInChunks whatever is lost or reordered, and about once.
func TestLargeSnapshotIsSentInChunks(t *testing.T) {
	const chunks = 200
	for _, c := range []struct {
		name      string
		lossRate  float64
		shuffled  bool
		maxChunks int // sent in all
	}{
		{"undisturbed", 0, false, chunks + 2},
		{"reordered", 0, true, 2 * chunks},
		{"one in twenty lost", 0.05, false, 4 * chunks},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPair(t, stateOf(chunks*1000))
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

// TestSnapshotTransferSurvivesRestart of the receiver after each chunk: it begins anew and ends.
func TestSnapshotTransferSurvivesRestart(t *testing.T) {
	for i := range 20 {
		p := newPair(t, stateOf(30_000))
		for p.engines["b"].Status(p.now).Receiving < i*1000+1 {
			p.run(5 * time.Millisecond)
		}
		p.open("b", replica.PersistedState{})
		p.run(15 * time.Second)
		require.True(t, bytes.Equal(p.stateMachines["a"].content, p.stateMachines["b"].content), "restarted at chunk %d", i)
	}
}

// TestUnreadableSnapshotHaltsReplica: the replica keeps its state, acknowledges nothing, and names
// the cause in its status.
func TestUnreadableSnapshotHaltsReplica(t *testing.T) {
	p := newPair(t, nil)
	p.stateMachines["a"].content = []byte("!from a newer program")
	p.run(3 * time.Second)
	require.Empty(t, p.stateMachines["b"].content)
	status := p.engines["b"].Status(p.now)
	require.Contains(t, status.Halted, "this program can't read it")
	require.Zero(t, status.Applied-status.Snapshot)
	require.NotEqual(t, uint64(0), p.engines["a"].Status(p.now).Lacks["b"], "it was not acknowledged")
}

// TestUnreadableCommandHaltsReplica instead of letting it differ from the others.
func TestUnreadableCommandHaltsReplica(t *testing.T) {
	p := newPair(t, []byte("first"))
	p.run(2 * time.Second)
	var answers []error
	for _, command := range []string{"fine", "!unreadable", "later"} {
		p.engines["a"].Propose(p.now, []byte(command), func(_ any, err error) { answers = append(answers, err) })
	}
	p.run(time.Second)
	require.Equal(t, "fine", string(p.stateMachines["a"].content))
	require.Len(t, answers, 3, "each proposal is answered once")
	require.NoError(t, answers[0])
	require.ErrorIs(t, answers[1], ErrOutcomeUnknown)
	require.ErrorIs(t, answers[2], ErrOutcomeUnknown)
	require.NotEmpty(t, p.engines["a"].Status(p.now).Halted)
	require.False(t, p.engines["a"].Status(p.now).Leads)
	p.engines["a"].Propose(p.now, []byte("x"), func(_ any, err error) { answers = append(answers, err) })
	require.ErrorIs(t, answers[3], ErrNotLeader)
}

// TestProposalsBeforeTheLeaseAreAnswered: no proposal stays unanswered where the leadership is lost
// before its first lease was published.
func TestProposalsBeforeTheLeaseAreAnswered(t *testing.T) {
	voters := []replica.Member{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}, {ID: "c", Address: "c"}}
	states := &lastCommand{}
	first, err := InitialSnapshot(replica.Membership{Voters: voters}, states)
	require.NoError(t, err)
	now := time.Hour
	e, err := NewEngine(Settings{Name: "g", Self: voters[0], Timing: testTiming, VoterCount: 3, Seed: 7}, replica.PersistedState{HardState: replica.HardState{Term: 1}, Snapshot: first}, states, now, slog.New(slog.DiscardHandler))
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

// TestLeaseIsPublishedBeforeMessages are sent: one may give the lease up.
func TestLeaseIsPublishedBeforeMessages(t *testing.T) {
	var order []string
	effects := Effects{Messages: []Envelope{{}}, Writes: []DiskWrite{{}}}
	effects.Execute(func(Lease, replica.Member) { order = append(order, "lease") }, func([]DiskWrite) { order = append(order, "write") }, func(Envelope) { order = append(order, "send") })
	require.Equal(t, []string{"lease", "write", "send"}, order)
}
