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

// raft node is the state behind calls that may be lost on their way in or out.
type keeper struct {
	mu      sync.Mutex
	machine *state.Machine
	clock   *heldClock
	began   time.Time
	lostIn  bool // commands of plans do not arrive
	lostOut bool // their answers do not
}

// at is fleet time, which may run slow.
func (k *keeper) at() time.Duration { return k.clock.now().Sub(k.began) / 2 }

// heldClock stands still until it is released, and keeps time from then on. What has to
// come before a deadline by it comes before, however busy the machine is.
type heldClock struct {
	held time.Time // what it shows until it is released

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

func (k *keeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	at, n := k.at(), k.machine.Index()+1
	lost, answer := false, any(nil)
	if r.URL.Path == rpc.PathCommand {
		c, _ := state.Decode(body)
		if c.Kind == partition.PlansCommand {
			defer k.clock.release() // the start of the run has come, and was carried out unless it is lost
		}
		if c.Kind == partition.PlansCommand && k.lostIn {
			panic(http.ErrAbortHandler)
		}
		lost, c.At = c.Kind == partition.PlansCommand && k.lostOut, at
		text, _ := codec.Encode(c)
		answer = k.machine.Apply(n, text)
	} else {
		tick, _ := codec.Encode(state.Command{Version: state.Version, Kind: state.Tick, At: at})
		k.machine.Apply(n, tick)
		var q rpc.Query
		_ = codec.Decode(body, &q)
		text, _ := k.machine.Query(q.Kind, q.Body)
		answer = rpc.Answer{Index: n, At: at, Body: text}
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	text, _ := codec.Encode(answer)
	_, _ = w.Write(text)
}

// process is a place in the fleet, and a dispatcher that serves all.
type process struct{ session *rpc.Session }

func (p process) Session() *rpc.Session                     { return p.session }
func (process) TakeRetry(string, string) bool               { return true }
func (process) HoldsLease() bool                            { return true }
func (process) RetryTime(_ string, now time.Time) time.Time { return now }
func (process) Submit(_ Job, done func(engine.Answer)) error {
	go done(engine.Answer{Body: []byte("1")})
	return nil
}

// TestStartAsync: whoever waits for a run is told its end; that nothing has run only where
// the state can't begin it any more.
func TestStartAsync(t *testing.T) {
	all, problems := plan.Parse("p.hcl", []byte("plan \"one\" {\n within = \"10m\"\n attempts = 9\n stage \"s\" {\n class = \"safe\"\n path = \"/s\"\n }\n}"),
		plan.ClassesByName([]policy.Class{{Name: "safe", Effect: policy.Idempotent, ClientTimeout: time.Second}}))
	require.Empty(t, problems)
	for name, at := range map[string]struct {
		in, out bool // what is lost
		ask     StartRequest
		within  time.Duration
		outcome planrun.Outcome
		err     error // in place of the outcome
	}{
		"served":                          {within: time.Hour, ask: StartRequest{Plan: "one"}},
		"refused by the state":            {within: time.Hour, ask: StartRequest{Plan: "one", Tenant: strings.Repeat("x", 300)}, err: ErrRefused},
		"late":                            {within: -time.Second, ask: StartRequest{Plan: "one"}, err: ErrRefused},
		"starts do not arrive":            {in: true, within: 300 * time.Millisecond, ask: StartRequest{Plan: "one"}, err: ErrRefused},
		"begun, and the answers are lost": {out: true, within: 300 * time.Millisecond, ask: StartRequest{Plan: "one"}, outcome: planrun.Refused},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := newHeldClock()
			k := &keeper{machine: state.New(partition.NewPlans()), clock: clock, began: clock.now(), lostIn: at.in, lostOut: at.out}
			server := httptest.NewServer(k)
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
			require.ErrorIs(t, c.StartAsync(at.ask, time.Time{}, nil), ErrNoSession, "it does not run yet")
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
			require.False(t, (at.in || at.out) && k.at() < at.within, "a start that is on its way may begin it yet")
			if at.err != nil {
				require.ErrorIs(t, got.err, at.err)
				return
			}
			require.NoError(t, got.err)
			require.Equal(t, at.outcome, got.answer.Outcome, "%+v", got.answer)
		})
	}
}
