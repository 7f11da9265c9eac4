package coordinator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/partition"
	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/fleet/planrun"
	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/fleet/state"
	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
)

// fakeRaftNode serves the state by the calls of a raft node. Commands of plans, or the replies to
// them, may be lost.
type fakeRaftNode struct {
	mu           sync.Mutex
	machine      *state.Machine
	clock        *heldClock
	startedAt    time.Time
	loseCommands bool // commands of plans are lost
	loseReplies  bool // replies to commands of plans are lost
}

// at returns the fleet time, which runs at half the speed of the clock: fleet time may run slow.
func (node *fakeRaftNode) at() time.Duration { return node.clock.now().Sub(node.startedAt) / 2 }

// heldClock stands still until it is released, and runs from then on. Events that must come
// before a deadline by this clock do so, however busy the machine is.
type heldClock struct {
	held time.Time // the time until it is released

	mu       sync.Mutex
	released time.Time // by the machine's clock; zero: not yet
}

func newHeldClock() *heldClock { return &heldClock{held: time.Now()} }

func (h *heldClock) now() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released.IsZero() {
		return h.held
	}
	return h.held.Add(time.Since(h.released))
}

func (h *heldClock) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released.IsZero() {
		h.released = time.Now()
	}
}

func (node *fakeRaftNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	node.mu.Lock()
	defer node.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	at, n := node.at(), node.machine.Index()+1
	lost, answer := false, any(nil)
	if r.URL.Path == rpc.PathCommand {
		c, _ := state.Decode(body)
		if c.Kind == partition.PlansCommand {
			defer node.clock.release() // the start of the run has arrived, and was carried out unless it is lost
		}
		if c.Kind == partition.PlansCommand && node.loseCommands {
			panic(http.ErrAbortHandler)
		}
		lost, c.At = c.Kind == partition.PlansCommand && node.loseReplies, at
		text, _ := codec.Encode(c)
		answer = node.machine.Apply(n, text)
	} else {
		tick, _ := codec.Encode(state.Command{Version: state.Version, Kind: state.Tick, At: at})
		node.machine.Apply(n, tick)
		var q rpc.Query
		_ = codec.Decode(body, &q)
		text, _ := node.machine.Query(q.Kind, q.Body)
		answer = rpc.Answer{Index: n, At: at, Body: text}
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	text, _ := codec.Encode(answer)
	_, _ = w.Write(text)
}

// process is a process of the fleet, and a dispatcher that serves every job.
type process struct{ session *rpc.Session }

func (p process) Session() *rpc.Session                     { return p.session }
func (process) TakeRetry(string, string) bool               { return true }
func (process) HoldsLease() bool                            { return true }
func (process) RetryTime(_ string, now time.Time) time.Time { return now }
func (process) Submit(_ Job, done func(engine.Answer)) error {
	go done(engine.Answer{Body: []byte("1")})
	return nil
}

// TestStartAsync checks that StartAsync reports how a run ended, and that it reports a refusal
// only if the state can no longer start the run.
func TestStartAsync(t *testing.T) {
	all, problems := plan.Parse("p.hcl", []byte("plan \"one\" {\n within = \"10m\"\n attempts = 9\n stage \"s\" {\n class = \"safe\"\n path = \"/s\"\n }\n}"),
		plan.ClassesByName([]policy.Class{{Name: "safe", Effect: policy.Idempotent, ClientTimeout: time.Second}}))
	require.Empty(t, problems)
	for name, at := range map[string]struct {
		commandsLost, repliesLost bool // of plans; see fakeRaftNode
		ask                       StartRequest
		within                    time.Duration
		outcome                   planrun.Outcome
		err                       error // in place of the outcome
	}{
		"served":                            {within: time.Hour, ask: StartRequest{Plan: "one"}},
		"refused by the state":              {within: time.Hour, ask: StartRequest{Plan: "one", Tenant: strings.Repeat("x", 300)}, err: ErrRefused},
		"late":                              {within: -time.Second, ask: StartRequest{Plan: "one"}, err: ErrRefused},
		"commands are lost":                 {commandsLost: true, within: 300 * time.Millisecond, ask: StartRequest{Plan: "one"}, err: ErrRefused},
		"started, and the replies are lost": {repliesLost: true, within: 300 * time.Millisecond, ask: StartRequest{Plan: "one"}, outcome: planrun.Refused},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := newHeldClock()
			node := &fakeRaftNode{machine: state.New(partition.NewPlans()), clock: clock, startedAt: clock.now(), loseCommands: at.commandsLost, loseReplies: at.repliesLost}
			server := httptest.NewServer(node)
			defer server.Close()
			client := rpc.New(map[string]string{"k": strings.TrimPrefix(server.URL, "http://")})
			defer client.Close()
			ctx, stop := context.WithCancel(context.Background())
			session, _, err := client.Join(ctx, "p", "1", "1")
			require.NoError(t, err)
			log := logtest.Discard()
			c := New(process{session}, process{}, log)
			c.now = clock.now
			c.SetPlans(all)
			require.ErrorIs(t, c.StartAsync(StartRequest{Plan: "two"}, time.Time{}, nil), ErrUnknownPlan)
			require.ErrorIs(t, c.StartAsync(at.ask, time.Time{}, nil), ErrNoSession, "the coordinator does not run yet")
			var running sync.WaitGroup
			running.Go(func() { _ = c.Run(ctx) })
			defer running.Wait()
			defer stop()
			type end struct {
				answer *planrun.Answer
				err    error
			}
			ended := make(chan end, 2)
			at.ask.Run = "r"
			until := clock.now().Add(at.within)
			require.Eventually(t, func() bool {
				return c.StartAsync(at.ask, until, func(a *planrun.Answer, err error) { ended <- end{a, err} }) == nil
			}, 10*time.Second, time.Millisecond)
			got := <-ended
			require.False(t, (at.commandsLost || at.repliesLost) && node.at() < at.within, "a command that was sent may still start the run")
			if at.err != nil {
				require.ErrorIs(t, got.err, at.err)
				return
			}
			require.NoError(t, got.err)
			require.Equal(t, at.outcome, got.answer.Outcome, "%+v", got.answer)
		})
	}
}
