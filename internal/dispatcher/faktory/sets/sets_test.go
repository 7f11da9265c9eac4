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
	start = time.Date(2026, 7, 4, 12, 0, 0, 0, time.UTC)
	roomy = Limits{Jobs: 1000, Bytes: 1 << 20, QueueJobs: 500, QueueBytes: 1 << 19, Queues: 10, Dead: 100, DeadBytes: 1 << 19, DeadRetention: 24 * time.Hour}
)

func job(id, queue string) *Job {
	return &Job{ID: id, Type: "T", Queue: queue, Body: []byte(`{"jid":"` + id + `"}`), Retries: 2}
}

// TestModel compares the Store with a simple model: a list of which job is where.
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
		b, now, seq := NewStore(limits, 1), start, 0
		model := map[string]*entry{}
		var out []*Job
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
				if slices.ContainsFunc(out, func(o *Job) bool { return o.ID == j.ID }) {
					t.Skip() // the front never does that
				}
				known := model[j.ID]
				err := b.Push(now, j)
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
				if at := j.options().NotBefore; at.After(b.monotonic(now)) {
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
				got, _ := b.Dequeue(now, q)
				if k := b.FindQueue(q); want == nil || k.Paused {
					require.Nil(t, got)
					return
				}
				require.Same(t, want.job, got)
				delete(model, got.ID)
				out = append(out, got)
			},
			"end": func(t *rapid.T) {
				if len(out) == 0 {
					t.Skip()
				}
				j := out[0]
				out = out[1:]
				may := rapid.Bool().Draw(t, "may repeat")
				roomLeft := b.Len() < limits.Jobs && b.Bytes()+j.size() <= limits.Bytes
				switch b.Failed(now, j, may, "E", "m", nil) {
				case Discarded:
					require.Negative(t, j.Retries)
				case MovedToDead:
					require.True(t, !may || j.Failure.RetryCount >= int(j.Retries) || !roomLeft)
					model[j.ID] = &entry{j, "dead", now, seq}
				case WillRetry:
					require.True(t, may && j.Failure.RetryCount < int(j.Retries))
					model[j.ID] = &entry{j, "retries", j.Failure.NextAt, seq}
				}
			},
			"time": func(t *rapid.T) { // also backward
				now = now.Add(time.Duration(rapid.IntRange(-30, 90).Draw(t, "seconds")) * time.Second)
			},
			"due": func(*rapid.T) {
				b.PromoteDue(now, 1000)
				moment := b.monotonic(now)
				var due []*entry
				for _, e := range model {
					if (e.where == "scheduled" || e.where == "retries") && !e.when.After(moment) {
						due = append(due, e)
					}
					if e.where == "dead" && moment.Sub(e.when) > limits.DeadRetention {
						delete(model, e.job.ID)
					}
				}
				slices.SortFunc(due, func(a, b *entry) int { // scheduled ones first, each by time
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
				b.Pause([]string{rapid.SampledFrom([]string{"a", "*"}).Draw(t, "queue")}, rapid.Bool().Draw(t, "on"))
			},
			"mutate": func(t *rapid.T) {
				set := rapid.SampledFrom([]string{"scheduled", "retries", "dead"}).Draw(t, "set")
				c := rapid.SampledFrom([]Command{Kill, Requeue, Discard, Clear}).Draw(t, "command")
				f := Filter{IDs: []string{ids.Draw(t, "id"), ids.Draw(t, "other")}}
				if c == Clear {
					f = Filter{}
				}
				picked, err := b.Mutate(now, c, set, f, true)
				if err != nil {
					require.ErrorIs(t, err, ErrFull)
				}
				for _, j := range picked {
					require.Equal(t, set, model[j.ID].where)
					switch c {
					case Kill:
						model[j.ID] = &entry{j, "dead", b.monotonic(now), seq}
					case Requeue:
						seq++
						model[j.ID] = &entry{j, "queue", now, seq}
					default:
						delete(model, j.ID)
					}
				}
			},
			"": func(t *rapid.T) {
				for id, e := range model { // the oldest dead go when others come
					if e.where == "dead" && b.Find(id) == nil {
						delete(model, id)
					}
				}
				require.Equal(t, count("scheduled"), b.Scheduled.Len())
				require.Equal(t, count("retries"), b.Retries.Len())
				require.Equal(t, count("dead"), b.Dead.Len())
				queued, bytes := 0, 0
				for _, q := range b.Info(now) {
					queued += q.Len
					require.GreaterOrEqual(t, q.Latency, time.Duration(0))
				}
				require.Equal(t, count("queue"), queued)
				for id, e := range model {
					require.Equal(t, e.where, b.Find(id).Location())
					if e.where != "dead" {
						bytes += e.job.size()
					}
				}
				require.Equal(t, bytes, b.Bytes())
				require.Equal(t, len(model)-b.Dead.Len(), b.Len())
				require.LessOrEqual(t, b.Len(), limits.Jobs)
				require.LessOrEqual(t, b.Dead.Len(), limits.Dead)
			},
		})
	})
}

// TestBackoff: the protocol's formula, and never less than 15 s.
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

// TestRetries: n retries, then the dead set; 0 is dead at once, -1 is discarded.
func TestRetries(t *testing.T) {
	for retries, want := range map[int32][]Disposition{0: {MovedToDead}, -1: {Discarded}, 1: {WillRetry, MovedToDead}, 3: {WillRetry, WillRetry, WillRetry, MovedToDead}} {
		b, j := NewStore(roomy, 1), job("job", "a")
		j.Retries = retries
		var got []Disposition
		for now := start; len(got) < len(want); now = now.Add(time.Hour) {
			got = append(got, b.Failed(now, j, true, "E", "m", []string{"line"}))
			if b.PromoteDue(now.Add(time.Hour), 10); got[len(got)-1] == WillRetry {
				taken, _ := b.Dequeue(now.Add(time.Hour), "a")
				require.Same(t, j, taken)
				require.True(t, j.IsRetry)
			}
		}
		require.Equal(t, want, got, retries)
	}
}

// TestRejections: a job that the engine rejects has not run and waits longer each
// time; it uses up no tries until it is refused over and over.
func TestRejections(t *testing.T) {
	b, j := NewStore(roomy, 1), job("job", "a")
	now, last := start, time.Duration(0)
	for n := range maxConsecutiveRejections {
		require.Equal(t, WillRetry, b.Rejected(now, j, now.Add(time.Second)))
		wait := j.OrderTime().Sub(now)
		require.GreaterOrEqual(t, wait, last, n)
		require.LessOrEqual(t, wait, 64*time.Second)
		require.Nil(t, j.Failure)
		now, last = j.OrderTime(), wait
		b.PromoteDue(now, 10)
		b.Dequeue(now, "a")
	}
	require.Equal(t, WillRetry, b.Rejected(now, j, time.Time{}))
	require.NotNil(t, j.Failure)
}

// TestUnique: a lock is held until success, or start, or its time is over, and
// by one job.
func TestUnique(t *testing.T) {
	unique := func(id string, until LockRelease) *Job {
		j := job(id, "a")
		j.Options = &Options{UniqueKey: 7, UniqueTTL: time.Minute, ReleaseOn: until}
		return j
	}
	for name, c := range map[string]struct {
		do   func(b *Store, j *Job) (now time.Time)
		free bool
	}{
		"while it waits":     {func(*Store, *Job) time.Time { return start }, false},
		"while it runs":      {func(b *Store, j *Job) time.Time { b.Dequeue(start, "a"); b.Started(j); return start }, false},
		"when its time ends": {func(*Store, *Job) time.Time { return start.Add(time.Minute) }, true},
		"on success":         {func(b *Store, j *Job) time.Time { b.Dequeue(start, "a"); b.Unlock(j); return start }, true},
		"when it is dead":    {func(b *Store, j *Job) time.Time { b.Dequeue(start, "a"); b.MoveToDead(start, j); return start }, true},
		"on a retry": {func(b *Store, j *Job) time.Time {
			b.Dequeue(start, "a")
			b.Failed(start, j, true, "", "", nil)
			return start
		}, false},
		"when its queue is removed": {func(b *Store, _ *Job) time.Time { b.Remove([]string{"*"}); return start }, true},
		"when all is flushed":       {func(b *Store, _ *Job) time.Time { b.Flush(); return start }, true},
	} {
		b, first := NewStore(roomy, 1), unique("first", ReleaseOnSuccess)
		require.NoError(t, b.Push(start, first))
		now := c.do(b, first)
		if err := b.Push(now, unique("second", ReleaseOnSuccess)); c.free {
			require.NoError(t, err, name)
		} else {
			require.ErrorIs(t, err, ErrNotUnique, name)
		}
	}
	b, first := NewStore(roomy, 1), unique("first", ReleaseOnStart)
	require.NoError(t, b.Push(start, first))
	require.ErrorIs(t, b.Push(start, unique("second", ReleaseOnStart)), ErrNotUnique)
	b.Dequeue(start, "a")
	b.Started(first)
	require.NoError(t, b.Push(start, unique("second", ReleaseOnStart)))
	b.Unlock(first) // its success later does not take the other's lock
	require.ErrorIs(t, b.Push(start, unique("third", ReleaseOnStart)), ErrNotUnique)
}

// TestMayHaveRun: what may have run is queued again by nobody who does not vouch
// for it, and then all or none.
func TestMayHaveRun(t *testing.T) {
	b := NewStore(roomy, 1)
	for _, id := range []string{"safe", "paid"} {
		j := job(id, "a")
		j.MayHaveRun = id == "paid"
		b.MoveToDead(start, j)
	}
	_, err := b.Mutate(start, Requeue, "dead", Filter{}, false)
	require.ErrorIs(t, err, ErrMayHaveRun)
	require.Equal(t, 2, b.Dead.Len())
	picked, err := b.Mutate(start, Requeue, "dead", Filter{IDs: []string{"safe"}}, false)
	require.NoError(t, err)
	require.Len(t, picked, 1)
	picked, err = b.Mutate(start, Requeue, "dead", Filter{}, true)
	require.NoError(t, err)
	require.Equal(t, "paid", picked[0].ID)
}

// TestFilters: by jobtype, jids and a pattern over the job's JSON.
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
		b := NewStore(roomy, 1)
		for n, id := range []string{"j1", "j2", "j3"} {
			j := job(id, "a")
			if n == 2 {
				j.Type = "U"
			}
			j.Options = &Options{NotBefore: start.Add(time.Duration(n+1) * time.Minute)}
			require.NoError(t, b.Push(start, j))
		}
		picked, err := b.Mutate(start, Kill, "scheduled", c.filter, false)
		require.NoError(t, err, name)
		var got []string
		for _, j := range picked {
			got = append(got, j.ID)
		}
		require.Equal(t, c.want, got, name)
		require.Equal(t, len(c.want), b.Dead.Len(), name)
	}
	b := NewStore(roomy, 1)
	_, err := b.Mutate(start, Kill, "nowhere", Filter{}, false)
	require.Error(t, err)
	_, err = b.Mutate(start, "dance", "dead", Filter{}, false)
	require.Error(t, err)
}

// TestClientLimits: one client's jobs don't use up another's share of the limits.
func TestClientLimits(t *testing.T) {
	l := roomy
	l.ClientJobs, l.ClientBytes = 2, 2000
	b := NewStore(l, 1)
	push := func(id, owner string, size int) error {
		j := job(id, "a")
		j.Client, j.Body = owner, make([]byte, size)
		return b.Push(start, j)
	}
	require.NoError(t, push("1", "x", 10))
	require.NoError(t, push("2", "x", 10))
	require.ErrorIs(t, push("3", "x", 10), ErrFull)
	require.ErrorIs(t, push("4", "y", 2000), ErrFull)
	require.NoError(t, push("5", "y", 10))
	b.Dequeue(start, "a")
	require.NoError(t, push("3", "x", 10))
	b.Flush()
	require.Empty(t, b.clients)
}

// TestExpiry: what has expired is not taken in, and not taken out.
func TestExpiry(t *testing.T) {
	b := NewStore(roomy, 1)
	late, soon := job("late", "a"), job("soon", "a")
	late.Options, soon.Options = &Options{ExpiresAt: start}, &Options{ExpiresAt: start.Add(time.Second)}
	require.ErrorIs(t, b.Push(start, late), ErrExpired)
	require.NoError(t, b.Push(start, soon))
	require.NoError(t, b.Push(start, job("good", "a")))
	got, expired := b.Dequeue(start.Add(2*time.Second), "a")
	require.Equal(t, "good", got.ID)
	require.Equal(t, []*Job{soon}, expired)
}

// BenchmarkJob is the cost of a push and a take while so many others wait: it
// must not grow with them.
func BenchmarkJob(b *testing.B) {
	for _, waiting := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			l := Limits{Jobs: 1 << 20, Bytes: 1 << 30, QueueJobs: 1 << 20, QueueBytes: 1 << 30, Queues: 10, Dead: 10, DeadBytes: 1 << 20, DeadRetention: time.Hour}
			book, body := NewStore(l, 1), make([]byte, 200)
			push := func(n int, at time.Time) {
				if err := book.Push(start, &Job{ID: fmt.Sprint("job-", n), Type: "T", Queue: "a", Body: body, Options: &Options{NotBefore: at}}); err != nil {
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
				book.Dequeue(start, "a")
			}
		})
	}
}
