package upgradetest_test

import (
	"os/exec"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/processes"
)

// Loopback networks of the two clusters, which run in parallel: the third number of their addresses.
const (
	killedNetwork  = 61
	rollingNetwork = 62
)

// TestUpgrade replaces the processes of an old build by those of a new one.
func TestUpgrade(t *testing.T) {
	older, newer := loadBuilds(t)
	t.Run("AllKilledAtOnce", func(t *testing.T) {
		t.Parallel()
		testAllKilled(t, older, newer)
	})
	t.Run("OneAfterAnother", func(t *testing.T) {
		t.Parallel()
		testRolling(t, older, newer)
	})
}

// testAllKilled kills all processes, one right after the other, and starts the new build on their data.
func testAllKilled(t *testing.T, older, newer processes.Build) {
	c := newCluster(t, killedNetwork, older)
	w := newWorkload(c)
	for _, n := range c.processes() {
		n.Stop(syscall.SIGKILL)
	}
	for _, n := range c.processes() {
		c.start(n, newer)
	}
	w.check()
	c.requireStatusShown(newer)
}

// testRolling replaces one process after another while jobs run, so that old and new processes run together.
// Before each replacement all control-plane nodes are voters.
func testRolling(t *testing.T, older, newer processes.Build) {
	c := newCluster(t, rollingNetwork, older)
	w := newWorkload(c)
	traffic := c.startTraffic()
	for _, n := range []*process{c.nodes[0], c.dispatcher, c.nodes[1], c.nodes[2]} {
		n.Stop(syscall.SIGTERM)
		c.start(n, newer)
		when := "after " + n.ip + " was replaced"
		traffic.awaitMore(t, when)
		c.awaitAllVoting(when)
		w.checkJobs()
	}
	traffic.finish(t)
	w.check()
	c.requireStatusShown(newer)
}

// requireStatusShown checks that basaltloftctl shows a leader for every group, and no group as halted.
func (c *cluster) requireStatusShown(newer processes.Build) {
	arguments := []string{"status"}
	for _, node := range c.nodes {
		arguments = append(arguments, c.address(node.ip, 0))
	}
	output, err := exec.CommandContext(c.t.Context(), newer.Program(processes.CtlProgram), arguments...).CombinedOutput()
	require.NoError(c.t, err, string(output))
	require.NotContains(c.t, string(output), "none")
	require.NotContains(c.t, string(output), "halted")
}
