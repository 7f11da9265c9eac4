package loadgen_test

import (
	"bytes"
	"context"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/demo"
	"basaltloft/internal/dispatcher/loadgen"
	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestDueTimes checks that the number of requests in the whole and in the first half of an evenly spaced plan is
// the integral of the rate within one request, and for a Poisson plan within five standard deviations. Due times
// are in order and within the length.
func TestDueTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := loadgen.Plan{
			StartRate: float64(rapid.IntRange(0, 200).Draw(t, "from")), EndRate: float64(rapid.IntRange(1, 200).Draw(t, "to")),
			Length: time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second, EvenlySpaced: rapid.Bool().Draw(t, "even"), Seed: rapid.Uint64().Draw(t, "seed"),
		}
		require.NoError(t, p.Validate())
		half := p.Length / 2
		last, n, early := time.Duration(0), 0, 0
		for at := range p.DueTimes() {
			require.GreaterOrEqual(t, at, last)
			require.LessOrEqual(t, at, p.Length)
			if last, n = at, n+1; at <= half {
				early++
			}
		}
		whole := (p.StartRate + p.EndRate) / 2 * p.Length.Seconds()
		first := (p.StartRate + (p.EndRate-p.StartRate)/4) * half.Seconds()
		within := func(want float64) float64 {
			if p.EvenlySpaced {
				return 1.001
			}
			return 1 + 5*math.Sqrt(want+1)
		}
		require.InDelta(t, whole, n, within(whole))
		require.InDelta(t, first, early, within(first))
	})
}

func TestValidate(t *testing.T) {
	for name, p := range map[string]loadgen.Plan{
		"no rate":        {Length: time.Second},
		"negative rate":  {StartRate: -1, EndRate: 5, Length: time.Second},
		"not a number":   {StartRate: math.NaN(), EndRate: 1, Length: time.Second},
		"no length":      {StartRate: 1, EndRate: 1},
		"an empty trace": {Trace: []time.Duration{}},
		"unsorted trace": {Trace: []time.Duration{2, 1}},
	} {
		require.Error(t, p.Validate(), name)
	}
	p := loadgen.Plan{Trace: []time.Duration{1, 5, 5}}
	require.NoError(t, p.Validate())
	require.Equal(t, 3, p.ExpectedRequests())
}

// TestStallCounts checks that a server's stall counts as latency (coordinated omission). The server answers each
// request within a millisecond of sending but stalls for the first second: the requests that are due meanwhile
// are late, so that a hundred of two hundred requests have half a second of latency on average.
func TestStallCounts(t *testing.T) {
	const ms = time.Millisecond
	r := loadgen.NewRecord()
	for n := range 200 {
		due := time.Duration(n) * 10 * ms
		sent := max(due, time.Second) // nothing is sent in the first second
		r.Add(due, sent, sent+ms, loadgen.Served)
	}
	r.Add(0, 0, ms, "broken off")
	s := r.Summary()
	require.EqualValues(t, 201, s.Asks)
	of := func(points []loadgen.Point, q float64) float64 {
		return points[slices.IndexFunc(points, func(p loadgen.Point) bool { return p.Quantile == q })].MS
	}
	require.InDelta(t, 501, of(s.Corrected, 75), 10)
	require.InDelta(t, 901, of(s.Corrected, 95), 12)
	require.InDelta(t, 1, of(s.Service, 99), 0.01)
	require.InDelta(t, 500, of(s.Lateness, 75), 12)
	require.InDelta(t, 1001, s.Worst, 1)
	require.InDelta(t, 200/1.991, s.PerS, 0.01)
	var table bytes.Buffer
	require.NoError(t, s.Table(&table))
	require.Contains(t, table.String(), "served 200 (99.50%)")
}

// countingTarget is a target that counts its requests and the most that were in flight at a time.
type countingTarget struct {
	mu                          sync.Mutex
	seen, inFlight, maxInFlight int
}

func (c *countingTarget) Send(context.Context, int) string {
	c.mu.Lock()
	c.seen++
	c.inFlight++
	c.maxInFlight = max(c.maxInFlight, c.inFlight)
	c.mu.Unlock()
	runtime.Gosched()
	c.mu.Lock()
	c.inFlight--
	c.mu.Unlock()
	return loadgen.Served
}
func (c *countingTarget) Close() {}

// TestRunSendsAll checks that Run sends all requests, also overdue ones, with at most maxInFlight at a time, and
// that it sends nothing once the context has ended.
func TestRunSendsAll(t *testing.T) {
	c, r := &countingTarget{}, loadgen.NewRecord()
	loadgen.Run(context.Background(), loadgen.Plan{Trace: make([]time.Duration, 500)}, c, 3, r)
	require.Equal(t, 500, c.seen)
	require.LessOrEqual(t, c.maxInFlight, 3)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	loadgen.Run(ended, loadgen.Plan{Trace: []time.Duration{time.Hour}}, c, 3, r)
	require.EqualValues(t, 500, r.Summary().Asks)
}

// TestBothFronts sends requests to both fronts of the started program.
func TestBothFronts(t *testing.T) {
	binary, err := scenario.Build()
	require.NoError(t, err)
	dir := t.TempDir()
	w, err := demo.NewWorld(demo.Load{Members: 4, RunTime: time.Millisecond})
	require.NoError(t, err)
	defer w.Close()
	config, operator := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.json")
	require.NoError(t, os.WriteFile(config, []byte(w.Configuration()), 0o600))
	require.NoError(t, os.WriteFile(operator, []byte(w.OperatorFile("")), 0o600))
	cmd := exec.CommandContext(t.Context(), binary, "--log-level", "error", "--operator", operator)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_NAME=")
	require.NoError(t, cmd.Start())
	defer func() {
		require.NoError(t, cmd.Process.Kill())
		require.Error(t, cmd.Wait(), "killed")
	}()
	require.NoError(t, demo.WaitReady(context.Background(), w.HTTPAddr, nil))
	job := loadgen.Job{IDPrefix: "both-fronts", Class: "place-hold", Queue: "holds", Tenant: "hrad-kamenec", CostHint: time.Millisecond, Timeout: 10 * time.Second, BodyBytes: 10}
	for name, to := range map[string]loadgen.Target{"http": loadgen.NewHTTP(w.HTTPAddr, job, 8), "faktory": loadgen.NewFaktory(w.FaktoryAddr, job, 8)} {
		r := loadgen.NewRecord()
		loadgen.Run(context.Background(), loadgen.Plan{StartRate: 400, EndRate: 400, Length: 250 * time.Millisecond, EvenlySpaced: true}, to, 8, r)
		to.Close()
		s := r.Summary()
		require.EqualValues(t, 100, s.Asks, name)
		require.Greater(t, s.Outcomes[loadgen.Served], int64(90), "%s: %v", name, s.Outcomes)
	}
	for name, to := range map[string]loadgen.Target{"http": loadgen.NewHTTP("127.0.0.1:1", job, 1), "faktory": loadgen.NewFaktory("127.0.0.1:1", job, 1)} {
		require.NotEqual(t, loadgen.Served, to.Send(context.Background(), 1), name)
		to.Close()
	}
}

// TestIsLoopback checks that only loopback addresses of this machine are reported as such.
func TestIsLoopback(t *testing.T) {
	for addr, want := range map[string]bool{"127.0.0.1:80": true, "[::1]:80": true, "localhost:1": true, "10.0.0.1:80": false, "example.org:80": false} {
		got, err := loadgen.IsLoopback(addr)
		require.NoError(t, err)
		require.Equal(t, want, got, addr)
	}
	_, err := loadgen.IsLoopback("nowhere")
	require.Error(t, err)
}
