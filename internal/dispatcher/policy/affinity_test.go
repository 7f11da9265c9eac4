package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// instantHost is a host at which each job ends as soon as it is sent, except at silent workers, which
// never answer.
type instantHost struct {
	nopHost
	at     map[uint32]int // jobs sent, by worker
	sent   []AttemptResult
	silent map[uint32]bool
}

func (h *instantHost) Send(id string, w uint32, _ time.Duration) {
	h.at[w]++
	if !h.silent[w] {
		h.sent = append(h.sent, AttemptResult{Request: id, Worker: w, Status: OK, Final: true})
	}
}

// affinityFleet returns dispatchers and their hosts. The dispatchers and the workers are spread over
// three zones.
func affinityFleet(t *testing.T, instances, workers int) (fleet []*Dispatcher, hosts []*instantHost) {
	var list []Member
	for i := range workers {
		list = append(list, Member{Number: uint32(1 + i*7919), Kind: "a", Zone: string(rune('a' + i%3))})
	}
	for rank := range instances {
		h := &instantHost{at: make(map[uint32]int), silent: make(map[uint32]bool)}
		d, err := New(Settings{
			Seed: uint64(rank), Instances: instances, Rank: rank, Zone: string(rune('a' + rank%3)), CrossZonePrice: 0.03, ReportsStart: true, Kinds: []string{"a"},
			Limits:  Limits{MaxAttempts: 3, Cancel: true},
			Classes: []Class{{Name: "safe", Effect: Idempotent, LatencyTarget: time.Second, TargetPerWork: 2, ClientTimeout: 5 * time.Second, Value: 1, Kind: -1}},
			Rules:   Rules{ColdCapacity: 0.3, WarmupTime: 8 * time.Second, ColdOverloadMultiple: 2.5, ColdOverloadWindow: 2 * time.Second},
		}, h)
		require.NoError(t, err)
		d.HandleMembers(time.Minute, ListSnapshot, list)
		fleet, hosts = append(fleet, d), append(hosts, h)
	}
	return fleet, hosts
}

// serve clears the host's counts of sent jobs and has a dispatcher serve one job.
func serve(d *Dispatcher, h *instantHost, now time.Duration, id, key string) {
	clear(h.at)
	d.HandleRequest(now, Request{ID: id, Class: "safe", AffinityKey: key, Hint: 50 * time.Millisecond, Deadline: now + 5*time.Second})
	for len(h.sent) > 0 {
		o := h.sent[0]
		h.sent = h.sent[1:]
		d.HandleAttemptResult(now+50*time.Millisecond, o)
	}
}

// TestJobsOfOneAffinityKeyShareWorkers checks that the jobs of a key go to few workers, the same ones
// at all dispatchers: to one worker for a rare key, and otherwise to a number in proportion to the
// key's share of the jobs. Jobs without a key go to any worker with capacity.
func TestJobsOfOneAffinityKeyShareWorkers(t *testing.T) {
	const instances, workers, rounds = 30, 90, 400
	fleet, hosts := affinityFleet(t, instances, workers)
	went := map[string]map[uint32]int{"rare": {}, "half": {}, "": {}}
	now := time.Minute
	for n := range rounds {
		for i, d := range fleet {
			now += time.Millisecond
			key := fmt.Sprint("other ", n%200)
			switch {
			case n%2 == 0:
				key = "half"
			case n%100 == 51:
				key = "rare"
			case n%100 == 1:
				key = ""
			}
			serve(d, hosts[i], now, fmt.Sprint(n, " ", i), key)
			for w, jobs := range hosts[i].at {
				if went[key] != nil && n > rounds/2 {
					went[key][w] += jobs
				}
			}
		}
	}
	require.LessOrEqual(t, len(went["rare"]), 3, "%v", went["rare"])
	require.GreaterOrEqual(t, len(went[""]), workers/4)
	// Among the homes, those that started recent jobs promptly come first.
	require.GreaterOrEqual(t, len(went["half"]), workers/4)
	require.LessOrEqual(t, len(went["half"]), workers*6/10)
}

// TestHomesAreReplaced checks that the next worker in a key's order replaces a home that drains, has
// just started, is removed or does not respond. After several unresponsive workers in a row another
// zone counts as cut off, until one of its workers responds.
//
//nolint:funlen // one property, whose steps depend on one another
func TestHomesAreReplaced(t *testing.T) {
	now := time.Minute
	begin := func() (*Dispatcher, *instantHost, []*worker) {
		fleet, hosts := affinityFleet(t, 1, 30)
		d := fleet[0]
		for n := range 300 {
			serve(d, hosts[0], now, fmt.Sprint("other ", n), fmt.Sprint("other ", n))
		}
		serve(d, hosts[0], now, "first", "x")
		return d, hosts[0], d.affinities[d.affinityOf(Request{AffinityKey: "x"}).hash].ranked
	}
	home := func(d *Dispatcher) *worker {
		return d.homes(&job{affinity: d.affinityOf(Request{AffinityKey: "x"}), class: d.classes["safe"]}, 0)[0]
	}
	for name, out := range map[string]func(d *Dispatcher, w *worker){
		"drains": func(d *Dispatcher, w *worker) {
			m := w.Member
			m.State = Draining
			d.HandleMembers(now, ListDelta, []Member{m})
		},
		"started anew": func(d *Dispatcher, w *worker) {
			m := w.Member
			m.StartedAt = now
			d.HandleMembers(now, ListDelta, []Member{m})
		},
		"gone": func(d *Dispatcher, w *worker) {
			m := w.Member
			m.State = Removed
			d.HandleMembers(now, ListDelta, []Member{m})
		},
		"silent": func(d *Dispatcher, w *worker) { d.suspectWorker(w, false) },
	} {
		t.Run(name, func(t *testing.T) {
			d, _, ranks := begin()
			require.Same(t, ranks[0], home(d))
			out(d, ranks[0])
			require.Same(t, ranks[1], home(d))
		})
	}
	t.Run("a newcomer that comes first in the order", func(t *testing.T) {
		d, _, ranks := begin()
		hash := uint64(d.affinityOf(Request{AffinityKey: "x"}).hash)
		id := uint32(1 << 20)
		for (&worker{Member: Member{Number: id}}).hashFraction(hash) <= ranks[0].hashFraction(hash) {
			id++
		}
		d.HandleMembers(now, ListDelta, []Member{{Number: id, Kind: "a", Zone: "a"}})
		require.Equal(t, id, home(d).Number)
	})
	t.Run("a zone", func(t *testing.T) {
		d, _, ranks := begin()
		first := ranks[0]
		d.Zone = "elsewhere"
		n := 0
		for _, w := range d.workers {
			if w != first && w.Zone == first.Zone && n < zoneCutOffCount {
				require.Same(t, first, home(d))
				d.suspectWorker(w, false)
				n++
			}
		}
		require.NotEqual(t, first.Zone, home(d).Zone)
		for _, w := range d.workers {
			if w != first && w.Zone == first.Zone {
				d.clearSuspicion(w)
				break
			}
		}
		require.Same(t, first, home(d))
		d.Zone = first.Zone
		for _, w := range d.workers {
			if w != first && w.Zone == first.Zone {
				d.suspectWorker(w, false)
			}
		}
		require.Same(t, first, home(d), "the dispatcher's own zone never counts as cut off")
	})
}

// TestUnresponsiveHomesAreRetried checks that a home outside the subset that stops responding is
// rechecked, as members of the subset are, and becomes a home again.
func TestUnresponsiveHomesAreRetried(t *testing.T) {
	fleet, hosts := affinityFleet(t, 1, 300)
	d, h, now := fleet[0], hosts[0], time.Minute
	for n := range 300 {
		serve(d, h, now, fmt.Sprint("other ", n), fmt.Sprint("other ", n))
	}
	var home *worker
	for n := 0; home == nil || home.inSubset; n++ { // one outside the subset
		home = d.homes(&job{affinity: d.affinityOf(Request{AffinityKey: fmt.Sprint("x", n)}), class: d.classes["safe"]}, 0)[0]
	}
	d.suspectWorker(home, true)
	require.True(t, home.suspect && home.inSubset)
	for range 100 {
		now += 50 * time.Millisecond
		d.HandleTimer(now, recheckToken)
	}
	require.False(t, home.suspect, "without probes a job is the recheck")
}

// TestAffinityKeysAreForgotten checks that the state kept for affinity keys is bounded, however many
// keys there are.
func TestAffinityKeysAreForgotten(t *testing.T) {
	fleet, hosts := affinityFleet(t, 1, 10)
	for n := range 20000 {
		serve(fleet[0], hosts[0], time.Minute, fmt.Sprint(n), fmt.Sprint("s", n))
		require.LessOrEqual(t, len(fleet[0].affinities), int(affinityWindow))
	}
	require.Less(t, fleet[0].affinityJobs, affinityWindow)
}
