package standin_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/standin"
)

// sendOrder sends an order to a runner and returns its response.
func sendOrder(t *testing.T, runner *standin.Runner, path, body string) (status int, answer string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, runner.Server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Expect-Instance", runner.ID)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { require.NoError(t, response.Body.Close()) }()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(content)
}

// TestRunnerRefusesOrders: a start that arrives after its deadline, after the end of its attempt, or from an
// earlier leader is refused.
func TestRunnerRefusesOrders(t *testing.T) {
	const start = `{"task":"job.0.0.0","attempt":%d,"fence_token":%d,"deadline_ms":%d}`
	const farDeadline = 1 << 40
	runner, err := standin.NewRunner("i-1", time.Hour)
	require.NoError(t, err)
	defer runner.Server.Close()
	for _, step := range []struct {
		name, path, order string
		status            int
		answer            string
		starts            int
	}{
		{"late", "/-/run-start", fmt.Sprintf(start, 1, 7, 1), http.StatusConflict, `"late"`, 0},
		{"in time", "/-/run-start", fmt.Sprintf(start, 1, 7, farDeadline), http.StatusOK, "", 1},
		{"there already, late", "/-/run-start", fmt.Sprintf(start, 1, 7, 1), http.StatusOK, "", 1},
		{"earlier leader", "/-/run-start", fmt.Sprintf(start, 2, 6, farDeadline), http.StatusConflict, `"fence"`, 1},
		{"stop", "/-/run-stop", `{"task":"job.0.0.0","attempt":1,"fence_token":7}`, http.StatusOK, "", 1},
		{"over already", "/-/run-start", fmt.Sprintf(start, 1, 7, farDeadline), http.StatusConflict, `"old"`, 1},
		{"stop of what never began", "/-/run-stop", `{"task":"job.0.0.0","attempt":2,"fence_token":7}`, http.StatusOK, "", 1},
		{"stopped before it came", "/-/run-start", fmt.Sprintf(start, 2, 7, farDeadline), http.StatusConflict, `"old"`, 1},
		{"next attempt", "/-/run-start", fmt.Sprintf(start, 3, 7, farDeadline), http.StatusOK, "", 2},
	} {
		t.Run(step.name, func(t *testing.T) {
			status, answer := sendOrder(t, runner, step.path, step.order)
			require.Equal(t, step.status, status, answer)
			require.Contains(t, answer, step.answer)
			require.Equal(t, step.starts, runner.StartCounts()["job.0.0.0"])
		})
	}
}

// recorder is an observer that sends a line on the channel for each event.
type recorder chan string

func (r recorder) RunStarted(_, task string, _ int)              { r <- "start " + task }
func (r recorder) RunEnded(_, task string, _ int, reason string) { r <- reason + " " + task }
func (r recorder) EndAcknowledged(_, task string, _ int, reason string) {
	r <- "acknowledged " + reason + " " + task
}

// TestRunnerEndsLapsedRuns: a run ends when its lease expires, and the end is reported until the scheduler has
// acknowledged it.
func TestRunnerEndsLapsedRuns(t *testing.T) {
	const maxEvents = 10
	runner, err := standin.NewRunner("i-1", time.Hour)
	require.NoError(t, err)
	events := make(recorder, maxEvents)
	runner.MaxLease, runner.Observer = 20*time.Millisecond, events
	defer runner.Server.Close()
	status, answer := sendOrder(t, runner, "/-/run-start", `{"task":"job.0.0.0","attempt":1,"fence_token":1,"deadline_ms":1000000}`)
	require.Equal(t, http.StatusOK, status, answer)
	require.Equal(t, "start job.0.0.0", <-events)
	require.Equal(t, "lapsed job.0.0.0", <-events)
	_, answer = sendOrder(t, runner, "/-/hold", `{"fence_token":1}`)
	require.Contains(t, answer, `[1,"job.0.0.0",1,"lapsed",""]`)
	_, answer = sendOrder(t, runner, "/-/hold", `{"fence_token":1,"last_seen":1}`)
	require.Contains(t, answer, `"finished":[]`)
	require.Equal(t, "acknowledged lapsed job.0.0.0", <-events)
}

// TestRunnerCrash: a crash ends all runs of the runner.
func TestRunnerCrash(t *testing.T) {
	const maxEvents = 10
	runner, err := standin.NewRunner("i-1", time.Hour)
	require.NoError(t, err)
	events := make(recorder, maxEvents)
	runner.Observer = events
	status, answer := sendOrder(t, runner, "/-/run-start", `{"task":"job.0.0.0","attempt":1,"fence_token":1,"deadline_ms":1000000}`)
	require.Equal(t, http.StatusOK, status, answer)
	runner.Crash()
	require.Equal(t, "start job.0.0.0", <-events)
	require.Equal(t, "crashed job.0.0.0", <-events)
}
