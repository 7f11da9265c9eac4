package sets

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	start       = time.Date(2026, 7, 4, 12, 0, 0, 0, time.UTC)
	largeLimits = Limits{Jobs: 1000, Bytes: 1 << 20, QueueJobs: 500, QueueBytes: 1 << 19, Queues: 10, Dead: 100, DeadBytes: 1 << 19, DeadRetention: 24 * time.Hour}
)

func job(id, queue string) *Job {
	return &Job{ID: id, Type: "T", Queue: queue, Body: []byte(`{"jid":"` + id + `"}`), Retries: 2}
}

// TestModel compares the Store with a simple model that lists the location of each job.
//
//nolint:funlen,gocognit // a state machine: its actions share the model
func TestModel(t *testing.T) {
	type entry struct {
		job   *Job
		where string
		when  time.Time
		seq   int
	}
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Jobs: 12, Bytes: 9000, QueueJobs: 8, QueueBytes: 6000, Queues: 3, Dead: 4, DeadBytes: 4000, DeadRetention: time.Hour}
		s, now, seq := NewStore(limits, 1), start, 0
		model := map[string]*entry{}
		var dequeued []*Job
		count := func(where string) (n int) {
			for _, e := range model {
				if e.where == where {
					n++
				}
			}
			return n
		}
		ids := rapid.StringMatching(`j[0-9]`)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				j := job(ids.Draw(t, "id"), rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "queue"))
				j.Retries = rapid.Int32Range(-1, 2).Draw(t, "retries")
				if rapid.Bool().Draw(t, "later") {
					j.Options = &Options{NotBefore: now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "in")) * time.Second)}
				}
				if slices.ContainsFunc(dequeued, func(o *Job) bool { return o.ID == j.ID }) {
					t.Skip() // the front never pushes a job whose id is that of a dequeued one
				}
				known := model[j.ID]
				err := s.Push(now, j)
				if known != nil && known.where != "dead" {
					require.ErrorIs(t, err, ErrDuplicateID)
					return
				}
				if err != nil {
					require.ErrorIs(t, err, ErrFull)
					return
				}
				seq++
				model[j.ID] = &entry{j, "queue", now, seq}
				if at := j.options().NotBefore; at.After(s.monotonic(now)) {
					model[j.ID] = &entry{j, "scheduled", at, seq}
				}
			},
			"take": func(t *rapid.T) {
				q := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "queue")
				var want *entry
				for _, e := range model {
					if e.where == "queue" && e.job.Queue == q && (want == nil || e.seq < want.seq) {
						want = e
					}
				}
				got, _ := s.Dequeue(now, q)
				if k := s.FindQueue(q); want == nil || k.Paused {
					require.Nil(t, got)
					return
				}
				require.Same(t, want.job, got)
				delete(model, got.ID)
				dequeued = append(dequeued, got)
			},
			"end": func(t *rapid.T) {
				if len(dequeued) == 0 {
					t.Skip()
				}
				j := dequeued[0]
				dequeued = dequeued[1:]
				idempotent := rapid.Bool().Draw(t, "may repeat")
				fitsLimits := s.Len() < limits.Jobs && s.Bytes()+j.size() <= limits.Bytes
				switch s.Failed(now, j, idempotent, "E", "m", nil) {
				case Discarded:
					require.Negative(t, j.Retries)
				case MovedToDead:
					require.True(t, !idempotent || j.Failure.RetryCount >= int(j.Retries) || !fitsLimits)
					model[j.ID] = &entry{j, "dead", now, seq}
				case WillRetry:
					require.True(t, idempotent && j.Failure.RetryCount < int(j.Retries))
					model[j.ID] = &entry{j, "retries", j.Failure.NextAt, seq}
				}
			},
			"time": func(t *rapid.T) { // the clock may also be set back
				now = now.Add(time.Duration(rapid.IntRange(-30, 90).Draw(t, "seconds")) * time.Second)
			},
			"due": func(*rapid.T) {
				s.PromoteDue(now, 1000)
				monotonicNow := s.monotonic(now)
				var due []*entry
				for _, e := range model {
					if (e.where == "scheduled" || e.where == "retries") && !e.when.After(monotonicNow) {
						due = append(due, e)
					}
					if e.where == "dead" && monotonicNow.Sub(e.when) > limits.DeadRetention {
						delete(model, e.job.ID)
					}
				}
				slices.SortFunc(due, func(a, b *entry) int { // scheduled jobs first, then retries, each by time
					if a.where != b.where {
						return -cmp.Compare(a.where, b.where)
					}
					if c := a.when.Compare(b.when); c != 0 {
						return c
					}
					return cmp.Compare(a.job.ID, b.job.ID)
				})
				for _, e := range due {
					seq++
					e.where, e.seq = "queue", seq
				}
			},
			"pause": func(t *rapid.T) {
				s.Pause([]string{rapid.SampledFrom([]string{"a", "*"}).Draw(t, "queue")}, rapid.Bool().Draw(t, "on"))
			},
			"mutate": func(t *rapid.T) {
				set := rapid.SampledFrom([]string{"scheduled", "retries", "dead"}).Draw(t, "set")
				c := rapid.SampledFrom([]Command{Kill, Requeue, Discard, Clear}).Draw(t, "command")
				f := Filter{IDs: []string{ids.Draw(t, "id"), ids.Draw(t, "other")}}
				if c == Clear {
					f = Filter{}
				}
				selected, err := s.Mutate(now, c, set, f, true)
				if err != nil {
					require.ErrorIs(t, err, ErrFull)
				}
				for _, j := range selected {
					require.Equal(t, set, model[j.ID].where)
					switch c {
					case Kill:
						model[j.ID] = &entry{j, "dead", s.monotonic(now), seq}
					case Requeue:
						seq++
						model[j.ID] = &entry{j, "queue", now, seq}
					default:
						delete(model, j.ID)
					}
				}
			},
			"": func(t *rapid.T) {
				for id, e := range model { // the oldest dead jobs are dropped when the limits are exceeded
					if e.where == "dead" && s.Find(id) == nil {
						delete(model, id)
					}
				}
				require.Equal(t, count("scheduled"), s.Scheduled.Len())
				require.Equal(t, count("retries"), s.Retries.Len())
				require.Equal(t, count("dead"), s.Dead.Len())
				queued, bytes := 0, 0
				for _, q := range s.Info(now) {
					queued += q.Len
					require.GreaterOrEqual(t, q.Latency, time.Duration(0))
				}
				require.Equal(t, count("queue"), queued)
				for id, e := range model {
					require.Equal(t, e.where, s.Find(id).Location())
					if e.where != "dead" {
						bytes += e.job.size()
					}
				}
				require.Equal(t, bytes, s.Bytes())
				require.Equal(t, len(model)-s.Dead.Len(), s.Len())
				require.LessOrEqual(t, s.Len(), limits.Jobs)
				require.LessOrEqual(t, s.Dead.Len(), limits.Dead)
			},
		})
	})
}

// TestBackoff checks that the backoff follows the protocol's formula and is never less than 15 s.
func TestBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for count := range 30 {
		low := time.Duration(count*count*count*count+15) * time.Second
		for range 20 {
			d := Backoff(count, random)
			require.GreaterOrEqual(t, d, low)
			require.Less(t, d, low+time.Duration(30*(count+1))*time.Second)
		}
	}
	require.Positive(t, Backoff(1<<40, random), "no count makes it overflow")
}

// TestRetries checks that a failed job gets its number of retries and is then moved to the dead set:
// with 0 retries at once, while with -1 it is discarded.
func TestRetries(t *testing.T) {
	for retries, want := range map[int32][]Disposition{0: {MovedToDead}, -1: {Discarded}, 1: {WillRetry, MovedToDead}, 3: {WillRetry, WillRetry, WillRetry, MovedToDead}} {
		s, j := NewStore(largeLimits, 1), job("job", "a")
		j.Retries = retries
		var got []Disposition
		for now := start; len(got) < len(want); now = now.Add(time.Hour) {
			got = append(got, s.Failed(now, j, true, "E", "m", []string{"line"}))
			if s.PromoteDue(now.Add(time.Hour), 10); got[len(got)-1] == WillRetry {
				taken, _ := s.Dequeue(now.Add(time.Hour), "a")
				require.Same(t, j, taken)
				require.True(t, j.IsRetry)
			}
		}
		require.Equal(t, want, got, retries)
	}
}

// TestRejections checks that a job that the engine rejects waits longer each time, up to 64 s, and that a
// rejection counts as a failure only after maxConsecutiveRejections in a row.
func TestRejections(t *testing.T) {
	s, j := NewStore(largeLimits, 1), job("job", "a")
	now, last := start, time.Duration(0)
	for n := range maxConsecutiveRejections {
		require.Equal(t, WillRetry, s.Rejected(now, j, now.Add(time.Second)))
		wait := j.OrderTime().Sub(now)
		require.GreaterOrEqual(t, wait, last, n)
		require.LessOrEqual(t, wait, 64*time.Second)
		require.Nil(t, j.Failure)
		now, last = j.OrderTime(), wait
		s.PromoteDue(now, 10)
		s.Dequeue(now, "a")
	}
	require.Equal(t, WillRetry, s.Rejected(now, j, time.Time{}))
	require.NotNil(t, j.Failure)
}

// TestUnique checks that the lock of a unique job is held by one job only, and until the job
// succeeds, starts (with ReleaseOnStart), is dropped or dead, or the lock expires.
func TestUnique(t *testing.T) {
	unique := func(id string, releaseOn LockRelease) *Job {
		j := job(id, "a")
		j.Options = &Options{UniqueKey: 7, UniqueTTL: time.Minute, ReleaseOn: releaseOn}
		return j
	}
	for name, c := range map[string]struct {
		do   func(s *Store, j *Job) (now time.Time)
		free bool
	}{
		"while it waits":     {func(*Store, *Job) time.Time { return start }, false},
		"while it runs":      {func(s *Store, j *Job) time.Time { s.Dequeue(start, "a"); s.Started(j); return start }, false},
		"when its time ends": {func(*Store, *Job) time.Time { return start.Add(time.Minute) }, true},
		"on success":         {func(s *Store, j *Job) time.Time { s.Dequeue(start, "a"); s.Unlock(j); return start }, true},
		"when it is dead":    {func(s *Store, j *Job) time.Time { s.Dequeue(start, "a"); s.MoveToDead(start, j); return start }, true},
		"on a retry": {func(s *Store, j *Job) time.Time {
			s.Dequeue(start, "a")
			s.Failed(start, j, true, "", "", nil)
			return start
		}, false},
		"when its queue is removed": {func(s *Store, _ *Job) time.Time { s.Remove([]string{"*"}); return start }, true},
		"when all is flushed":       {func(s *Store, _ *Job) time.Time { s.Flush(); return start }, true},
	} {
		s, first := NewStore(largeLimits, 1), unique("first", ReleaseOnSuccess)
		require.NoError(t, s.Push(start, first))
		now := c.do(s, first)
		if err := s.Push(now, unique("second", ReleaseOnSuccess)); c.free {
			require.NoError(t, err, name)
		} else {
			require.ErrorIs(t, err, ErrNotUnique, name)
		}
	}
	s, first := NewStore(largeLimits, 1), unique("first", ReleaseOnStart)
	require.NoError(t, s.Push(start, first))
	require.ErrorIs(t, s.Push(start, unique("second", ReleaseOnStart)), ErrNotUnique)
	s.Dequeue(start, "a")
	s.Started(first)
	require.NoError(t, s.Push(start, unique("second", ReleaseOnStart)))
	s.Unlock(first) // its later success does not release the other job's lock
	require.ErrorIs(t, s.Push(start, unique("third", ReleaseOnStart)), ErrNotUnique)
}

// TestMayHaveRun checks that a job that may have run is requeued only if the caller confirms that
// it has not, and that otherwise none of the selected jobs is requeued.
func TestMayHaveRun(t *testing.T) {
	s := NewStore(largeLimits, 1)
	for _, id := range []string{"safe", "paid"} {
		j := job(id, "a")
		j.MayHaveRun = id == "paid"
		s.MoveToDead(start, j)
	}
	_, err := s.Mutate(start, Requeue, "dead", Filter{}, false)
	require.ErrorIs(t, err, ErrMayHaveRun)
	require.Equal(t, 2, s.Dead.Len())
	selected, err := s.Mutate(start, Requeue, "dead", Filter{IDs: []string{"safe"}}, false)
	require.NoError(t, err)
	require.Len(t, selected, 1)
	selected, err = s.Mutate(start, Requeue, "dead", Filter{}, true)
	require.NoError(t, err)
	require.Equal(t, "paid", selected[0].ID)
}

// TestFilters checks filters by job type, by jids and by a pattern over the job's JSON.
func TestFilters(t *testing.T) {
	for name, c := range map[string]struct {
		filter Filter
		want   []string
	}{
		"all":               {Filter{}, []string{"j1", "j2", "j3"}},
		"type":              {Filter{JobType: "U"}, []string{"j3"}},
		"ids":               {Filter{IDs: []string{"j1", "j3", "j9"}}, []string{"j1", "j3"}},
		"pattern":           {Filter{Pattern: `*"jid":"j?"*`}, []string{"j1", "j2", "j3"}},
		"pattern with dots": {Filter{Pattern: "*j.*"}, nil},
		"no part of it":     {Filter{Pattern: "j1"}, nil},
		"type and pattern":  {Filter{JobType: "T", Pattern: "*j2*"}, []string{"j2"}},
	} {
		s := NewStore(largeLimits, 1)
		for n, id := range []string{"j1", "j2", "j3"} {
			j := job(id, "a")
			if n == 2 {
				j.Type = "U"
			}
			j.Options = &Options{NotBefore: start.Add(time.Duration(n+1) * time.Minute)}
			require.NoError(t, s.Push(start, j))
		}
		selected, err := s.Mutate(start, Kill, "scheduled", c.filter, false)
		require.NoError(t, err, name)
		var got []string
		for _, j := range selected {
			got = append(got, j.ID)
		}
		require.Equal(t, c.want, got, name)
		require.Equal(t, len(c.want), s.Dead.Len(), name)
	}
	s := NewStore(largeLimits, 1)
	_, err := s.Mutate(start, Kill, "nowhere", Filter{}, false)
	require.Error(t, err)
	_, err = s.Mutate(start, "dance", "dead", Filter{}, false)
	require.Error(t, err)
}

// TestClientLimits checks that the limits per client count only the jobs of that client.
func TestClientLimits(t *testing.T) {
	l := largeLimits
	l.ClientJobs, l.ClientBytes = 2, 2000
	s := NewStore(l, 1)
	push := func(id, client string, size int) error {
		j := job(id, "a")
		j.Client, j.Body = client, make([]byte, size)
		return s.Push(start, j)
	}
	require.NoError(t, push("1", "x", 10))
	require.NoError(t, push("2", "x", 10))
	require.ErrorIs(t, push("3", "x", 10), ErrFull)
	require.ErrorIs(t, push("4", "y", 2000), ErrFull)
	require.NoError(t, push("5", "y", 10))
	s.Dequeue(start, "a")
	require.NoError(t, push("3", "x", 10))
	s.Flush()
	require.Empty(t, s.clients)
}

// TestExpiry checks that an expired job is neither accepted by Push nor returned as the job by Dequeue.
func TestExpiry(t *testing.T) {
	s := NewStore(largeLimits, 1)
	late, soon := job("late", "a"), job("soon", "a")
	late.Options, soon.Options = &Options{ExpiresAt: start}, &Options{ExpiresAt: start.Add(time.Second)}
	require.ErrorIs(t, s.Push(start, late), ErrExpired)
	require.NoError(t, s.Push(start, soon))
	require.NoError(t, s.Push(start, job("good", "a")))
	got, expired := s.Dequeue(start.Add(2*time.Second), "a")
	require.Equal(t, "good", got.ID)
	require.Equal(t, []*Job{soon}, expired)
}

// BenchmarkJob measures the cost of a push and a dequeue while many other jobs wait. The cost must
// not grow with their number.
func BenchmarkJob(b *testing.B) {
	for _, waiting := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			l := Limits{Jobs: 1 << 20, Bytes: 1 << 30, QueueJobs: 1 << 20, QueueBytes: 1 << 30, Queues: 10, Dead: 10, DeadBytes: 1 << 20, DeadRetention: time.Hour}
			store, body := NewStore(l, 1), make([]byte, 200)
			push := func(n int, at time.Time) {
				if err := store.Push(start, &Job{ID: fmt.Sprint("job-", n), Type: "T", Queue: "a", Body: body, Options: &Options{NotBefore: at}}); err != nil {
					b.Fatal(err)
				}
			}
			for n := range waiting {
				push(n, start.Add(time.Duration(n%2)*time.Hour))
			}
			n := waiting
			b.ReportAllocs()
			for b.Loop() {
				push(n, time.Time{})
				n++
				store.Dequeue(start, "a")
			}
		})
	}
}
