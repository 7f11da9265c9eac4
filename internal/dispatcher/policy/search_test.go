package policy

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fullSearch searches the whole subset, as a reference for the sampled search. It returns the best worker,
// its headroom, and how many local workers that are not avoided fit the job.
func (d *Dispatcher) fullSearch(j *job) (best *worker, most float64, near int) {
	chosen, top := [2]*worker{}, [2]float64{}
	serving := 1
	for _, w := range d.subset {
		if !d.compatible(j, w) || j.inFlightAt(w) {
			continue
		}
		of := boolToInt(d.avoided(w, j))
		serving = min(serving, of)
		late := float64(d.now)+bestCaseRun*j.expectedRun*w.pace()*d.slowdown*d.warmupSlowdown(w) > float64(j.answerBy)
		if late || j.firstMayHaveRun != nil && j.class.Effect == Deduplicated && !j.class.DedupScope.covers(j.firstMayHaveRun.listing, w.Member) {
			continue
		}
		room, fits := d.headroom(w, j)
		if d.local(w) {
			room += localPriority
			near += boolToInt(fits && of == 0)
		}
		if fits && (chosen[of] == nil || room > top[of]) {
			chosen[of], top[of] = w, room
		}
	}
	return chosen[serving], top[serving], near
}

// sendRecorder is a host that records the sends, so that a test can end them in any order.
type sendRecorder struct {
	nopHost
	out []AttemptResult
}

func (s *sendRecorder) Send(id string, w uint32, _ time.Duration) {
	s.out = append(s.out, AttemptResult{Request: id, Worker: w})
}

// TestSampledSearch compares the sampled search with the full one after each of a series of random events.
// The sampled search finds a worker exactly if the full one does, the job fits that worker, and it is the
// best one if no more workers fit than are sampled.
//
//nolint:funlen,gocognit // a simulation whose steps share their state
func TestSampledSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &sendRecorder{}
		s := Settings{
			Instances: 1, Kinds: []string{"a", "b"}, Zone: "x", ReportsStart: true, CrossZonePrice: float64(rapid.IntRange(0, 1).Draw(t, "price")),
			Limits: Limits{MaxAttempts: 3, Cancel: true, RetryAfter: true},
			Classes: []Class{
				{Name: "safe", Effect: Idempotent, LatencyTarget: time.Second, TargetPerWork: 2, ClientTimeout: 5 * time.Second, Kind: -1},
				{Name: "keyed", Effect: Deduplicated, DedupScope: DedupCell, DedupWindow: 5 * time.Second, LatencyTarget: time.Second, TargetPerWork: 2, ClientTimeout: 5 * time.Second, Kind: -1},
				{Name: "unsafe", Effect: AtMostOnce, LatencyTarget: time.Second, TargetPerWork: 2, ClientTimeout: 5 * time.Second, Kind: 1},
			},
			Rules: Rules{ColdCapacity: 0.2, WarmupTime: 10 * time.Second, ColdOverloadMultiple: 4, ColdOverloadWindow: time.Second},
		}
		d, err := New(s, h)
		require.NoError(t, err)
		now := time.Minute
		n := rapid.IntRange(manyMembers, 3*manyMembers).Draw(t, "workers")
		member := func(i int) Member {
			m := Member{Number: uint32(i), Kind: s.Kinds[i%2], Zone: []string{"x", "y"}[i/2%2], Cell: i % 5}
			if rapid.IntRange(0, 9).Draw(t, "cold") == 0 {
				m.StartedAt = now
			}
			m.State = MemberState(max(0, rapid.IntRange(-7, 2).Draw(t, "state")))
			return m
		}
		var list []Member
		for i := range n {
			list = append(list, member(i))
		}
		d.HandleMembers(now, ListSnapshot, list)
		d.peakJobs = float64(n) // as with as many open jobs: all workers are in the subset
		d.refillSubset()
		d.HandleRequest(now, Request{ID: "first", Class: "safe", Hint: 50 * time.Millisecond, Slots: 1, Deadline: now + 5*time.Second})
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				for k := range rapid.IntRange(1, n).Draw(t, "burst") {
					class := s.Classes[rapid.IntRange(0, 2).Draw(t, "class")].Name
					hint := time.Duration(rapid.IntRange(0, 400).Draw(t, "hint")) * time.Millisecond
					d.HandleRequest(now, Request{ID: fmt.Sprint(step, "-", k), Class: class, Hint: hint, Slots: 1, Deadline: now + 5*time.Second})
				}
			case 2, 3:
				status := Status(rapid.IntRange(0, int(InvalidRequest)).Draw(t, "status"))
				for range min(len(h.out), rapid.IntRange(1, n).Draw(t, "ends")) {
					i := rapid.IntRange(0, len(h.out)-1).Draw(t, "which")
					o := h.out[i]
					h.out = append(h.out[:i:i], h.out[i+1:]...)
					for k := range 3 {
						o.Attempt, o.Status, o.Final = k, status, status == OK
						d.HandleAttemptResult(now, o)
					}
				}
			case 4:
				d.HandleMembers(now, ListDelta, []Member{member(rapid.IntRange(0, n-1).Draw(t, "changed"))})
			case 5:
				d.HandleTimer(now, rapid.SampledFrom([]string{tickToken, recheckToken, "due", "start"}).Draw(t, "token"))
			}
			if len(d.subset) < manyMembers {
				continue
			}
			class := d.classes[s.Classes[rapid.IntRange(0, 2).Draw(t, "asked")].Name]
			j := &job{Request: Request{ID: "probe", Slots: 1}, class: class, answerBy: d.now + time.Second}
			j.expectedRun = float64(rapid.IntRange(1, 800).Draw(t, "run")) * float64(time.Millisecond)
			j.cost = j.expectedRun
			want, most, near := d.fullSearch(j)
			got := d.selectAny(j)
			require.Equal(t, want == nil, got == nil, "full search %v, sampled %v", want, got)
			if got == nil {
				continue
			}
			room, fits := d.headroom(got, j)
			if d.local(got) {
				room += localPriority
			}
			require.True(t, fits && d.usable(got))
			require.False(t, math.IsNaN(room))
			if near <= sampledMembers {
				require.Equal(t, most, room, "of %d that fit", near)
			}
		}
	})
}

// TestEqualHeadroomIsSpread checks that the jobs of many dispatchers do not go to the same workers if all
// workers have the same headroom.
func TestEqualHeadroomIsSpread(t *testing.T) {
	const workers, dispatchers = 500, 200
	got := make(map[uint32]int)
	for rank := range dispatchers {
		h := &sendRecorder{}
		d, err := New(Settings{
			Seed: uint64(rank), Instances: 1, Kinds: []string{"k"}, Limits: Limits{MaxAttempts: 2},
			Classes: []Class{{Name: "c", LatencyTarget: time.Second, ClientTimeout: 5 * time.Second, Value: 1, Kind: -1}},
		}, h)
		require.NoError(t, err)
		var list []Member
		for i := range uint32(workers) {
			list = append(list, Member{Number: i + 1, Kind: "k"})
		}
		d.HandleMembers(time.Minute, ListSnapshot, list)
		d.peakJobs = workers
		d.HandleRequest(time.Minute, Request{ID: "r", Class: "c", Hint: time.Millisecond, Deadline: time.Minute + time.Second})
		require.Len(t, h.out, 1)
		got[h.out[0].Worker]++
	}
	for w, n := range got {
		require.LessOrEqual(t, n, 5, "worker %d", w)
	}
	require.Greater(t, len(got), dispatchers/2)
}

// serveJobs sends jobs to a dispatcher, ends attempts while more than 200 are in flight, and returns how many
// attempts are left at each worker.
func serveJobs(d *Dispatcher, h *sendRecorder, now *time.Duration, jobs int, name string) map[uint32]int {
	sent := make(map[uint32]int)
	for n := range jobs {
		*now += 100 * time.Microsecond
		d.HandleRequest(*now, Request{ID: fmt.Sprint(name, n), Class: "c", Hint: 20 * time.Millisecond, Deadline: *now + 5*time.Second})
		for len(h.out) > 200 {
			o := h.out[0]
			h.out = h.out[1:]
			o.Final = true
			d.HandleAttemptResult(*now, o)
		}
		if n%200 == 0 {
			d.HandleTimer(*now, tickToken)
		}
	}
	for _, o := range h.out {
		sent[o.Worker]++
	}
	return sent
}

// TestListsOfTenThousand replaces all of 10,000 workers in one call, drains them all, and lists them all again
// as cold. After each call, jobs go only where the list allows.
func TestListsOfTenThousand(t *testing.T) {
	const n = 10000
	h := &sendRecorder{}
	d, err := New(Settings{
		Instances: 1, Kinds: []string{"k"}, Limits: Limits{MaxAttempts: 2}, ReportsStart: true,
		Classes: []Class{{Name: "c", LatencyTarget: time.Second, ClientTimeout: 5 * time.Second, Value: 1, Kind: -1}},
		Rules:   Rules{ColdCapacity: 0.2, WarmupTime: 10 * time.Second, ColdOverloadMultiple: 4, ColdOverloadWindow: time.Second},
	}, h)
	require.NoError(t, err)
	now := time.Hour
	list := func(from uint32, state MemberState, since time.Duration) (all []Member) {
		for i := range uint32(n) {
			all = append(all, Member{Number: from + i, Kind: "k", State: state, StartedAt: since})
		}
		return all
	}
	d.HandleMembers(now, ListSnapshot, list(1, Ready, 0))
	require.NotEmpty(t, serveJobs(d, h, &now, 2000, "a"))

	d.HandleMembers(now, ListSnapshot, list(1+n, Ready, 0)) // replaces all workers
	h.out = nil
	for w := range serveJobs(d, h, &now, 2000, "b") {
		require.Greater(t, w, uint32(n))
	}

	d.HandleMembers(now, ListSnapshot, list(1+n, Draining, 0))
	h.out = nil
	require.Empty(t, serveJobs(d, h, &now, 500, "c"), "nothing is sent to draining workers")

	now += 6 * time.Second
	d.HandleTimer(now, tickToken)
	d.HandleMembers(now, ListSnapshot, list(1+n, Ready, now)) // all workers return, cold
	h.out = nil
	for w, jobs := range serveJobs(d, h, &now, 2000, "d") {
		require.LessOrEqual(t, jobs, 4, "cold worker %d", w)
	}
	require.Less(t, len(d.vacant.All()), n+1)
	for _, w := range d.vacant.All() {
		require.True(t, w.inSubset)
	}
}

// TestSlowWorkerAmongMany checks that a worker that is a hundred times slower gets hardly any work.
func TestSlowWorkerAmongMany(t *testing.T) {
	const n, slow = 300, 7
	h := &sendRecorder{}
	d, err := New(Settings{
		Instances: 1, Kinds: []string{"k"}, Limits: Limits{MaxAttempts: 2},
		Classes: []Class{{Name: "c", LatencyTarget: 10 * time.Second, ClientTimeout: 20 * time.Second, Value: 1, Kind: -1}},
	}, h)
	require.NoError(t, err)
	now := time.Hour
	var list []Member
	for i := range uint32(n) {
		list = append(list, Member{Number: i, Kind: "k"})
	}
	d.HandleMembers(now, ListSnapshot, list)
	d.peakJobs = n
	type due struct {
		at time.Duration
		o  AttemptResult
	}
	var out []due
	total, there := 0, 0
	for k := range 20000 {
		now += 200 * time.Microsecond
		d.HandleRequest(now, Request{ID: fmt.Sprint(k), Class: "c", Hint: 20 * time.Millisecond, Deadline: now + 20*time.Second})
		for _, o := range h.out {
			total++
			run := 20 * time.Millisecond
			if o.Worker == slow {
				run *= 100
				there++
			}
			out = append(out, due{now + run, o})
		}
		h.out = nil
		kept := out[:0]
		for _, x := range out {
			if x.at > now {
				kept = append(kept, x)
				continue
			}
			x.o.Final = true
			d.HandleAttemptResult(now, x.o)
		}
		out = kept
		if k%100 == 0 {
			d.HandleTimer(now, tickToken)
		}
	}
	require.Greater(t, total, 19000)
	require.Less(t, there, total/n/4, "of %d", total)
}

// TestSoleDispatcherLearnsQuickly checks that a dispatcher that shares its worker with no other one learns in a
// few round trips how many jobs the worker can take, until its budget is first reduced. A dispatcher that
// shares the worker grows its budget slowly.
func TestSoleDispatcherLearnsQuickly(t *testing.T) {
	most := func(instances int, cutAt int) (out int) {
		h := &sendRecorder{}
		d, err := New(Settings{
			Instances: instances, Kinds: []string{"k"}, Limits: Limits{MaxAttempts: 2}, ReportsStart: true,
			Classes: []Class{{Name: "c", LatencyTarget: time.Minute, ClientTimeout: 2 * time.Minute, Value: 1, Kind: -1}},
		}, h)
		require.NoError(t, err)
		now := time.Hour
		d.HandleMembers(now, ListSnapshot, []Member{{Number: 1, Kind: "k"}})
		for n := range 200 {
			d.HandleRequest(now, Request{ID: fmt.Sprint(n), Class: "c", Hint: 20 * time.Millisecond, Deadline: now + 2*time.Minute})
		}
		for round := range 6 {
			ends := h.out
			h.out = nil
			now += time.Millisecond
			for _, o := range ends {
				d.HandleAttemptUpdate(now, AttemptUpdate{Request: o.Request, Worker: o.Worker, Kind: UpdateStarted})
			}
			now += 20 * time.Millisecond
			for i, o := range ends {
				o.Final = true
				if round == cutAt && i == 0 {
					o.Final, o.Status = false, Rejected
				}
				d.HandleAttemptResult(now, o)
			}
			out = max(out, len(d.byID[1].attempts))
		}
		return out
	}
	require.Greater(t, most(1, -1), 12)
	require.LessOrEqual(t, most(2, -1), 4)
	require.LessOrEqual(t, most(1, 1), 6, "the budget was reduced once")
}

// TestOverdueChecksAreATickApart checks that, with many busy workers, checks for overdue attempts wait for the
// tick, however long ago the last check was. Otherwise a check that takes longer than a tick would be due
// again at once, for each attempt in flight.
func TestOverdueChecksAreATickApart(t *testing.T) {
	h := &tickCounter{}
	d, err := New(Settings{
		Instances: 1, Kinds: []string{"a"}, ReportsStart: true, Limits: Limits{MaxAttempts: 1},
		Classes: []Class{{Name: "safe", Effect: Idempotent, LatencyTarget: time.Second, TargetPerWork: 2, ClientTimeout: 5 * time.Second, Kind: -1}},
	}, h)
	require.NoError(t, err)
	var list []Member
	for i := range 2 * manyMembers {
		list = append(list, Member{Number: uint32(i), Kind: "a"})
	}
	now := time.Minute
	d.HandleMembers(now, ListSnapshot, list)
	d.peakJobs = 2 * manyMembers
	d.refillSubset()
	for i := range 2 * manyMembers {
		d.HandleRequest(now, Request{ID: fmt.Sprint(i), Class: "safe", Hint: 50 * time.Millisecond, Slots: 1, Deadline: now + time.Minute})
	}
	require.Greater(t, len(d.busy), manyMembers)
	overdue := func() (n int) {
		for _, w := range d.subset {
			n += w.overdueJobs
		}
		return n
	}
	now += 30 * time.Second
	for _, token := range []string{"due", "start", "chance", watchToken} {
		d.tickPending, h.ticks = false, 0
		d.HandleTimer(now, token)
		require.Zero(t, overdue(), token)
		require.Equal(t, 1, h.ticks, token)
	}
	d.HandleTimer(now, tickToken)
	require.Greater(t, overdue(), manyMembers)
}

// tickCounter is a host that counts the tick timers that are set.
type tickCounter struct {
	nopHost
	ticks int
}

func (l *tickCounter) Timer(_ time.Duration, token string) { l.ticks += boolToInt(token == tickToken) }
