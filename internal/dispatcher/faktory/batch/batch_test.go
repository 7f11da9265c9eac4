package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 7, 4, 12, 0, 0, 0, time.UTC)

// bothCallbacks returns one call-back of each kind.
func bothCallbacks() map[Kind][]byte {
	return map[Kind][]byte{Complete: []byte("c"), Success: []byte("s")}
}

// describe returns the bid and the kind of each call-back.
func describe(due []Callback) (names []string) {
	for _, c := range due {
		names = append(names, c.Batch+" "+string(c.Kind))
	}
	return names
}

// TestCallbacks: the complete call-back is due once each job has run, and the success call-back once
// each has succeeded; each is returned once, and none before the batch is committed.
func TestCallbacks(t *testing.T) {
	b := NewStore(Limits{10, 1 << 20})
	require.NoError(t, b.New(start, "b", Definition{Callbacks: bothCallbacks()}))
	b.Add("b", "1")
	b.Add("b", "2")
	b.Add("b", "2")
	require.Empty(t, b.JobRan("b", "1", true), "the last job may end while the batch is being committed")
	require.Empty(t, b.JobRan("b", "2", false))
	due, err := b.Commit("b")
	require.NoError(t, err)
	require.Equal(t, []string{"b complete"}, describe(due))
	require.Empty(t, b.JobRan("b", "2", false), "failed again")
	at := b.Find("b")
	require.Equal(t, []int{2, 1, 1}, []int{at.Total, at.Pending, at.Failed()})
	require.Equal(t, []string{"b success"}, describe(b.JobRan("b", "2", true)))
	require.Empty(t, b.JobRan("b", "2", true), "a job succeeds once")
	b.CallbackSucceeded("b", Complete)
	b.CallbackSucceeded("b", Complete)
	require.NotNil(t, b.Find("b"))
	b.CallbackSucceeded("b", Success)
	require.Nil(t, b.Find("b"))
}

func TestCommands(t *testing.T) {
	b := NewStore(Limits{2, 1 << 20})
	require.ErrorIs(t, b.New(start, "b", Definition{}), ErrNoCallback)
	require.ErrorIs(t, b.New(start, "b", Definition{Parent: "p", Callbacks: bothCallbacks()}), ErrUnknownBatch)
	require.NoError(t, b.New(start, "b", Definition{Callbacks: map[Kind][]byte{Success: []byte("s")}}))
	require.Error(t, b.New(start, "b", Definition{Callbacks: bothCallbacks()}))
	require.NoError(t, b.CheckAdd("b"))
	require.ErrorIs(t, b.CheckAdd("x"), ErrUnknownBatch)
	require.ErrorIs(t, b.Open("x"), ErrUnknownBatch)
	b.Add("b", "1")
	b.Remove("b", "1")
	due, err := b.Commit("b")
	require.NoError(t, err)
	require.Equal(t, []string{"b success"}, describe(due), "a batch without jobs succeeds at once")
	_, err = b.Commit("b")
	require.ErrorIs(t, err, ErrCommitted)
	require.ErrorIs(t, b.CheckAdd("b"), ErrCommitted)
	require.ErrorIs(t, b.Open("b"), ErrFinished)
	require.NoError(t, b.New(start, "c", Definition{Callbacks: bothCallbacks()}))
	require.ErrorIs(t, b.New(start, "d", Definition{Callbacks: bothCallbacks()}), ErrFull)
	_, err = b.Commit("x")
	require.ErrorIs(t, err, ErrUnknownBatch)
	b.Add("c", "1")
	_, err = b.Commit("c")
	require.NoError(t, err)
	require.NoError(t, b.Open("c"), "a job of it may add to it")
	require.NoError(t, b.CheckAdd("c"))
	require.Empty(t, b.JobRan("c", "1", true), "it has to be committed again")
}

// TestNested: a parent waits for its children, and they do not wait for it.
func TestNested(t *testing.T) {
	b := NewStore(Limits{10, 1 << 20})
	require.NoError(t, b.New(start, "p", Definition{Callbacks: bothCallbacks()}))
	require.NoError(t, b.New(start, "c", Definition{Parent: "p", Callbacks: bothCallbacks()}))
	b.Add("p", "1")
	b.Add("c", "2")
	for _, id := range []string{"p", "c"} {
		due, err := b.Commit(id)
		require.NoError(t, err)
		require.Empty(t, due)
	}
	require.Empty(t, b.JobRan("p", "1", true))
	require.Equal(t, []string{"c complete", "p complete"}, describe(b.JobRan("c", "2", false)))
	require.Equal(t, []string{"c success"}, describe(b.JobRan("c", "2", true)))
	require.Empty(t, b.CallbackSucceeded("c", Complete))
	require.Equal(t, []string{"p success"}, describe(b.CallbackSucceeded("c", Success)), "a child is finished once its call-backs have succeeded")
	b.CallbackSucceeded("p", Complete)
	b.CallbackSucceeded("p", Success)
	require.Zero(t, b.Len())
}

// TestOnce makes random calls: no call-back is returned twice, complete is returned before success,
// and in the end each batch has returned both.
//
//nolint:funlen,gocognit // a state machine: its actions share the model
func TestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, n := NewStore(Limits{100, 1 << 20}), 0
		type running struct{ batch, job string }
		var open []string
		var jobs []running
		var unfinished []Callback
		returned := map[string]int{}
		record := func(due []Callback) {
			for _, c := range due {
				returned[c.Batch+" "+string(c.Kind)]++
				require.Equal(t, 1, returned[c.Batch+" "+string(c.Kind)], "%v", c)
				require.True(t, c.Kind == Complete || returned[c.Batch+" complete"] == 1)
			}
			unfinished = append(unfinished, due...)
		}
		all := []string{}
		t.Repeat(map[string]func(*rapid.T){
			"new": func(t *rapid.T) {
				n++
				d := Definition{Callbacks: bothCallbacks()}
				if len(open) > 0 && rapid.Bool().Draw(t, "nested") {
					d.Parent = rapid.SampledFrom(open).Draw(t, "parent")
				}
				id := fmt.Sprint("b", n)
				require.NoError(t, b.New(start, id, d))
				open, all = append(open, id), append(all, id)
			},
			"add": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				n++
				at := rapid.SampledFrom(open).Draw(t, "batch")
				b.Add(at, fmt.Sprint("j", n))
				jobs = append(jobs, running{at, fmt.Sprint("j", n)})
			},
			"commit": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				due, err := b.Commit(open[0])
				require.NoError(t, err)
				open = open[1:]
				record(due)
			},
			"ran": func(t *rapid.T) {
				if len(jobs) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(jobs)-1).Draw(t, "job")
				succeeded := rapid.Bool().Draw(t, "well")
				j := jobs[i]
				if succeeded {
					jobs = append(jobs[:i], jobs[i+1:]...)
				}
				record(b.JobRan(j.batch, j.job, succeeded))
			},
			"call-back": func(t *rapid.T) {
				if len(unfinished) == 0 {
					t.Skip()
				}
				c := unfinished[0]
				unfinished = unfinished[1:]
				record(b.CallbackSucceeded(c.Batch, c.Kind))
			},
		})
		for _, id := range open {
			due, err := b.Commit(id)
			require.NoError(t, err)
			record(due)
		}
		for _, j := range jobs {
			record(b.JobRan(j.batch, j.job, true))
		}
		for len(unfinished) > 0 {
			c := unfinished[0]
			unfinished = unfinished[1:]
			record(b.CallbackSucceeded(c.Batch, c.Kind))
		}
		require.Zero(t, b.Len(), "all are finished")
		for _, id := range all {
			require.Equal(t, 2, returned[id+" complete"]+returned[id+" success"], id)
		}
	})
}

// TestBytes: batches are bounded by the size of their call-backs too, and one that is finished
// makes room.
func TestBytes(t *testing.T) {
	large := Definition{Callbacks: map[Kind][]byte{Success: make([]byte, 1000)}}
	size := (&Batch{ID: "b1", Definition: large}).size()
	b := NewStore(Limits{100, 3*size - 1})
	require.NoError(t, b.New(start, "b1", large))
	require.NoError(t, b.New(start, "b2", large))
	require.ErrorIs(t, b.New(start, "b3", large), ErrFull)
	require.Nil(t, b.Find("b3"))
	due, err := b.Commit("b1")
	require.NoError(t, err)
	require.Equal(t, []string{"b1 success"}, describe(due))
	require.ErrorIs(t, b.New(start, "b3", large), ErrFull, "its call-back has not run")
	b.CallbackSucceeded("b1", Success)
	require.NoError(t, b.New(start, "b3", large))
	require.ErrorIs(t, b.New(start, "b4", large), ErrFull)
}
