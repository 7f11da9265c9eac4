package discovery

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/scenario"
	"basaltloft/internal/dispatcher/settings"

	"github.com/stretchr/testify/require"
)

// heard keeps what the follower told, in order: a kind, and each entry's state.
type heard struct {
	mu    sync.Mutex
	lists []string
}

func (h *heard) UpdateMembers(_ string, kind policy.ListKind, entries []*engine.Member) {
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

// follower begins one at a pace on a listener of the test's, from a restored list; it
// ends with the test.
func follower(t *testing.T, pace CallSchedule, restored settings.List) (*Follower, *heard, func() (scenario.Conn, error)) {
	addr, open := scenario.Listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h := &heard{}
	f := New(ctx, addr, pace, h, nil, logtest.Discard())
	f.Restore(restored)
	return f, h, open
}

// TestPushedListsAreWatched: where lists are pushed to an agent on this machine,
// the policy never asks for them, so the follower keeps a watch by itself. What the
// agent has counts from the first moment, so the whole list is asked for first,
// which a start can wait for. A change is passed on; a watch that the agent leaves silent, one answered 503
// and one reset before its answer are each begun anew on a new connection,
// from the last version told, and service goes on.
func TestPushedListsAreWatched(t *testing.T) {
	f, h, open := follower(t, LocalAgentSchedule(), settings.List{Generation: 41, Whole: true, Entries: []settings.Entry{{ID: "s-1", Addr: "127.0.0.1:1"}}})
	f.KeepWatching()
	f.KeepWatching() // a second call begins no second watch
	require.False(t, f.WaitFirstAnswer(time.Now()), "the list that it was started with is none of the agent's")
	scenario.RunScript(t, scenario.Peers{"agent": open}, nil, `
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
	require.True(t, f.WaitFirstAnswer(time.Now().Add(time.Second)))
}

const few, every = 4, 10 * time.Second // callers of an asked service, and how often the settings want it asked

// TestPolledListsWaitForThePolicy: where discovery is a shared service that is asked,
// the first call comes when the policy says so. From then on the follower has the
// watch: what the policy asks while a failed call is yet to be made anew changes nothing.
func TestPolledListsWaitForThePolicy(t *testing.T) {
	pace := SharedServiceSchedule(few, every)
	pace.MinBackoff, pace.MaxBackoff, pace.MaxCallInterval = 10*time.Hour, 10*time.Hour, 10*time.Hour
	addr, open := scenario.Listen(t)
	h := &heard{}
	f := New(t.Context(), addr, pace, h, nil, logtest.Discard())
	f.Restore(settings.List{Generation: 7, Whole: true})
	again := make(chan error, 1)
	f.Watch(true)
	f.Watch(true)
	scenario.RunScript(t, scenario.Peers{"discovery": open}, nil, `
		discovery.1 expect ^GET /registry/instances\?index=7&wait=1 HTTP/1.1\r\n
		discovery.1 close`)
	require.Eventually(t, func() bool { return len(h.told()) == 2 }, 20*time.Second, time.Millisecond)
	require.Equal(t, []string{"restored", "failed"}, h.told())
	f.Watch(true)
	go func() {
		_, err := open()
		again <- err
	}()
	select {
	case err := <-again:
		t.Fatal("the policy's word begins a second watch", err)
	case <-time.After(200 * time.Millisecond):
	}
	f.Watch(false)
	f.Watch(true) // at once: the watch that was ended is none
	require.NoError(t, <-again)
}

// opening is a peer of which each end is changed when it is opened.
func opening(open func() (scenario.Conn, error), change func(*net.TCPConn) scenario.Conn) func() (scenario.Conn, error) {
	return func() (scenario.Conn, error) {
		end, err := open()
		if err != nil {
			return nil, err
		}
		return change(end.(*net.TCPConn)), nil
	}
}

// resetting is an end whose close resets the connection.
func resetting(c *net.TCPConn) scenario.Conn {
	_ = c.SetLinger(0)
	return c
}

// trickle is an end that goes on, after what is sent, a byte at a time and for good.
type trickle struct{ *net.TCPConn }

func (c trickle) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	go func() {
		for err := error(nil); err == nil; time.Sleep(10 * time.Millisecond) {
			_, err = c.TCPConn.Write([]byte{'x'})
		}
	}()
	return n, err
}

// list is an answer of discovery's, in which \n stands for itself.
func list(text string) string {
	return fmt.Sprintf(`HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s`, len(strings.ReplaceAll(text, `\n`, "\n")), text)
}

// TestFailedCallsAreRepeated: whatever becomes of a call, the next one is there within
// the pace's time from the first one's begin, on a new connection and from the last
// version told; the watch goes on from its answer, and what was known stays meanwhile.
func TestFailedCallsAreRepeated(t *testing.T) {
	t.Parallel()
	const whole = `"reset":false,"instances":[]}`
	for name, c := range map[string]struct{ peer, then string }{
		"closed":                   {"discovery", `PEER close`},
		"reset":                    {"reset", `PEER close`},
		"reset in the header":      {"reset", "PEER send HTTP/1.1 200 OK\\r\\nContent-\nPEER close"},
		"reset after the header":   {"reset", "PEER send HTTP/1.1 200 OK\\r\\nContent-Length: 46\\r\\n\\r\\n\nPEER close"},
		"503":                      {"discovery", `PEER send HTTP/1.1 503 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`},
		"503 with a list":          {"discovery", `PEER send HTTP/1.1 503 x\r\nConnection: close\r\nContent-Length: 46\r\n\r\n{"generation":8,` + whole + ` `},
		"no HTTP":                  {"discovery", "PEER send {\"generation\":8," + whole + "\\r\\n\\r\\n\nPEER close"},
		"no list":                  {"discovery", "PEER send HTTP/1.1 200 OK\\r\\n\\r\\n[]\nPEER close"},
		"no such state":            {"discovery", "PEER send HTTP/1.1 200 OK\\r\\n\\r\\n{\"generation\":8,\"instances\":[{\"instanceId\":\"s-1\",\"lifecycle\":\"lost\"}]}\nPEER close"},
		"cut":                      {"discovery", "PEER send HTTP/1.1 200 OK\\r\\nContent-Length: 460\\r\\n\\r\\n{\"generation\":8," + whole + "\nPEER close"},
		"cut without a length":     {"discovery", "PEER send HTTP/1.1 200 OK\\r\\n\\r\\n{\"generation\":8,\nPEER close"},
		"silent":                   {"discovery", ``},
		"silent in the header":     {"discovery", `PEER send HTTP/1.1 200 OK\r\nContent-`},
		"silent after the header":  {"discovery", `PEER send HTTP/1.1 200 OK\r\nContent-Length: 46\r\n\r\n`},
		"silent in the body":       {"discovery", `PEER send HTTP/1.1 200 OK\r\nContent-Length: 46\r\n\r\n{"generation":8,`},
		"a header that never ends": {"trickle", `PEER send HTTP/1.1 200 OK\r\nX-`},
		"a body that never ends":   {"trickle", `PEER send HTTP/1.1 200 OK\r\nContent-Length: 4600000\r\n\r\n{"generation":8,`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pace := SharedServiceSchedule(few, every)
			f, h, open := follower(t, pace, settings.List{Generation: 7, Whole: true})
			cast := scenario.Peers{"discovery": open, "reset": opening(open, resetting), "trickle": opening(open, func(c *net.TCPConn) scenario.Conn { return trickle{c} })}
			f.Watch(true)
			began := time.Now()
			scenario.RunScript(t, cast, nil, strings.ReplaceAll("PEER expect ^GET /registry/instances\\?index=7&wait=1 HTTP/1.1\\r\\n.*\\r\\n\\r\\n\n"+c.then, "PEER", c.peer+".1")+`
				discovery.2 expect ^GET /registry/instances\?index=7&wait=1 HTTP/1.1\r\n
				discovery.2 send `+list(`{"generation":9,`+whole)+`
				discovery.2 expect GET /registry/instances\?index=9&wait=2000 HTTP/1.1\r\n`)
			require.Less(t, time.Since(began), told-margin)
			require.Equal(t, []string{"restored", "failed", "change"}, h.told()[:3])
		})
	}
}

// TestRefusedUntilItIsBack: discovery is down, so that connections to it are refused,
// and then comes back at its address. It is found within the pace's time.
func TestRefusedUntilItIsBack(t *testing.T) {
	t.Parallel()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	pace, h := SharedServiceSchedule(few, every), &heard{}
	f := New(t.Context(), addr, pace, h, nil, logtest.Discard())
	f.Restore(settings.List{Generation: 7, Whole: true})
	f.Watch(true)
	require.Eventually(t, func() bool { return len(h.told()) > 4 }, 20*time.Second, time.Millisecond)
	l, err = new(net.ListenConfig).Listen(t.Context(), "tcp", addr)
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	back := time.Now()
	scenario.RunScript(t, scenario.Peers{"discovery": func() (scenario.Conn, error) { return l.Accept() }}, nil, `
		discovery expect ^GET /registry/instances\?index=7&wait=1 HTTP/1.1\r\n
		discovery send `+list(`{"generation":9,"reset":true,"instances":[]}`)+`
		discovery expect GET /registry/instances\?index=9&wait=2000 HTTP/1.1\r\n`)
	require.Less(t, time.Since(back), told-margin)
}

// TestDialsThatNeverComeUp: a machine that has vanished answers no dial. Each call
// dials anew, and the transport lets dials go on whose calls were given up: they end
// all the same, and leave descriptors for what else this process does.
func TestDialsThatNeverComeUp(t *testing.T) {
	t.Parallel()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer func() { _ = syscall.Close(fd) }()
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	at, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	port := at.(*syscall.SockaddrInet4).Port
	addr := fmt.Sprintf("127.0.0.1:%d", port)
	for { // until its queue is full: then the system answers no more
		c, err := (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext(t.Context(), "tcp", addr)
		if err != nil {
			break
		}
		defer func() { _ = c.Close() }()
	}
	pace := LocalAgentSchedule()
	pace.MaxBackoff = pace.MinBackoff
	h := &heard{}
	f := New(t.Context(), addr, pace, h, nil, logtest.Discard())
	f.KeepWatching()
	require.Eventually(t, func() bool { return len(h.told()) >= 16 }, 20*time.Second, time.Millisecond)
	text, err := os.ReadFile("/proc/net/tcp")
	require.NoError(t, err)
	dials := strings.Count(string(text), fmt.Sprintf(" 0100007F:%04X 02 ", port))
	require.Positive(t, dials)
	require.LessOrEqual(t, dials, int(pace.MaxCallInterval/pace.ReplyTimeout)+1)
}

// TestSilentWatchIsRenewed: a watch that goes on and falls silent is given up and begun
// anew on a new connection, from the last version told and without a wait, so that an
// answer is in progress before what was missed counts as told. After a move the whole list
// is owed, and a silent call for it too is made anew.
func TestSilentWatchIsRenewed(t *testing.T) {
	t.Parallel()
	pace := SharedServiceSchedule(few, every)
	f, h, open := follower(t, pace, settings.List{Generation: 7, Whole: true})
	f.Watch(true)
	next, opened := scenario.Listen(t)
	cast := scenario.Peers{"discovery": open, "next": opened}
	var silent time.Time
	words := scenario.Functions{"now": func(...string) string { silent = time.Now(); return "" }}
	scenario.RunScript(t, cast, words, `discovery.1 expect ^GET /registry/instances\?index=7&wait=1 HTTP/1.1\r\n
		discovery.1 send `+list(`{"generation":8,"reset":false,"instances":[]}`)+`
		discovery.1 expect GET /registry/instances\?index=8&wait=2000 HTTP/1.1\r\n@now()
		discovery.2 expect ^GET /registry/instances\?index=8&wait=1 HTTP/1.1\r\n`)
	require.Less(t, time.Since(silent), told-margin)
	f.SwitchTo(next)
	moved := time.Now()
	scenario.RunScript(t, cast, nil, `next.1 expect ^GET /registry/instances HTTP/1.1\r\n
		next.2 expect ^GET /registry/instances HTTP/1.1\r\n`)
	require.Less(t, time.Since(moved), 4*time.Second)
	require.Equal(t, []string{"restored", "change", "failed"}, h.told()[:3])
}

// TestWatchGoesOn: the gap to the next call is short of what would end the watch, be the
// answer quiet or at once, whole though changes were asked for, or indented; calls of a
// watch never follow each other at once. News from a version that is older than the one
// asked from belong to another life of the service, which is asked whole.
func TestWatchGoesOn(t *testing.T) {
	t.Parallel()
	f, h, open := follower(t, SharedServiceSchedule(few, every), settings.List{Generation: 7, Whole: true})
	f.Watch(true)
	var at []time.Time
	began := time.Now()
	words := scenario.Functions{"now": func(...string) string { at = append(at, time.Now()); return "" }}
	const quiet = `{"generation":8,"reset":false,"instances":[]}`
	scenario.RunScript(t, scenario.Peers{"discovery": open}, words, `
		discovery expect ^GET /registry/instances\?index=7&wait=1 HTTP/1.1\r\n
		discovery send `+list(quiet)+`
		discovery expect GET /registry/instances\?index=8&wait=2000 HTTP/1.1\r\n@now()
		discovery send `+list(quiet)+`
		discovery expect GET /registry/instances\?index=8&wait=2000 HTTP/1.1\r\n@now()
		discovery send `+list(`{\n  "generation": 5,\n  "reset": true,\n  "instances": [\n    {\n      "instanceId": "s-1",\n "hostPort": "127.0.0.1:1", "lifecycle": "active"}]\n}`)+`
		discovery expect GET /registry/instances\?index=5&wait=2000 HTTP/1.1\r\n@now()
		discovery send `+list(`{"generation":3,"reset":false,"instances":[]}`)+`
		discovery expect GET /registry/instances HTTP/1.1\r\n@now()
		discovery send `+list(`{"generation":3,"reset":false,"instances":[]}`)+`
		discovery expect GET /registry/instances\?index=3&wait=2000 HTTP/1.1\r\n@now()`)
	at = append(at, time.Now()) // a word is said before its step: now is when the call before came
	least := time.Hour
	for n := range at[2:] { // the watch's first answer may have waited for its turn: the next call comes at once
		gap := at[n+2].Sub(at[n+1])
		least = min(least, gap)
	}
	require.GreaterOrEqual(t, at[len(at)-1].Sub(began), 4*minCallInterval)
	require.Less(t, least, 200*time.Millisecond) // the least, since any one may meet with a busy machine
	require.Equal(t, []string{"restored", "change", "whole s-1=ready", "whole"}, h.told())
}
