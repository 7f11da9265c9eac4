package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/processes"
	"basaltloft/internal/shared/testdeadline"
)

// Sizes of runs: of the usual one, and of those that environment variables ask for.
const (
	shortWindows = 2
	longWindows  = 4
	overloadSeed = 25
	parallelRuns = 2 // of those that environment variables ask for
)

var usualSize = Size{Nodes: 3, Dispatchers: 3, Runners: 3, Clients: 9}

// TestSoak runs the short plan of one seed. With BASALTLOFT_SOAK_SEEDS it runs the longer plans of that many
// seeds, two at a time, from BASALTLOFT_SOAK_FIRST on; with BASALTLOFT_SOAK_SEED, the longer plan of that seed
// only. BASALTLOFT_SOAK_DISPATCHERS, _NODES and _CLIENTS set other sizes, BASALTLOFT_SOAK_LOGS is a folder in
// which logs are kept, and BASALTLOFT_SOAK_BUILD one with the programs of another build.
func TestSoak(t *testing.T) {
	t.Parallel()
	build := loadBuild(t)
	first, _ := envNumber("BASALTLOFT_SOAK_FIRST")
	seeds, byHand := envNumber("BASALTLOFT_SOAK_SEEDS")
	if seed, ok := envNumber("BASALTLOFT_SOAK_SEED"); ok {
		first, seeds, byHand = seed, 1, true
	}
	if !byHand {
		runPlan(t, build, NewPlan(1, shortWindows), usualSize)
		return
	}
	size := sizeByHand()
	var next atomic.Uint64
	for part := range parallelRuns {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for number := next.Add(1) - 1; number < seeds; number = next.Add(1) - 1 {
				plan := NewPlan(first+number, longWindows)
				t.Run(fmt.Sprint("seed ", plan.Seed), func(t *testing.T) { runPlan(t, build, plan, size) })
			}
		})
	}
}

// TestSoakOverload runs one window with more clients than the processes can serve with a quarter of a
// processor each. It guards against a dispatcher that, upon SIGTERM, closes the connections of requests that
// wait for a leader.
func TestSoakOverload(t *testing.T) {
	t.Parallel()
	plan := NewPlan(overloadSeed, 1)
	plan.Share = 0.25
	size := usualSize
	size.Clients = 150
	runPlan(t, loadBuild(t), plan, size)
}

// loadBuild returns the build that BASALTLOFT_SOAK_BUILD names, or compiles the present source.
func loadBuild(t *testing.T) processes.Build {
	t.Helper()
	if folder := os.Getenv("BASALTLOFT_SOAK_BUILD"); folder != "" {
		return processes.Build(folder)
	}
	build, err := processes.Compile(t.Context(), t.TempDir())
	require.NoError(t, err)
	return build
}

// sizeByHand returns the usual size, with the numbers in environment variables.
func sizeByHand() Size {
	size := usualSize
	for variable, number := range map[string]*int{
		"BASALTLOFT_SOAK_DISPATCHERS": &size.Dispatchers, "BASALTLOFT_SOAK_NODES": &size.Nodes, "BASALTLOFT_SOAK_CLIENTS": &size.Clients,
	} {
		if given, ok := envNumber(variable); ok {
			*number = int(given)
		}
	}
	return size
}

// runPlan executes a plan and fails the test if there are findings.
func runPlan(t *testing.T, build processes.Build, plan Plan, size Size) {
	folder := t.TempDir()
	if kept := os.Getenv("BASALTLOFT_SOAK_LOGS"); kept != "" {
		folder = filepath.Join(kept, fmt.Sprint("seed-", plan.Seed))
		require.NoError(t, os.MkdirAll(folder, 0o700))
	}
	result, err := Run(testdeadline.Context(t), Options{Plan: plan, Size: size, Build: build, Folder: folder})
	t.Logf("seed %d: %d findings; %s", plan.Seed, len(result.Findings), result.Summary)
	if len(result.Findings) > 0 {
		t.Log(plan)
	}
	require.NoError(t, err)
	require.Empty(t, result.Findings)
}

// envNumber returns the number in an environment variable, or false if there is none.
func envNumber(variable string) (uint64, bool) {
	value, err := strconv.ParseUint(os.Getenv(variable), 10, 64)
	return value, err == nil
}
