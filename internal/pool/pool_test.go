package pool

import (
	"context"
	"sync"
	"testing"
	"time"

	"basaltloft"
	"basaltloft/internal/core"
	"basaltloft/internal/scenario"
	"basaltloft/internal/settings"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// heard keeps what the follower told, in order: a kind, and each entry's state.
type heard struct {
	mu    sync.Mutex
	lists []string
}

func (h *heard) List(_ string, kind basaltloft.ListKind, entries []*core.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := [...]string{"change", "whole", "restored", "failed"}[kind]
	for _, m := range entries {
		text += " " + m.ID + "=" + [...]string{"ready", "draining", "gone"}[m.State]
	}
	h.lists = append(h.lists, text)
}

func (h *heard) told() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.lists...)
}

// follower begins one on a listener of the test's, from a restored list; it
// ends with the test.
func follower(t *testing.T, restored settings.List) (*Follower, *heard, func() (scenario.End, error)) {
	addr, open := scenario.Listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h := &heard{}
	f := New(ctx, addr, h, nil, logrus.New())
	f.Restore(restored)
	return f, h, open
}

// TestPushedListsAreWatched: where lists are pushed to an agent on this machine,
// the module never asks for them, so the follower keeps a watch by itself. What the
// agent has counts from the first moment, so the whole list is asked for first,
// which a start can wait for. A change is passed on; a watch that the agent leaves silent, one answered 503
// and one reset before its answer are each begun anew on a new connection,
// from the last version told, and service goes on.
func TestPushedListsAreWatched(t *testing.T) {
	f, h, open := follower(t, settings.List{Generation: 41, Whole: true, Entries: []settings.Entry{{ID: "s-1", Addr: "127.0.0.1:1"}}})
	f.Keep()
	f.Keep() // a second call begins no second watch
	require.False(t, f.Heard(time.Now()), "the list that it was started with is none of the agent's")
	scenario.Play(t, scenario.Cast{"agent": open}, nil, `
		agent.1 expect ^GET /registry/instances HTTP/1.1\r\n
		agent.1 send HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{"generation":42,"reset":true,"instances":[]}
		agent.1 close
		agent.0 expect ^GET /registry/instances\?index=42&wait=1000 HTTP/1.1\r\n
		agent.0 send HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{"generation":43,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","machineType":"m","cell":1,"lifecycle":"leaving","weight":1,"startedAtMs":0}]}
		agent.0 close
		# silent: given up by the follower, and asked anew
		agent.2 expect ^GET /registry/instances\?index=43&wait=1000 HTTP/1.1\r\n
		agent.3 expect ^GET /registry/instances\?index=43&wait=1000 HTTP/1.1\r\n
		agent.3 send HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n
		agent.3 close
		agent.4 expect ^GET /registry/instances\?index=43&wait=1000 HTTP/1.1\r\n
		agent.4 close
		agent.5 expect ^GET /registry/instances\?index=43&wait=1000 HTTP/1.1\r\n
		agent.5 send HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{"generation":44,"reset":true,"instances":[]}
		agent.5 close
		agent.6 expect ^GET /registry/instances\?index=44&wait=1000 HTTP/1.1\r\n`)
	// Each list is told before the next call is made; the close of agent.6 at
	// the scenario's end may add one more, failed.
	require.Equal(t, []string{"restored s-1=ready", "whole", "change s-1=draining", "failed", "failed", "failed", "whole"}, h.told()[:7])
	require.True(t, f.Heard(time.Now().Add(time.Second)))
}

// TestAskedListsWaitForTheModule: where discovery is a shared service that is
// asked, the follower calls only when the module says so.
func TestAskedListsWaitForTheModule(t *testing.T) {
	f, h, open := follower(t, settings.List{Generation: 7, Whole: true})
	f.Watch(true)
	scenario.Play(t, scenario.Cast{"discovery": open}, nil, `
		discovery.1 expect ^GET /registry/instances\?index=7&wait=2000 HTTP/1.1\r\n
		discovery.1 close`)
	require.Eventually(t, func() bool { return len(h.told()) == 2 }, 20*time.Second, time.Millisecond)
	require.Equal(t, []string{"restored", "failed"}, h.told())
	require.Never(t, func() bool { return len(h.told()) > 2 }, 3*Pause(1), time.Millisecond, "asked again without the module")
}

// TestSilentCallsAreAskedAnew: what a silent call misses counts as told 6 s after the
// silence began. The module spreads failed calls over as long as all dispatchers
// may take, up to 10 s; a silent one is made anew by the follower, before that,
// on a new connection from the last version told. After a move the whole list is
// owed sooner, and a silent call for it too is made anew.
func TestSilentCallsAreAskedAnew(t *testing.T) {
	t.Parallel()
	f, h, open := follower(t, settings.List{Generation: 7, Whole: true})
	f.Watch(true)
	next, opened := scenario.Listen(t)
	cast := scenario.Cast{"discovery": open, "next": opened}
	scenario.Play(t, cast, nil, `discovery.1 expect ^GET /registry/instances\?index=7&wait=2000 HTTP/1.1\r\n
		discovery.1 send HTTP/1.1 200 OK\r\nContent-Length: 46\r\n\r\n{"generation":8,"reset":false,"instances":[]}\n
		discovery.1 expect GET /registry/instances\?index=8&wait=2000 HTTP/1.1\r\n
		discovery.2 expect ^GET /registry/instances\?index=8&wait=2000 HTTP/1.1\r\n`)
	f.Move(next)
	moved := time.Now()
	scenario.Play(t, cast, nil, `next.1 expect ^GET /registry/instances HTTP/1.1\r\n
		next.2 expect ^GET /registry/instances HTTP/1.1\r\n`)
	require.Less(t, time.Since(moved), 4*time.Second)
	require.Equal(t, []string{"restored", "change"}, h.told(), "no failure of discovery's")
}

// TestSpread: a silent call is made anew by chance before what it may have missed counts
// as told, a second being left for the answer, and at once when that is over.
func TestSpread(t *testing.T) {
	began := time.Now()
	silent, by := began.Add(watchFor+grace), began.Add(watchFor+againBy)
	require.Equal(t, silent, Spread(silent, by, 0))
	require.Equal(t, began.Add(4500*time.Millisecond), Spread(silent, by, 0.5))
	require.Equal(t, by.Add(time.Minute), Spread(by.Add(time.Minute), by, 0.5))
}

// TestPause: renewals of a kept watch are never at once and never long.
func TestPause(t *testing.T) {
	for failures, want := range map[int]time.Duration{
		1: 25 * time.Millisecond, 2: 50 * time.Millisecond, 3: 100 * time.Millisecond,
		4: 200 * time.Millisecond, 5: 200 * time.Millisecond, 64: 200 * time.Millisecond, 1 << 30: 200 * time.Millisecond,
	} {
		require.Equal(t, want, Pause(failures), "after %d failures", failures)
	}
}
