package load_test

import (
	"bytes"
	"context"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"basaltloft/internal/demo"
	"basaltloft/internal/load"
	"basaltloft/internal/scenario"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestTimes: in any stretch of an even plan there are as many asks as the integral
// of the rate over it, give or take one; a Poisson plan's are as many within five
// deviations. They come in order and within the length.
func TestTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := load.Plan{
			From: float64(rapid.IntRange(0, 200).Draw(t, "from")), To: float64(rapid.IntRange(1, 200).Draw(t, "to")),
			Length: time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second, Even: rapid.Bool().Draw(t, "even"), Seed: rapid.Uint64().Draw(t, "seed"),
		}
		require.NoError(t, p.Check())
		half := p.Length / 2
		last, n, early := time.Duration(0), 0, 0
		for at := range p.Times() {
			require.GreaterOrEqual(t, at, last)
			require.LessOrEqual(t, at, p.Length)
			if last, n = at, n+1; at <= half {
				early++
			}
		}
		whole := (p.From + p.To) / 2 * p.Length.Seconds()
		first := (p.From + (p.To-p.From)/4) * half.Seconds()
		within := func(want float64) float64 {
			if p.Even {
				return 1.001
			}
			return 1 + 5*math.Sqrt(want+1)
		}
		require.InDelta(t, whole, n, within(whole))
		require.InDelta(t, first, early, within(first))
	})
}

func TestCheck(t *testing.T) {
	for name, p := range map[string]load.Plan{
		"no rate":          {Length: time.Second},
		"below nothing":    {From: -1, To: 5, Length: time.Second},
		"no number":        {From: math.NaN(), To: 1, Length: time.Second},
		"no length":        {From: 1, To: 1},
		"an empty trace":   {Trace: []time.Duration{}},
		"a trace in chaos": {Trace: []time.Duration{2, 1}},
	} {
		require.Error(t, p.Check(), name)
	}
	p := load.Plan{Trace: []time.Duration{1, 5, 5}}
	require.NoError(t, p.Check())
	require.Equal(t, 3, p.Asks())
}

// stalled answers at once but for one ask, which it holds until as many others are
// due as it was told.
type stalled struct {
	mu   sync.Mutex
	seen int
	free chan struct{}
}

func (s *stalled) Ask(ctx context.Context, n int) string {
	if n == 1 {
		<-s.free
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen++
	return load.Served
}
func (s *stalled) Close() {}

// TestStallCounts: with one connection, a stall of the first ask makes those behind
// it late, and from when they were due, their latency holds the stall, though each
// was answered at once when it was sent.
func TestStallCounts(t *testing.T) {
	s, r := &stalled{free: make(chan struct{})}, load.NewRecord()
	begin := time.Now()
	go func() {
		time.AfterFunc(100*time.Millisecond, func() { close(s.free) })
	}()
	load.Run(context.Background(), load.Plan{Trace: []time.Duration{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}}, s, 1, r)
	require.Equal(t, 10, s.seen)
	sum := r.Summary()
	require.EqualValues(t, 10, sum.Asks)
	require.Greater(t, sum.Corrected[0].MS, 90.0, "the median ask waited out the stall")
	require.Less(t, sum.Service[0].MS, sum.Corrected[0].MS/2)
	require.Greater(t, sum.Lateness[0].MS, 90.0)
	require.Less(t, sum.PerS, 10/0.1)
	require.LessOrEqual(t, sum.Worst, float64(time.Since(begin).Milliseconds()+1))
	var table bytes.Buffer
	require.NoError(t, sum.Table(&table))
	require.Contains(t, table.String(), "served 10 (100.00%)")

	ended, cancel := context.WithCancel(context.Background())
	cancel()
	load.Run(ended, load.Plan{Trace: []time.Duration{time.Hour}}, s, 1, r)
	require.EqualValues(t, 10, r.Summary().Asks, "nothing is sent any more")
}

// TestBothFronts sends to the started program on both fronts.
func TestBothFronts(t *testing.T) {
	binary, err := scenario.Build()
	require.NoError(t, err)
	dir := t.TempDir()
	w, err := demo.NewWorld(demo.Load{Members: 4, Run: time.Millisecond})
	require.NoError(t, err)
	defer w.Close()
	config, operator := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.json")
	require.NoError(t, os.WriteFile(config, []byte(w.Configuration()), 0o600))
	require.NoError(t, os.WriteFile(operator, []byte(w.OperatorFile("")), 0o600))
	cmd := exec.Command(binary, "--log-level", "error", "--operator", operator)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_NAME=")
	require.NoError(t, cmd.Start())
	defer cmd.Wait()
	defer cmd.Process.Kill()
	require.NoError(t, demo.Ready(context.Background(), w.Addr, nil))
	job := load.Job{Prefix: "both-fronts", Class: "place-hold", Queue: "holds", Tenant: "hrad-kamenec", Cost: time.Millisecond, Budget: 10 * time.Second, Body: 10}
	for name, to := range map[string]load.Target{"http": load.NewHTTP(w.Addr, job, 8), "faktory": load.NewFaktory(w.Faktory, job, 8)} {
		r := load.NewRecord()
		load.Run(context.Background(), load.Plan{From: 400, To: 400, Length: 250 * time.Millisecond, Even: true}, to, 8, r)
		to.Close()
		s := r.Summary()
		require.EqualValues(t, 100, s.Asks, name)
		require.Greater(t, s.Outcomes[load.Served], int64(90), "%s: %v", name, s.Outcomes)
	}
	for name, to := range map[string]load.Target{"http": load.NewHTTP("127.0.0.1:1", job, 1), "faktory": load.NewFaktory("127.0.0.1:1", job, 1)} {
		require.NotEqual(t, load.Served, to.Ask(context.Background(), 1), name)
		to.Close()
	}
}

func TestLocal(t *testing.T) {
	for addr, want := range map[string]bool{"127.0.0.1:80": true, "[::1]:80": true, "localhost:1": true, "10.0.0.1:80": false, "example.org:80": false} {
		got, err := load.Local(addr)
		require.NoError(t, err)
		require.Equal(t, want, got, addr)
	}
	_, err := load.Local("nowhere")
	require.Error(t, err)
}
