package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/demo"
	"basaltloft/internal/dispatcher/fakes"
	"basaltloft/internal/dispatcher/faultproxy"
	"basaltloft/internal/dispatcher/fleet/harness"

	"github.com/stretchr/testify/require"
)

// operatorFile is the template of the operator file of a fleet of three raft nodes and any
// number of other processes; %s is replaced by its budgets and further settings.
const operatorFile = `{"fleet":{"name":"{{.Name}}","folder":"{{.Folder}}",
{{if le .Name "n3"}}"calls":"{{.Addr "calls"}}","votes":"{{.Addr "votes"}}",{{end}}
"keepers":{{.Peers 3 "calls" "votes"}},"lease_ms":1500,"election_ms":400,"compare_every_ms":500%s}}`

// extraArgs are further arguments of the processes.
var extraArgs = strings.Fields(os.Getenv("BASALTLOFT_ARGS"))

// startFleet starts a fleet with a load and further settings of its operator file.
func startFleet(t *testing.T, processes int, load demo.Load, more string) *harness.Cluster {
	t.Helper()
	return startFleetWith(t, harness.Settings{Processes: processes, Load: load}, more)
}

func startFleetWith(t *testing.T, s harness.Settings, more string) *harness.Cluster {
	t.Helper()
	s.Operator, s.Args = fmt.Sprintf(operatorFile, more), extraArgs
	r := harness.New(t, s)
	r.Start()
	for _, p := range r.Processes {
		waitJoined(t, p)
	}
	return r
}

// adminRequest sends a request to a process's admin API.
func adminRequest(p *harness.Process, method, path, body string) (status int, answer string) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+p.Addr("admin")+path, strings.NewReader(body)) // the client has a timeout
	if err != nil {
		return 0, err.Error()
	}
	resp, err := (&http.Client{Timeout: 8 * time.Second}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

type status struct {
	Process     string
	Incarnation uint64
	Joined      int
	Renewed     int `json:"renewed_ms"`
	Keeper      *struct {
		Leads   bool
		Index   uint64
		Digests map[string]string
	}
}

func fleetStatus(p *harness.Process) (s status, err error) {
	code, text := adminRequest(p, http.MethodGet, "/fleet", "")
	if code != http.StatusOK {
		return s, fmt.Errorf("%d %s", code, text)
	}
	return s, json.Unmarshal([]byte(text), &s)
}

// waitJoined waits until a process has a lease.
func waitJoined(t *testing.T, p *harness.Process) {
	t.Helper()
	require.Eventually(t, func() bool {
		s, err := fleetStatus(p)
		return err == nil && s.Incarnation > 0 && s.Renewed >= 0
	}, 40*time.Second, 20*time.Millisecond, "%s joins", p.Name)
}

// waitLeader waits until the raft nodes have a leader, and returns its index.
func waitLeader(t *testing.T, r *harness.Cluster) (index int) {
	t.Helper()
	require.Eventually(t, func() bool {
		for i, p := range r.Processes[:3] {
			if !p.IsRunning() {
				continue
			}
			if s, err := fleetStatus(p); err == nil && s.Keeper != nil && s.Keeper.Leads {
				index = i
				return true
			}
		}
		return false
	}, 40*time.Second, 20*time.Millisecond, "a raft node leads")
	return index
}

// waitServed waits until the given number of further attempts are served.
func waitServed(t *testing.T, r *harness.Cluster, more int64) {
	t.Helper()
	from := r.Answers.Served.Load()
	require.Eventually(t, func() bool { return r.Answers.Served.Load() >= from+more }, 40*time.Second, 10*time.Millisecond, "%d more are served", more)
}

// waitSameState waits until the raft nodes are at the same log index, and checks that their digests
// are equal there.
func waitSameState(t *testing.T, r *harness.Cluster) {
	t.Helper()
	var last []status
	require.Eventually(t, func() bool {
		last = nil
		for _, p := range r.Processes[:3] {
			s, err := fleetStatus(p)
			if err != nil || s.Keeper == nil {
				return false
			}
			last = append(last, s)
		}
		for _, s := range last[1:] {
			if s.Keeper.Index != last[0].Keeper.Index {
				return false // read between two commands
			}
		}
		for _, s := range last[1:] {
			require.Equal(t, last[0].Keeper.Digests, s.Keeper.Digests, "the same log gives the same state")
		}
		return true
	}, 40*time.Second, 5*time.Millisecond, "%+v", last)
}

// TestBudgetThroughFaults checks that the processes together admit no more than the budget's total,
// and continue to admit, while processes are killed or frozen and links fail.
func TestBudgetThroughFaults(t *testing.T) {
	const rate, burst = 40, 12
	budgets := fmt.Sprintf(`,"budgets":[{"of":"jobs","name":%q,"whole":%d,"burst":%d}]`, demo.Tenants[0], rate, burst)
	r := startFleet(t, 5, demo.Load{Rate: 300, Members: 6, Slots: 8, RunTime: 5 * time.Millisecond, Seed: 7}, budgets)
	r.StartClients()
	waitServed(t, r, 100)
	lead := waitLeader(t, r)
	require.NoError(t, r.Processes[lead].Kill())
	waitServed(t, r, 100)
	holder := r.Processes[4]
	require.NoError(t, holder.Freeze())
	time.Sleep(2 * time.Second) // the fault itself: frozen for longer than a lease
	require.NoError(t, holder.Thaw())
	require.NoError(t, r.Processes[lead].WipeFolder())
	require.NoError(t, r.Processes[lead].Start())
	waitServed(t, r, 100)
	for _, l := range r.Links(3, waitLeader(t, r)) { // its renewals arrive; their answers do not
		l.DropOneWay(faultproxy.Backward)
	}
	waitServed(t, r, 200)
	for _, l := range r.LinksOf(3) {
		_ = l.Heal()
	}
	waitJoined(t, r.Processes[lead])
	waitServed(t, r, 100)
	r.StopClients()
	for _, p := range r.Processes {
		require.Empty(t, p.UnexpectedExits(), p.Name)
	}
	spans := r.AdmissionSpans(demo.Tenants[0])
	over, window := harness.Overspent(spans, rate, burst)
	require.LessOrEqual(t, over, 0.0, "overspent in the %s from %s", window.End.Sub(window.Start), window.Start)
	require.Greater(t, len(spans), 100, "the tenant with a budget is served")
	require.Empty(t, r.RunLog.RunTwice())
	waitSameState(t, r)
}

// bookings is a plan of three stages; its ticket must never run twice. The sid of each job
// identifies the job over all attempts.
const bookings = `
plan "booking" {
  within   = "6m" # the worst case of the check; each run asks for less
  attempts = 60
  stage "hold" {
    class = "place-hold"
    each  = input.seats
    most  = 3
    path  = "/place-hold?sid=${segment(input.booking)}-${item}"
    body  = { seat = item }
    key   = "${input.booking}-${item}"
    retry {
      on   = ["refused", "full", "unsent", "late", "reset"]
      most = 4
      wait = "50ms"
    }
    undo {
      class = "place-hold"
      path  = "/place-hold?sid=${segment(input.booking)}-${item}-release"
      key   = "${input.booking}-${item}-release"
      most  = 2
      wait  = "100ms"
    }
  }
  stage "ticket" {
    class = "group-ticket"
    after = ["hold"]
    path  = "/group-ticket?sid=${segment(input.booking)}"
    body  = { seats = length(hold) }
    retry {
      on   = ["refused", "full", "unsent"]
      most = 4
      wait = "50ms"
    }
  }
  stage "notice" {
    class = "send-notice"
    after = ["ticket"]
    path  = "/send-notice?sid=${segment(input.booking)}"
    retry {
      on   = ["refused", "full", "unsent", "late", "failed", "reset"]
      most = 4
      wait = "50ms"
    }
  }
}
`

// startRun starts a run at one process, and repeats the request at the next ones until one has
// confirmed the start.
func startRun(t *testing.T, r *harness.Cluster, at int, run string) {
	t.Helper()
	input := fmt.Sprintf(`{"booking":%q,"seats":[1,2,3]}`, run)
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); at++ {
		p := r.Processes[at%len(r.Processes)]
		if code, _ := adminRequest(p, http.MethodPost, "/plans/booking?within_ms=25000&tenant="+demo.Tenants[0]+"&run="+run, input); code == http.StatusAccepted || code == http.StatusOK {
			return
		}
	}
	t.Fatalf("run %s could not be begun", run)
}

// finalAnswers returns the final answers of runs, for which it waits: of all runs at the first
// process, and of the first two at each other process.
func finalAnswers(t *testing.T, r *harness.Cluster, runs []string) (all []harness.FinalAnswer) {
	t.Helper()
	for i, p := range r.Processes {
		for _, run := range runs {
			require.Eventually(t, func() bool {
				code, text := adminRequest(p, http.MethodGet, "/runs/"+run, "")
				if code == http.StatusOK {
					all = append(all, harness.FinalAnswer{ID: run, Text: text})
				}
				return code == http.StatusOK
			}, 60*time.Second, 20*time.Millisecond, "%s reports the outcome of %s", p.Name, run)
			if i > 0 && run > runs[0] {
				break // two are enough at each other process
			}
		}
	}
	return all
}

// TestPlansThroughFaults kills, freezes and terminates coordinators while their plans run. Each
// plan must end once, with the same answer at every process; no ticket runs twice.
func TestPlansThroughFaults(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	file := filepath.Join(t.TempDir(), "plans.hcl")
	require.NoError(t, os.WriteFile(file, []byte(bookings), 0o600))
	r := startFleet(t, 5, demo.Load{Members: 6, Slots: 8, RunTime: 60 * time.Millisecond, Seed: 11, Faults: fakes.Faults{Reject: 0.1}},
		fmt.Sprintf(`,"plans":[%q]`, file))
	var runs []string
	more := func(n int) {
		for range n {
			run := fmt.Sprintf("b%03d", len(runs))
			startRun(t, r, len(runs), run)
			runs = append(runs, run)
		}
	}
	more(15)
	require.NoError(t, r.Processes[4].Kill())
	more(10)
	require.NoError(t, r.Processes[3].Freeze())
	more(6)
	time.Sleep(2 * time.Second) // the fault itself: other processes take over its plans meanwhile
	require.NoError(t, r.Processes[3].Thaw())
	waitJoined(t, r.Processes[3])
	more(6)
	require.NoError(t, r.Processes[3].Terminate()) // it shuts down and leaves its plans to others
	require.NoError(t, r.Processes[3].Wait(time.Now().Add(15*time.Second)))
	require.NoError(t, r.Processes[3].Start())
	lead := waitLeader(t, r)
	more(6)
	require.NoError(t, r.Processes[lead].Kill())
	require.NoError(t, r.Processes[lead].WipeFolder())
	more(6)
	require.NoError(t, r.Processes[lead].Start())
	require.NoError(t, r.Processes[4].Start())
	waitJoined(t, r.Processes[lead])
	waitJoined(t, r.Processes[4])
	more(4)
	results := harness.CompareOutcomes(runs, finalAnswers(t, r, runs))
	require.Empty(t, results.Never)
	require.Empty(t, results.Contradictory)
	require.Empty(t, harness.RunTwice(r.RunLog.Arrivals(), demo.AtMostOnce), "no ticket twice")
	outcomes := map[string]int{}
	for _, run := range runs {
		_, text := adminRequest(r.Processes[0], http.MethodGet, "/runs/"+run, "")
		var a struct{ Outcome, Stage, End, Reason string }
		require.NoError(t, json.Unmarshal([]byte(text), &a))
		outcomes[a.Outcome]++
		if a.Outcome == "served" {
			continue
		}
		t.Log(run, text)
	}
	require.Greater(t, outcomes["served"], len(runs)/2, "%v", outcomes)
	waitSameState(t, r)
}

// coach is a plan in which all seats use one price list; a seat that gets a list older than the
// members' reports it as stale.
const coach = `
plan "coach" {
  within   = "20m"
  attempts = 800
  stage "prices" {
    class = "send-notice"
    path  = "/send-notice?sid=prices"
    retry {
      on   = ["refused", "full", "unsent", "late", "failed", "reset"]
      most = 2
      wait = "50ms"
    }
  }
  stage "hold" {
    class = "place-hold"
    after = ["prices"]
    each  = input.seats
    most  = 50
    path  = "/place-hold?sid=seat-${item}"
    body  = { list = prices.list }
    key   = "${input.booking}-${item}"
    rerun "prices" {
      when = end == "failed" && try(result.stale, "") == "prices"
      most = 2
    }
    retry {
      on   = ["refused", "full", "unsent", "late", "reset"]
      most = 4
      wait = "50ms"
    }
  }
}
`

// TestFiftyLoseOneOutput checks that a stage's output is produced again only once when fifty jobs
// on many members report it as stale at the same time, while the raft leader is killed.
func TestFiftyLoseOneOutput(t *testing.T) {
	file := filepath.Join(t.TempDir(), "plans.hcl")
	require.NoError(t, os.WriteFile(file, []byte(coach), 0o600))
	var lists, stale atomic.Int64
	someReported := make(chan struct{}) // closed once ten jobs have reported
	r := startFleetWith(t, harness.Settings{Processes: 4, Load: demo.Load{Members: 8, Slots: 8, RunTime: 20 * time.Millisecond, Seed: 3},
		MemberAnswer: func(class, _ string, body []byte) (string, string) {
			switch {
			case class == "send-notice":
				return "done", fmt.Sprintf(`{"list":%d}`, lists.Add(1))
			case strings.Contains(string(body), `"list":1`):
				if stale.Add(1) == 10 {
					close(someReported)
				}
				return "failed", `{"stale":"prices"}`
			}
			return "done", `{}`
		}}, fmt.Sprintf(`,"plans":[%q]`, file))
	seats := make([]int, 50)
	for i := range seats {
		seats[i] = i
	}
	text, err := json.Marshal(map[string]any{"booking": "c1", "seats": seats})
	require.NoError(t, err)
	code, answer := adminRequest(r.Processes[3], http.MethodPost, "/plans/coach?run=c1&within_ms=60000&tenant="+demo.Tenants[0], string(text))
	require.Equal(t, http.StatusAccepted, code, answer)
	<-someReported
	require.NoError(t, r.Processes[waitLeader(t, r)].Kill())
	var a struct {
		Outcome  string
		Attempts int
	}
	require.Eventually(t, func() bool {
		code, answer = adminRequest(r.Processes[3], http.MethodGet, "/runs/c1", "")
		return code == http.StatusOK
	}, 60*time.Second, 20*time.Millisecond)
	require.NoError(t, json.Unmarshal([]byte(answer), &a))
	require.Equal(t, "served", a.Outcome, answer)
	require.EqualValues(t, 2, lists.Load(), "the list was produced again once for fifty reports")
	t.Logf("%d attempts", a.Attempts)
}

// listRecords returns the ids of all records of a tenant, which it reads page by page from a
// process's admin API, and the number of those that are neither tickets nor failures.
func listRecords(t *testing.T, p *harness.Process, tenant string) (ids []string, ordinary int) {
	t.Helper()
	after := ""
	for {
		var page struct {
			Records []struct{ ID, Class, Outcome string }
			Next    string
		}
		require.Eventually(t, func() bool {
			code, text := adminRequest(p, http.MethodGet, "/records?most=200&tenant="+tenant+"&after="+after, "")
			return code == http.StatusOK && json.Unmarshal([]byte(text), &page) == nil
		}, 20*time.Second, 20*time.Millisecond)
		for _, r := range page.Records {
			if ids = append(ids, r.ID); r.Class != "group-ticket" && r.Outcome != "failed" {
				ordinary++
			}
		}
		if after = page.Next; after == "" {
			return ids, ordinary
		}
	}
}

// waitRecorded sends one more call to a process, and waits until the fleet has the record of it
// and of all calls that the process answered before.
func waitRecorded(t *testing.T, r *harness.Cluster, p *harness.Process, id string) {
	t.Helper()
	require.NoError(t, r.WaitRecorded(p, demo.Tenants[0], id, time.Now().Add(60*time.Second)))
}

// TestRecordsThroughFaults checks that each final answer leaves one record, although a process is
// killed and ships its spool after its restart, and the leader is frozen for a while. Records
// beyond the limit of a tenant's retention rule are pruned, except those under a hold.
func TestRecordsThroughFaults(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	const most = 50
	rules := fmt.Sprintf(`,"records":{"tenants":{%q:{"count":%d},"*":{"days":30}}}`, demo.Tenants[2], most)
	r := startFleet(t, 4, demo.Load{Rate: 150, Members: 6, Slots: 8, RunTime: 5 * time.Millisecond, Seed: 21}, rules)
	code, text := adminRequest(r.Processes[0], http.MethodPost, "/holds/case-1?tenant="+demo.Tenants[2]+"&class=group-ticket&owner=desk&reason=a+complaint", "")
	require.Equal(t, http.StatusOK, code, text)
	r.StartClients()
	waitServed(t, r, 150)
	// Records of answers from here on may be lost with the process: no answer waits for its record.
	kill := harness.Span{Start: time.Now()}
	last := []string{"before-kill"}
	waitRecorded(t, r, r.Processes[3], last[0])
	require.NoError(t, r.Processes[3].Kill())
	kill.End = time.Now()
	waitServed(t, r, 100)
	require.NoError(t, r.Processes[3].Start())
	waitJoined(t, r.Processes[3])
	lead := waitLeader(t, r)
	require.NoError(t, r.Processes[lead].Freeze())
	time.Sleep(2 * time.Second) // the fault itself
	require.NoError(t, r.Processes[lead].Thaw())
	waitServed(t, r, 150)
	r.StopClients()
	// All spooled records are shipped. Records that still wait to be spooled are not counted as unsent.
	for _, p := range r.Processes {
		id := "last-" + p.Name
		waitRecorded(t, r, p, id)
		last = append(last, id)
		require.Eventually(t, func() bool {
			code, text := adminRequest(p, http.MethodGet, "/fleet", "")
			var s struct {
				Spool struct{ Unsent, Dropped, Lost int }
			}
			return code == http.StatusOK && json.Unmarshal([]byte(text), &s) == nil && s.Spool.Unsent == 0 && s.Spool.Dropped == 0 && s.Spool.Lost == 0
		}, 40*time.Second, 20*time.Millisecond, "%s has shipped its records", p.Name)
	}
	for i, tenant := range demo.Tenants {
		var want, tickets, spared []string
		if i == 0 {
			want = slices.Clone(last)
		}
		for _, c := range r.Calls() {
			if c.Tenant != tenant || c.Status == 0 {
				continue
			}
			if c.Addr == r.Processes[3].Addr("listen") && c.Ended.After(kill.Start) && c.Sent.Before(kill.End) {
				spared = append(spared, c.ID)
				continue
			}
			want = append(want, c.ID)
			if c.Class == "group-ticket" {
				tickets = append(tickets, c.ID)
			}
		}
		got, _ := listRecords(t, r.Processes[1], tenant)
		missing, extra, back := harness.CompareRecords(want, nil, got)
		extra = slices.DeleteFunc(extra, func(id string) bool { return slices.Contains(spared, id) })
		if i != 2 {
			require.Empty(t, missing, "%s", tenant)
			require.Empty(t, back)
			require.LessOrEqual(t, len(extra), 20, "only records of calls whose answer was lost with a link or process")
			continue
		}
		missing, _, _ = harness.CompareRecords(tickets, nil, got)
		require.Empty(t, missing, "records under a hold are kept")
		require.Greater(t, len(want)-len(tickets), 2*most, "there are records to prune")
		require.Eventually(t, func() bool {
			_, ordinary := listRecords(t, r.Processes[1], tenant)
			return ordinary <= most
		}, 20*time.Second, 100*time.Millisecond, "the other records are pruned")
	}
	waitSameState(t, r)
}

// TestInFlightBudgetThroughFaults checks that the jobs in flight at the members never exceed the
// budget's total, although a process is killed three times with jobs in flight, and all
// processes are restarted one by one.
func TestInFlightBudgetThroughFaults(t *testing.T) {
	const whole = 10
	budgets := fmt.Sprintf(`,"budgets":[{"of":"under_way","name":"std","whole":%d,"linger_ms":25000}]`, whole)
	r := startFleet(t, 4, demo.Load{Rate: 150, Members: 6, Slots: 8, RunTime: 80 * time.Millisecond, Seed: 17}, budgets)
	r.StartClients()
	waitServed(t, r, 100)
	for range 3 { // the process has a share when it is killed
		require.NoError(t, r.Processes[3].Kill())
		waitServed(t, r, 20)
		require.NoError(t, r.Processes[3].Start())
		waitJoined(t, r.Processes[3])
	}
	for _, p := range r.Processes {
		require.NoError(t, p.Terminate())
		require.NoError(t, p.Wait(time.Now().Add(40*time.Second)), "%s shuts down", p.Name)
		require.NoError(t, p.Start())
		waitJoined(t, p)
		waitServed(t, r, 20)
	}
	r.StopClients()
	most := harness.MaxConcurrent(harness.Spans(r.RunLog.Arrivals(), nil))
	require.LessOrEqual(t, most, whole)
	require.Greater(t, most, whole/2, "the budget is used")
	require.Empty(t, r.RunLog.RunTwice())
	waitSameState(t, r)
}

// TestReplicaDownThroughPruning keeps a raft node down while records are pruned three times and
// the retention rule is changed. After its restart it must have the same records as the others,
// and none that was pruned.
func TestReplicaDownThroughPruning(t *testing.T) {
	rules := func(revision, count int) string {
		return fmt.Sprintf(`,"revision":%d,"records":{"tenants":{"*":{"count":%d}}}`, revision, count)
	}
	r := startFleet(t, 4, demo.Load{Rate: 200, Members: 6, Slots: 8, RunTime: 2 * time.Millisecond, Seed: 5}, rules(1, 40))
	r.StartClients()
	waitServed(t, r, 200)
	lead := waitLeader(t, r)
	away := (lead + 1) % 3
	old := filepath.Join(t.TempDir(), "old")
	require.NoError(t, r.Processes[away].CopyFolder(old))
	before, _ := listRecords(t, r.Processes[lead], demo.Tenants[0])
	require.NoError(t, r.Processes[away].Kill())
	few := func(p *harness.Process, most int) {
		t.Helper()
		require.Eventually(t, func() bool {
			_, ordinary := listRecords(t, p, demo.Tenants[0])
			return ordinary <= most
		}, 20*time.Second, 50*time.Millisecond, "pruned to %d", most)
	}
	waitServed(t, r, 100)
	few(r.Processes[lead], 40)
	waitServed(t, r, 100)
	few(r.Processes[lead], 40)
	changed := r.Processes[3]
	changed.Operator = fmt.Sprintf(operatorFile, rules(2, 15))
	require.NoError(t, changed.Kill())
	require.NoError(t, changed.Start())
	waitJoined(t, changed)
	r.StopClients()
	few(r.Processes[lead], 15)
	left, _ := listRecords(t, r.Processes[lead], demo.Tenants[0])
	require.NoError(t, r.Processes[away].ReplaceFolder(old)) // its directory as it was before all pruning
	require.NoError(t, r.Processes[away].Start())
	waitJoined(t, r.Processes[away])
	waitSameState(t, r)
	back, _ := listRecords(t, r.Processes[away], demo.Tenants[0])
	cut := slices.DeleteFunc(before, func(id string) bool { return slices.Contains(left, id) })
	require.NotEmpty(t, cut)
	for _, id := range back { // its own spool may have shipped records that no other replica had yet
		require.NotContains(t, cut, id, "pruned records stay pruned")
	}
}
