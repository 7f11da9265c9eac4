package systemtest_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// taskDuration is how long tasks run in tests that don't depend on it.
const taskDuration = 30 * time.Millisecond

// TestOperatorRequests: any node accepts a configuration, and only if its base version is the current one. The
// repetition of a request is accepted too.
func TestOperatorRequests(t *testing.T) {
	c := newCluster(t, taskDuration)
	c.requireConfiguration(0, 0, 5)
	c.requireConfiguration(1, 0, 5) // a repetition, at another node
	require.Equal(t, http.StatusPreconditionFailed, c.replaceConfiguration(2, 3, 9).status)
	require.Equal(t, http.StatusBadRequest, c.send(c.operator(0, http.MethodPost, "/-/config/replace", "{", 5)).status)
	got := c.send(c.operator(2, http.MethodGet, "/-/config/get", "", 0))
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, fmt.Sprintf(configurationText, 5), got.body)
}

// TestClientRequests: a job runs once, however often it is submitted, and each kind of request that can't be
// served has a status of its own.
func TestClientRequests(t *testing.T) {
	c := newCluster(t, taskDuration)
	c.requireConfiguration(0, 0, 5)
	c.submit("00000000000000a1")
	c.submit("00000000000000a1")
	c.awaitState("00000000000000a1", "completed")
	c.requireStartedOnce(twoStageTasks)

	for _, test := range []struct {
		name    string
		request request
		status  int
	}{
		{"unknown job", c.client(http.MethodGet, "/q/00000000000000ff", ""), http.StatusGone},
		{"unknown queue", c.client(http.MethodGet, "/nowhere/1", ""), http.StatusNotFound},
		{"other method", c.client(http.MethodPut, "/q/1", ""), http.StatusMethodNotAllowed},
		{"body that is not JSON", c.client(http.MethodPost, "/q/00000000000000a2", "{"), http.StatusBadRequest},
		{"readiness", request{method: http.MethodGet, address: c.Readiness(dispatcherIP) + "/-/ready"}, http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.status, c.send(test.request).status)
		})
	}
	pending := c.send(c.client(http.MethodGet, "/q/", ""))
	require.Equal(t, http.StatusOK, pending.status)
	require.JSONEq(t, `{"pending":0}`, pending.body)
}

// TestCancelRunningJob: a client can cancel a job whose tasks run.
func TestCancelRunningJob(t *testing.T) {
	const id = "00000000000000b1"
	c := newCluster(t, time.Hour)
	c.requireConfiguration(0, 0, 5)
	c.submit(id)
	c.awaitState(id, "running")
	require.Equal(t, http.StatusOK, c.send(c.client(http.MethodDelete, "/q/"+id, "")).status)
	c.awaitState(id, "canceled")
}

// TestCancelBeforeSubmit: the response to the cancellation of an unknown job is 410, and the job is rejected
// at once and permanently if it is submitted later.
func TestCancelBeforeSubmit(t *testing.T) {
	const path = "/q/00000000000000c1"
	c := newCluster(t, taskDuration)
	c.requireConfiguration(0, 0, 5)
	require.Equal(t, http.StatusGone, c.send(c.client(http.MethodDelete, path, "")).status)
	rejected, err := c.attempt(c.client(http.MethodPost, path, `{"spec":"x","stages":[{"count":1,"cpu":500}]}`))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, rejected.status, rejected.body)
	require.Equal(t, http.StatusGone, c.send(c.client(http.MethodGet, path, "")).status)
	require.Empty(t, c.runner.StartCounts())
}

// TestEachNodeIsLostInTurn stops and restarts each control-plane node while jobs run, one of them with an
// empty disk. No job is lost and no task is started twice.
func TestEachNodeIsLostInTurn(t *testing.T) {
	const lostDisk = 1 // the node that restarts with an empty disk
	c := newCluster(t, taskDuration)
	c.requireConfiguration(0, 0, 5)
	for node, ip := range nodeIPs {
		before, after := fmt.Sprintf("%016x", 100+node), fmt.Sprintf("%016x", 200+node)
		c.submit(before)
		require.NoError(t, c.Stop(ip))
		c.submit(after)
		c.awaitState(before, "completed")
		c.awaitState(after, "completed")
		if node == lostDisk {
			c.ReplaceDisk(ip, t.TempDir())
		}
		require.NoError(t, c.StartNode(ip, false))
		c.requireConfiguration((node+1)%len(nodeIPs), 5+node, 6+node)
		c.awaitAllVoting()
	}
	c.requireStartedOnce(2 * len(nodeIPs) * twoStageTasks)
}
