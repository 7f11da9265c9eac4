package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/demo"
	"basaltloft/internal/dispatcher/fakes"
	"basaltloft/internal/dispatcher/faktory/client"
	"basaltloft/internal/dispatcher/fleet/harness"

	"github.com/stretchr/testify/require"
)

// TestFaktoryJobsAsPlans pushes jobs that name a plan, every other one to a process that is then
// killed, and pushes all of them to another process, as their clients would. That process must
// report one outcome for each, also for those that it did not start; no ticket runs twice.
func TestFaktoryJobsAsPlans(t *testing.T) {
	file := filepath.Join(t.TempDir(), "plans.hcl")
	require.NoError(t, os.WriteFile(file, []byte(strings.ReplaceAll(bookings, "input.", "input.custom.")), 0o600))
	r := startFleet(t, 5, demo.Load{Members: 6, Slots: 8, RunTime: 60 * time.Millisecond, Seed: 13},
		fmt.Sprintf(`,"plans":[%q]},"faktory":{"listen":"{{.Addr "faktory"}}","default":{"tenant":%q,"deadline_ms":25000}`, file, demo.Tenants[0]))
	const timeout = 60 * time.Second
	at := func(p *harness.Process) *client.Conn {
		c, err := client.Dial(p.Addr("faktory"), "", time.Now().Add(timeout))
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	surviving, killed := at(r.Processes[3]), at(r.Processes[4])
	jobs := make([]string, 10)
	push := func(c *client.Conn, i int) {
		jobs[i] = fmt.Sprintf("booking-%d", i)
		_, err := c.Do(fmt.Sprintf(`PUSH {"jid":%[1]q,"jobtype":"Booking","args":[],"custom":{"plan":"booking","booking":%[1]q,"seats":[1,2,3]}}`, jobs[i]), time.Now().Add(timeout))
		require.NoError(t, err)
	}
	for i := 1; i < len(jobs); i += 2 {
		push(killed, i)
	}
	require.Eventually(t, func() bool {
		return slices.ContainsFunc(r.RunLog.Arrivals(), func(a fakes.Arrival) bool { return demo.AtMostOnce(a.Class) && !a.StartedAt.IsZero() })
	}, timeout, time.Millisecond, "a ticket has run; others are in progress")
	for i := range jobs {
		push(surviving, i)
	}
	require.NoError(t, r.Processes[4].Kill())
	outcomes := map[string]int{}
	for _, jid := range jobs {
		var tracked struct{ State, Outcome, Result string }
		require.Eventually(t, func() bool {
			require.NoError(t, surviving.Query("TRACK GET "+jid, &tracked, time.Now().Add(timeout)))
			return tracked.State == "success" || tracked.State == "failed"
		}, timeout, 20*time.Millisecond, "%s has ended: %+v", jid, &tracked)
		outcomes[tracked.Outcome]++
		var answer struct{ Run, Outcome string }
		require.NoError(t, json.Unmarshal([]byte(tracked.Result), &answer), tracked.Result)
		require.True(t, answer.Run == jid || strings.HasPrefix(answer.Run, jid+"#"), answer.Run)
		require.Equal(t, tracked.State == "success", answer.Outcome == "served", tracked.Result)
		for _, p := range r.Processes[:4] {
			code, text := adminRequest(p, http.MethodGet, "/runs/"+url.PathEscape(answer.Run), "")
			require.Equal(t, http.StatusOK, code)
			require.JSONEq(t, tracked.Result, text, "every process reports the same outcome")
		}
	}
	require.Greater(t, outcomes["served"], 4, "%v", outcomes)
	require.Empty(t, harness.RunTwice(r.RunLog.Arrivals(), demo.AtMostOnce), "no ticket twice")
	t.Log(outcomes)
}
