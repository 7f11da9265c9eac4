package rig

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"basaltloft/internal/demo"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestProcesses takes processes through all that can be done to one, and to a
// link between two.
func TestProcesses(t *testing.T) {
	r := New(t, Settings{Processes: 2, Load: demo.Load{Members: 2, Seed: 3},
		Operator: `{"#":{"name":"{{.Name}}","peer":"{{.Reach "n2" "listen"}}","all":{{.Peers 2 "listen"}}},"figures":{"journal":{"folder":"{{.Folder}}"}}}`})
	r.Start()
	one, two := r.Processes[0], r.Processes[1]
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	asks := func(addr string) error { // until the answer, or for a little while
		client := http.Client{Transport: transport, Timeout: 250 * time.Millisecond}
		resp, err := client.Get("http://" + addr + "/health/ready")
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	addr, err := one.Reach("n2", "listen")
	require.NoError(t, err)
	require.NotEqual(t, two.Addr("listen"), addr)
	require.NoError(t, asks(addr))
	own, err := two.Reach("n2", "listen")
	require.NoError(t, err)
	require.Equal(t, two.Addr("listen"), own)
	require.NoError(t, r.Links(0, 1)[0].Cut(false))
	require.Error(t, asks(addr))
	require.NoError(t, asks(own))
	require.NoError(t, r.Links(0, 1)[0].Heal())
	require.NoError(t, asks(addr))
	require.NoError(t, two.Freeze())
	require.Error(t, asks(own))
	require.NoError(t, two.Thaw())
	require.Eventually(t, func() bool { return asks(own) == nil }, patience, time.Millisecond)

	copied := filepath.Join(one.Home, "copy")
	require.NoError(t, one.Copy(copied))
	require.NoError(t, one.Kill())
	require.False(t, one.Runs())
	require.Error(t, asks(one.Addr("listen")))
	segments := func(dir string) int {
		entries, err := os.ReadDir(dir)
		require.NoError(t, err)
		return len(entries)
	}
	require.NotZero(t, segments(one.Folder))
	require.NoError(t, one.Wipe())
	require.Zero(t, segments(one.Folder))
	require.NoError(t, one.Put(copied))
	require.Equal(t, segments(copied), segments(one.Folder))
	require.NoError(t, one.Start())
	require.NoError(t, one.Ready())
	require.NoError(t, one.Term())
	require.NoError(t, one.Wait(time.Now().Add(patience)))
	require.Empty(t, append(one.Died(), two.Died()...))
}

// TestPlan: a plan is its seed's, keeps a majority, and leaves time around the
// loss of a folder.
func TestPlan(t *testing.T) {
	for seed := range uint64(40) {
		n := 2 + int(seed%4)
		plan := Plan(seed, n, 200)
		require.Equal(t, plan.String(), Plan(seed, n, 200).String())
		require.NotEqual(t, plan.String(), Plan(seed+1, n, 200).String())
		for i, f := range plan {
			out := 0
			for _, g := range plan[:i] {
				together := g.At+g.For > f.At
				require.False(t, together && (g.Who == f.Who || kinds[g.Kind].two && g.Whom == f.Who), "%v\n%v", g, f)
				if together && (!kinds[g.Kind].two || kinds[g.Kind].folder) {
					out++
				}
				if kinds[f.Kind].folder && (!kinds[g.Kind].two || kinds[g.Kind].folder) || kinds[g.Kind].folder && !kinds[f.Kind].two {
					require.LessOrEqual(t, g.At+g.For+calm, f.At, "%v\n%v", g, f)
				}
			}
			if !kinds[f.Kind].two {
				require.Less(t, out, max(1, (n-1)/2), f)
			}
		}
	}
}

// TestFaults plays faults over processes of today under load: whatever fails, no
// ticket runs twice and each call has one answer.
func TestFaults(t *testing.T) {
	load := demo.Load{Members: 6, Rate: 60, Seed: 4}
	load.Troubles.TurnAway, load.Troubles.Fail, load.Troubles.Break, load.Troubles.Again = 0.02, 0.01, 0.005, 0.1
	r := New(t, Settings{Processes: 3, Load: load})
	plan := Plan(4, 3, 8, "is killed", "is frozen", "is asked to end")
	t.Logf("the plan:\n%v", plan)
	r.Start()
	r.Begin()
	require.NoError(t, r.Play(context.Background(), plan))
	r.End()
	require.Empty(t, r.Till.Twice())
	require.NotZero(t, r.Answers.Served.Load())
	for _, p := range r.Processes {
		require.Empty(t, p.Died())
	}
}
