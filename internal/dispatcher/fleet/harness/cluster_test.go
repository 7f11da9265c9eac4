package harness

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/demo"
	"basaltloft/internal/dispatcher/faultproxy"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestProcesses tests every operation on a process, and every fault of a link between two.
func TestProcesses(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	r := New(t, Settings{Processes: 2, Load: demo.Load{Members: 2, Seed: 3},
		Operator: `{"#":{"name":"{{.Name}}","peer":"{{.PeerAddr "n2" "listen"}}","all":{{.Peers 2 "listen"}}},"figures":{"journal":{"folder":"{{.Folder}}"}}}`})
	r.Start()
	one, two := r.Processes[0], r.Processes[1]
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	request := func(addr string, quiet ...bool) error { // waits for the answer, or only briefly if none is expected
		client := http.Client{Transport: transport, Timeout: transitionTimeout}
		if slices.Contains(quiet, true) {
			client.Timeout = 250 * time.Millisecond
		}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+"/health/ready", nil)
		require.NoError(t, err)
		resp, err := client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	addr, err := one.PeerAddr("n2", "listen")
	require.NoError(t, err)
	require.NotEqual(t, two.Addr("listen"), addr)
	require.NoError(t, request(addr))
	own, err := two.PeerAddr("n2", "listen")
	require.NoError(t, err)
	require.Equal(t, two.Addr("listen"), own)
	status, _, err := two.AdminRequest(http.MethodPost, "/nowhere", "x", time.Now().Add(transitionTimeout))
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, status)
	match, err := two.WaitForAdmin("/healthcheck", "^(.*)$", time.Now().Add(transitionTimeout))
	require.NoError(t, err)
	require.Len(t, match, 2)
	_, err = two.WaitForAdmin("/healthcheck", "nothing like it", time.Now())
	require.ErrorContains(t, err, "does not say")
	link := r.Links(0, 1)[0]
	for name, silent := range map[string]bool{"is cut from": true, "is cut off": true, "is refused by": true, "is not heard by": true, "is late at": false,
		"is slow at": true, "has its calls reset by": false, "has its calls twice at": false} {
		for index := range 2 { // the fault affects the same link, whichever process it names
			f := Fault{Duration: 80 * time.Millisecond, Kind: name, Process: index, Peer: 1 - index, Rate: 50}
			was := link.Counts()
			require.NoError(t, faultKinds[name].begin(r, f))
			require.Equal(t, silent, request(addr, silent) != nil, f)
			if name == "is not heard by" {
				require.Equal(t, index == 0, link.Counts().Lost[faultproxy.Forward] > was.Lost[faultproxy.Forward], f)
			}
			require.NoError(t, request(own))
			require.NoError(t, faultKinds[name].end(r, f))
			require.NoError(t, request(addr), f)
		}
	}
	require.NoError(t, two.Freeze())
	require.Error(t, request(own, true))
	require.NoError(t, two.Thaw())
	require.Eventually(t, func() bool { return request(own) == nil }, transitionTimeout, time.Millisecond)

	copied := filepath.Join(one.Home, "copy")
	require.NoError(t, one.CopyFolder(copied))
	require.NoError(t, one.Kill())
	require.False(t, one.IsRunning())
	require.Error(t, request(one.Addr("listen")))
	segments := func(dir string) int {
		entries, err := os.ReadDir(dir)
		require.NoError(t, err)
		return len(entries)
	}
	require.NotZero(t, segments(one.Folder))
	require.NoError(t, one.WipeFolder())
	require.Zero(t, segments(one.Folder))
	require.NoError(t, one.ReplaceFolder(copied))
	require.Equal(t, segments(copied), segments(one.Folder))
	require.NoError(t, one.Start())
	require.NoError(t, one.WaitReady())
	require.NoError(t, one.Terminate())
	require.NoError(t, one.Wait(time.Now().Add(transitionTimeout)))
	require.NoError(t, one.Start())

	var all FaultPlan
	for n, name := range FaultKinds() {
		all = append(all, Fault{Start: time.Duration(n) * 20 * time.Millisecond, Duration: 15 * time.Millisecond, Kind: name, Process: 0, Peer: 1, Rate: 50})
	}
	require.NoError(t, r.Inject(t.Context(), all))
	r.clients.Wait()
	require.NoError(t, request(addr))
	require.NoError(t, request(one.Addr("listen")))
	require.Empty(t, append(one.UnexpectedExits(), two.UnexpectedExits()...))
	require.Error(t, r.Inject(t.Context(), FaultPlan{{Kind: "is unknown"}}))
}

// TestPlan checks that a plan of faults depends on its seed alone, leaves a majority in service,
// and keeps the time around the loss of a directory free of other outages.
func TestPlan(t *testing.T) {
	for seed := range uint64(40) {
		n := 2 + int(seed%4)
		plan := RandomFaults(seed, n, 200)
		require.Equal(t, plan.String(), RandomFaults(seed, n, 200).String())
		require.NotEqual(t, plan.String(), RandomFaults(seed+1, n, 200).String())
		for i, f := range plan {
			out := 0
			for _, g := range plan[:i] {
				together := g.Start+g.Duration > f.Start
				require.False(t, together && (g.Process == f.Process || faultKinds[g.Kind].pairwise && g.Peer == f.Process), "%v\n%v", g, f)
				if together && (!faultKinds[g.Kind].pairwise || faultKinds[g.Kind].affectsFolder) {
					out++
				}
				if faultKinds[f.Kind].affectsFolder && (!faultKinds[g.Kind].pairwise || faultKinds[g.Kind].affectsFolder) || faultKinds[g.Kind].affectsFolder && !faultKinds[f.Kind].pairwise {
					require.LessOrEqual(t, g.Start+g.Duration+quietPeriod, f.Start, "%v\n%v", g, f)
				}
			}
			if !faultKinds[f.Kind].pairwise {
				require.Less(t, out, max(1, (n-1)/2), f)
			}
		}
	}
}

var (
	soakFor  = flag.Duration("soak", 0, "how long TestSoak injects faults; 0: it is skipped")
	soakSeed = flag.Uint64("seed", 1, "random seed of TestSoak")
)

// soakSeparate returns a soak of processes without a fleet layer.
func soakSeparate(processes int, seed uint64) Soak {
	load := demo.Load{Members: 6, Rate: 60, Seed: seed}
	load.Faults.Reject, load.Faults.Fail, load.Faults.Break, load.Faults.DuplicateEnd = 0.02, 0.01, 0.005, 0.1
	return Soak{Settings: Settings{Processes: processes, Load: load}, FaultKinds: []string{"is killed", "is frozen", "is asked to end"}, Checks: SoakChecks(nil)}
}

// soakFleet returns a soak of a fleet of three raft nodes and two further processes, with a budget
// for a tenant whose demand exceeds it, under faults of all kinds. About half of the load goes
// to one process, which changes every 7 s. Runs of the booking plan are started meanwhile.
func soakFleet(seed uint64) Soak {
	const rate, burst = 12, 6
	plans, err := filepath.Abs("testdata/booking.hcl")
	if err != nil {
		panic(err)
	}
	s, digests := soakSeparate(5, seed), new(DigestMonitor)
	runs := &PlanLoad{Plan: "booking", Query: "within_ms=25000&tenant=" + demo.Tenants[1], Interval: 200 * time.Millisecond}
	var outcomes Outcomes // set once the faults have ended
	s.FaultKinds, s.Load.Rate = nil, 120
	began := time.Now()
	s.PickProcess = func(r *Cluster) *Process {
		if p := r.RandomProcess(); p.index > 1 {
			return p
		}
		return r.Processes[int(time.Since(began)/(7*time.Second))%len(r.Processes)]
	}
	s.Operator = `{"fleet":{"name":"{{.Name}}","folder":"{{.Folder}}",{{if le .Name "n3"}}"calls":"{{.Addr "calls"}}","votes":"{{.Addr "votes"}}",{{end}}
"keepers":{{.Peers 3 "calls" "votes"}},"lease_ms":1500,"election_ms":400,"compare_every_ms":500,
"budgets":[{"of":"jobs","name":"` + demo.Tenants[0] + fmt.Sprintf(`","whole":%d,"burst":%d}],"plans":[%q],"records":{"tenants":{%q:{"count":150}}}}}`, rate, burst, plans, demo.Tenants[2])
	records := &RetentionMonitor{PrunedTenant: demo.Tenants[2], KeptTenants: demo.Tenants[:2], Lag: 5 * time.Second}
	s.Background = append(s.Background, digests.Watch, runs.Run, records.Watch)
	s.Checks = SoakChecks(map[string]func(*Cluster) ([]string, error){
		"overspends": func(r *Cluster) (over []string, _ error) {
			if by, window := Overspent(r.AdmissionSpans(demo.Tenants[0]), rate, burst); by > 0 {
				over = append(over, fmt.Sprintf("by %.2f in the %v from %v", by, window.End.Sub(window.Start), window.Start))
			}
			return over, nil
		},
		"plans ended once": func(r *Cluster) ([]string, error) {
			outcomes = runs.Outcomes(r, time.Now().Add(2*transitionTimeout))
			return outcomes.Once, nil
		},
		"plans ended never or otherwise": func(*Cluster) ([]string, error) { return append(outcomes.Never, outcomes.Contradictory...), nil },
		"records missing": func(r *Cluster) ([]string, error) {
			err := records.Check(r)
			return records.missing, err
		},
		"extra":       func(*Cluster) ([]string, error) { return records.extra, nil },
		"resurrected": func(*Cluster) ([]string, error) { return records.resurrected, nil },
		"digests that differed": func(r *Cluster) ([]string, error) {
			return digests.WaitConverged(r, 3, time.Now().Add(transitionTimeout))
		},
	})
	return s
}

// TestFaults is the short form of the soak.
func TestFaults(t *testing.T) { t.Log(soakSeparate(3, 4).Run(t, 6*time.Second)) }

// TestSoak is the long form: go test ./internal/dispatcher/fleet/harness -run Soak -v -args -soak 10m -seed 1
func TestSoak(t *testing.T) {
	if *soakFor == 0 {
		t.Skip("it takes as long as -args -soak says")
	}
	t.Log(soakFleet(*soakSeed).Run(t, *soakFor))
}
