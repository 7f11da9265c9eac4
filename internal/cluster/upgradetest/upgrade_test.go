package upgradetest_test

import (
	"os/exec"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Loopback networks of the two clusters, which run side by side.
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

// testAllKilled kills all processes at once and starts the new build on their disks.
func testAllKilled(t *testing.T, older, newer build) {
	c := newCluster(t, killedNetwork, older)
	w := give(c)
	for _, n := range c.nodes() {
		n.end(syscall.SIGKILL)
	}
	for _, n := range c.nodes() {
		c.start(n, newer)
	}
	w.check()
	c.requireStatusShown(newer)
}

// testRolling replaces one process after another while jobs run. Before each step all core
// processes vote; old and new ones are beside each other.
func testRolling(t *testing.T, older, newer build) {
	c := newCluster(t, rollingNetwork, older)
	w := give(c)
	work := c.startTraffic()
	for _, n := range []*node{c.cores[0], c.edge, c.cores[1], c.cores[2]} {
		n.end(syscall.SIGTERM)
		c.start(n, newer)
		when := "after " + n.ip + " was replaced"
		work.awaitMore(t, when)
		c.awaitWhole(when)
		w.checkJobs()
	}
	work.finish(t)
	w.check()
	c.requireStatusShown(newer)
}

// requireStatusShown tells whether the operators' tool shows all groups.
func (c *cluster) requireStatusShown(newer build) {
	arguments := []string{"status"}
	for _, core := range c.cores {
		arguments = append(arguments, c.address(core.ip, 0))
	}
	output, err := exec.CommandContext(c.t.Context(), newer.program(ctlProgram), arguments...).CombinedOutput()
	require.NoError(c.t, err, string(output))
	require.NotContains(c.t, string(output), "none")
	require.NotContains(c.t, string(output), "halted")
}
