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

var measure = flag.Bool("measure", false, "print the fleet layer's figures; it takes minutes and wants a quiet machine")

// TestMeasure prints what docs/fleet-layer-design.md has under Measured:
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
		for _, name := range []string{"off", "on, by processes that keep nothing", "on"} {
			t.Run("CPU a job", func(t *testing.T) {
				var r *harness.Cluster
				switch name {
				case "off":
					r = harness.New(t, harness.Settings{Processes: 2, Load: load})
					r.Start()
				case "on":
					r = found(t, 3, load, full)
				default: // of five, jobs go to the two that are no raft nodes
					s := harness.Settings{Processes: 5, Load: load}
					s.PickProcess = func(r *harness.Cluster) *harness.Process { return r.Processes[3+rand.IntN(2)] }
					r = foundWith(t, s, full)
				}
				of := func() time.Duration {
					if name == "on, by processes that keep nothing" {
						a, err := r.Processes[3].CPU()
						require.NoError(t, err)
						b, err := r.Processes[4].CPU()
						require.NoError(t, err)
						return a + b
					}
					return cpu(r)
				}
				r.StartClients()
				served(t, r, 300)
				from, jobs := of(), r.Answers.Served.Load()
				served(t, r, 1500)
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
		r := found(t, 5, demo.Load{Members: 2, Seed: 1}, full)
		from, began := cpu(r), time.Now()
		time.Sleep(10 * time.Second)
		t.Logf("five processes without jobs, three of them keepers: %.4f of a core together", (cpu(r)-from).Seconds()/time.Since(began).Seconds())
	})
	t.Run("plans", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "plans.hcl")
		require.NoError(t, os.WriteFile(file, []byte(bookings), 0o600))
		r := found(t, 5, demo.Load{Members: 8, Slots: 16, RunTime: time.Millisecond, Seed: 1}, fmt.Sprintf(`,"plans":[%q]`, file))
		var all sync.WaitGroup
		var mu sync.Mutex
		var took []time.Duration
		began := time.Now()
		const lanes, each = 20, 10
		for lane := range lanes {
			all.Go(func() {
				for n := range each {
					run, from := fmt.Sprintf("m%02d-%02d", lane, n), time.Now()
					begin(t, r, lane, run)
					for {
						if code, _ := ask(r.Processes[lane%5], http.MethodGet, "/runs/"+run, ""); code == http.StatusOK {
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
		t.Logf("%d plans of five jobs in three stages, %d at a time, 3 keepers: %.0f a second, p50 %v, p99 %v",
			len(took), lanes, float64(len(took))/time.Since(began).Seconds(), took[len(took)/2], took[len(took)*99/100])
	})
	t.Run("takeover", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "plans.hcl")
		require.NoError(t, os.WriteFile(file, []byte(bookings), 0o600))
		r := found(t, 5, demo.Load{Members: 6, Slots: 8, RunTime: 200 * time.Millisecond, Seed: 1}, fmt.Sprintf(`,"plans":[%q]`, file))
		var took []time.Duration
		for n := range 5 {
			run := fmt.Sprintf("t%d", n)
			begin(t, r, 4, run)
			served := time.Now()
			require.NoError(t, r.Processes[4].Kill())
			for {
				if code, _ := ask(r.Processes[0], http.MethodGet, "/runs/"+run, ""); code == http.StatusOK {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			took = append(took, time.Since(served))
			require.NoError(t, r.Processes[4].Start())
			joined(t, r.Processes[4])
		}
		slices.Sort(took)
		t.Logf("a plan whose coordinator is killed as it begins ends at another after %v, median %v; its jobs alone run 0.6 s, the lease is 1.5 s", took, took[2])
	})
}
