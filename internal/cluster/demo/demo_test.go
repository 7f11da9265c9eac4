package demo

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/localcluster"
	"basaltloft/internal/cluster/systemtest"
	"basaltloft/internal/shared/testdeadline"
)

func testOptions(t *testing.T, out *bytes.Buffer) Options {
	t.Helper()
	return Options{
		Port: systemtest.FreePorts(t, localcluster.PortsEach, append(nodeIPs, dispatcherIPs...)...), For: 2 * time.Second,
		Rate: 20, Runners: 2, Out: out, Log: slog.New(slog.DiscardHandler),
	}
}

// TestKilledPartsLoseNoJob: each submitted job is completed, whichever part is killed.
func TestKilledPartsLoseNoJob(t *testing.T) {
	for _, target := range []Target{KillLeader, KillDispatcher, KillRunner} {
		t.Run(string(target), func(t *testing.T) {
			var out bytes.Buffer
			options := testOptions(t, &out)
			options.Kill = target
			require.NoError(t, Run(testdeadline.Context(t), options), out.String())
			require.Contains(t, out.String(), "is killed")
			require.Regexp(t, `(?m)^([1-9]\d*) jobs submitted, [1-9]\d* completed`, out.String())
			require.Contains(t, out.String(), " 0 begun twice at one runner")
		})
	}
}

// TestIncompleteJobsAreAnError: summarize returns an error if fewer jobs were completed than submitted.
func TestIncompleteJobsAreAnError(t *testing.T) {
	var out bytes.Buffer
	d := &demonstration{options: testOptions(t, &out), load: newLoad(nil)}
	d.load.update(queues[0], func(f *queueFigures) { f.submitted, f.completed = 3, 2 })
	require.ErrorIs(t, d.summarize(), ErrNotCompleted)
	d.load.update(queues[0], func(f *queueFigures) { f.completed++ })
	require.NoError(t, d.summarize())
}

func TestDemonstrationEndsWithItsContext(t *testing.T) {
	var out bytes.Buffer
	options := testOptions(t, &out)
	options.For = 0
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, Run(ctx, options))
}

func TestTakenPortIsAnError(t *testing.T) {
	var out bytes.Buffer
	options := testOptions(t, &out)
	cluster := localcluster.New(localcluster.Options{NodeIPs: nodeIPs, Port: options.Port, DataDir: t.TempDir(), Log: options.Log})
	require.NoError(t, cluster.StartNode(nodeIPs[1], false))
	defer cluster.Close()
	require.Eventually(t, func() bool {
		return localcluster.New(localcluster.Options{NodeIPs: nodeIPs, Port: options.Port, DataDir: t.TempDir(), Log: options.Log}).StartNode(nodeIPs[1], false) != nil
	}, testdeadline.Remaining(t), time.Millisecond, "the node listens")
	require.ErrorIs(t, Run(t.Context(), options), localcluster.ErrPortTaken)
}

func TestDataFolder(t *testing.T) {
	temporary, err := openFolder("", 7700)
	require.NoError(t, err)
	require.DirExists(t, temporary.path)
	temporary.close()
	require.NoDirExists(t, temporary.path)

	kept := filepath.Join(t.TempDir(), "new")
	for range 2 { // the second time it has the data of an earlier run
		folder, err := openFolder(kept, 7700)
		require.NoError(t, err)
		folder.close()
		require.DirExists(t, kept)
	}
	_, err = openFolder(kept, 7800)
	require.ErrorIs(t, err, ErrForeignFolder, "the addresses of its nodes have other ports")

	foreign := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(foreign, "x"), nil, 0o600))
	_, err = openFolder(foreign, 7700)
	require.ErrorIs(t, err, ErrForeignFolder)
	require.NoFileExists(t, filepath.Join(foreign, markerName))
}
