package fleet

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/demo"
	"basaltloft/internal/dispatcher/fleet/harness"

	"github.com/stretchr/testify/require"
)

var measure = flag.Bool("measure", false, "print the fleet layer's figures; it takes minutes and needs an otherwise idle machine")

// TestMeasure prints the figures of the section Measured of docs/fleet-layer-design.md:
// go test ./internal/dispatcher/fleet -run Measure -v -measure
func TestMeasure(t *testing.T) { //nolint:funlen,gocognit // one scenario, to be read from top to bottom
	if !*measure {
		t.Skip("it takes minutes: -measure")
	}
	load := demo.Load{Members: 8, Slots: 8, RunTime: 5 * time.Millisecond, Rate: 300, Seed: 1}
	cpu := func(r *harness.Cluster) (sum time.Duration) {
		for _, p := range r.Processes {
			used, err := p.CPU()
			require.NoError(t, err)
			sum += used
		}
		return sum
	}
	full := fmt.Sprintf(`,"budgets":[{"of":"jobs","name":%q,"whole":1000,"burst":100},{"of":"retries","name":"place-hold","whole":100,"burst":50},{"of":"under_way","name":"std","whole":60,"linger_ms":25000}],"records":{"tenants":{"*":{"days":1}}}`, demo.Tenants[0])
	perJob := map[string][]time.Duration{}
	for range 3 {
		for _, name := range []string{"off", "on, at processes that are not raft nodes", "on"} {
			t.Run("CPU a job", func(t *testing.T) {
				var r *harness.Cluster
				switch name {
				case "off":
					r = harness.New(t, harness.Settings{Processes: 2, Load: load})
					r.Start()
				case "on":
					r = startFleet(t, 3, load, full)
				default: // of five processes, only the two that are not raft nodes get jobs
					s := harness.Settings{Processes: 5, Load: load}
					s.PickProcess = func(r *harness.Cluster) *harness.Process { return r.Processes[3+rand.IntN(2)] }
					r = startFleetWith(t, s, full)
				}
				of := func() time.Duration {
					if name == "on, at processes that are not raft nodes" {
						a, err := r.Processes[3].CPU()
						require.NoError(t, err)
						b, err := r.Processes[4].CPU()
						require.NoError(t, err)
						return a + b
					}
					return cpu(r)
				}
				r.StartClients()
				waitServed(t, r, 300)
				from, jobs := of(), r.Answers.Served.Load()
				waitServed(t, r, 1500)
				perJob[name] = append(perJob[name], (of()-from)/time.Duration(r.Answers.Served.Load()-jobs))
				r.StopClients()
			})
		}
	}
	for name, all := range perJob {
		slices.Sort(all)
		t.Logf("CPU a job, fleet %s: %v, median %v", name, all, all[len(all)/2])
	}
	t.Run("idle", func(t *testing.T) {
		r := startFleet(t, 5, demo.Load{Members: 2, Seed: 1}, full)
		from, began := cpu(r), time.Now()
		time.Sleep(10 * time.Second)
		t.Logf("five processes without jobs, three of them raft nodes: %.4f of a core together", (cpu(r)-from).Seconds()/time.Since(began).Seconds())
	})
	t.Run("plans", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "plans.hcl")
		require.NoError(t, os.WriteFile(file, []byte(bookings), 0o600))
		r := startFleet(t, 5, demo.Load{Members: 8, Slots: 16, RunTime: time.Millisecond, Seed: 1}, fmt.Sprintf(`,"plans":[%q]`, file))
		var all sync.WaitGroup
		var mu sync.Mutex
		var took []time.Duration
		began := time.Now()
		const clients, each = 20, 10
		for client := range clients {
			all.Go(func() {
				for n := range each {
					run, from := fmt.Sprintf("m%02d-%02d", client, n), time.Now()
					startRun(t, r, client, run)
					for {
						if code, _ := adminRequest(r.Processes[client%5], http.MethodGet, "/runs/"+run, ""); code == http.StatusOK {
							break
						}
						time.Sleep(2 * time.Millisecond)
					}
					mu.Lock()
					took = append(took, time.Since(from))
					mu.Unlock()
				}
			})
		}
		all.Wait()
		slices.Sort(took)
		t.Logf("%d plans of five jobs in three stages, %d at a time, 3 raft nodes: %.0f a second, p50 %v, p99 %v",
			len(took), clients, float64(len(took))/time.Since(began).Seconds(), took[len(took)/2], took[len(took)*99/100])
	})
	t.Run("takeover", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "plans.hcl")
		require.NoError(t, os.WriteFile(file, []byte(bookings), 0o600))
		r := startFleet(t, 5, demo.Load{Members: 6, Slots: 8, RunTime: 200 * time.Millisecond, Seed: 1}, fmt.Sprintf(`,"plans":[%q]`, file))
		var took []time.Duration
		for n := range 5 {
			run := fmt.Sprintf("t%d", n)
			startRun(t, r, 4, run)
			killed := time.Now()
			require.NoError(t, r.Processes[4].Kill())
			for {
				if code, _ := adminRequest(r.Processes[0], http.MethodGet, "/runs/"+run, ""); code == http.StatusOK {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			took = append(took, time.Since(killed))
			require.NoError(t, r.Processes[4].Start())
			waitJoined(t, r.Processes[4])
		}
		slices.Sort(took)
		t.Logf("a plan whose coordinator is killed right after the start is completed by another process after %v, median %v; its jobs alone run 0.6 s, the lease is 1.5 s", took, took[2])
	})
}
