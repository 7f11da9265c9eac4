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

// recordingSink is a MembershipSink that records each update, in order: its kind and the state of each member.
type recordingSink struct {
	mu    sync.Mutex
	lists []string
}

func (h *recordingSink) UpdateMembers(_ string, kind policy.ListKind, entries []*engine.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := [...]string{"change", "whole", "restored", "failed"}[kind]
	for _, m := range entries {
		text += " " + m.ID + "=" + [...]string{"ready", "draining", "gone"}[m.State]
	}
	h.lists = append(h.lists, text)
}

func (h *recordingSink) updates() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.lists...)
}

// newFollower returns a follower of a listener that the test serves, with a restored list, its sink, and the
// function that accepts a connection. The follower ends with the test.
func newFollower(
	t *testing.T, schedule CallSchedule, restored settings.List,
) (*Follower, *recordingSink, func() (scenario.Conn, error)) {
	addr, open := scenario.Listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h := &recordingSink{}
	f := New(ctx, addr, schedule, h, nil, logtest.Discard())
	f.Restore(restored)
	return f, h, open
}

// TestPushedListsAreWatched tests KeepWatching: the policy never requests lists that are pushed to an agent
// on this machine, so the follower keeps a watch by itself. What the agent has counts as known to the
// dispatcher from the start of the process, so the first call requests the whole list, and WaitFirstAnswer
// waits for it. A change is passed on. A call that the agent doesn't answer, one answered 503 and one whose
// connection is reset before the answer are each repeated on a new connection, from the last known version;
// the known members stay in use.
func TestPushedListsAreWatched(t *testing.T) {
	f, h, open := newFollower(t, LocalAgentSchedule(), settings.List{Generation: 41, Complete: true, Entries: []settings.Entry{{ID: "s-1", Addr: "127.0.0.1:1"}}})
	f.KeepWatching()
	f.KeepWatching() // a second call starts no second watch
	require.False(t, f.WaitFirstAnswer(time.Now()), "the restored list is no answer of the agent")
	scenario.RunScript(t, scenario.Peers{"agent": open}, nil, `
		agent.1 expect ^GET /registry/instances HTTP/1.1\r\n
		agent.1 send HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{"generation":42,"reset":true,"instances":[]}
		agent.1 close
		agent.0 expect ^GET /registry/instances\?index=42&wait=1000 HTTP/1.1\r\n
		agent.0 send HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{"generation":43,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","machineType":"m","cell":1,"lifecycle":"leaving","weight":1,"startedAtMs":0}]}
		agent.0 close
		# silent: the call times out and is repeated
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
	// Each list is passed on before the next call is made. The close of agent.6 at the end of the scenario
	// may add one more failure.
	require.Equal(t, []string{"restored s-1=ready", "whole", "change s-1=draining", "failed", "failed", "failed", "whole"}, h.updates()[:7])
	require.True(t, f.WaitFirstAnswer(time.Now().Add(time.Second)))
}

// fewCallers and pollInterval are the number of callers of a shared service and the poll interval of the settings.
const fewCallers, pollInterval = 4, 10 * time.Second

// TestPolledListsWaitForThePolicy tests that the first call to a shared service that is polled comes when the
// policy requests it. From then on the follower keeps the watch: a request of the policy before a failed call
// is repeated changes nothing.
func TestPolledListsWaitForThePolicy(t *testing.T) {
	schedule := SharedServiceSchedule(fewCallers, pollInterval)
	schedule.MinBackoff, schedule.MaxBackoff, schedule.MaxCallInterval = 10*time.Hour, 10*time.Hour, 10*time.Hour
	addr, open := scenario.Listen(t)
	h := &recordingSink{}
	f := New(t.Context(), addr, schedule, h, nil, logtest.Discard())
	f.Restore(settings.List{Generation: 7, Complete: true})
	again := make(chan error, 1)
	f.Watch(true)
	f.Watch(true)
	scenario.RunScript(t, scenario.Peers{"discovery": open}, nil, `
		discovery.1 expect ^GET /registry/instances\?index=7&wait=1 HTTP/1.1\r\n
		discovery.1 close`)
	require.Eventually(t, func() bool { return len(h.updates()) == 2 }, 20*time.Second, time.Millisecond)
	require.Equal(t, []string{"restored", "failed"}, h.updates())
	f.Watch(true)
	go func() {
		_, err := open()
		again <- err
	}()
	select {
	case err := <-again:
		t.Fatal("a request of the policy starts a second watch", err)
	case <-time.After(200 * time.Millisecond):
	}
	f.Watch(false)
	f.Watch(true) // calls at once: the watch that was stopped doesn't count
	require.NoError(t, <-again)
}

// wrapConns returns a function that opens a connection with open and passes it through change.
func wrapConns(open func() (scenario.Conn, error), change func(*net.TCPConn) scenario.Conn) func() (scenario.Conn, error) {
	return func() (scenario.Conn, error) {
		end, err := open()
		if err != nil {
			return nil, err
		}
		return change(end.(*net.TCPConn)), nil
	}
}

// resetting makes the connection's close reset it, and returns the connection.
func resetting(c *net.TCPConn) scenario.Conn {
	_ = c.SetLinger(0)
	return c
}

// trickle is a connection that, after each write, continues to send single bytes until it is closed.
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

// list returns the scenario text of an answer of discovery with the given body, in which the scenario replaces
// \n by a line feed.
func list(text string) string {
	return fmt.Sprintf(`HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s`, len(strings.ReplaceAll(text, `\n`, "\n")), text)
}

// TestFailedCallsAreRepeated tests that however a call fails, the next one comes within the schedule's time
// after the start of the first, on a new connection and from the last known version. The watch continues from
// its answer, and the known members stay meanwhile.
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
			schedule := SharedServiceSchedule(fewCallers, pollInterval)
			f, h, open := newFollower(t, schedule, settings.List{Generation: 7, Complete: true})
			peers := scenario.Peers{"discovery": open, "reset": wrapConns(open, resetting), "trickle": wrapConns(open, func(c *net.TCPConn) scenario.Conn { return trickle{c} })}
			f.Watch(true)
			began := time.Now()
			scenario.RunScript(t, peers, nil, strings.ReplaceAll("PEER expect ^GET /registry/instances\\?index=7&wait=1 HTTP/1.1\\r\\n.*\\r\\n\\r\\n\n"+c.then, "PEER", c.peer+".1")+`
				discovery.2 expect ^GET /registry/instances\?index=7&wait=1 HTTP/1.1\r\n
				discovery.2 send `+list(`{"generation":9,`+whole)+`
				discovery.2 expect GET /registry/instances\?index=9&wait=2000 HTTP/1.1\r\n`)
			require.Less(t, time.Since(began), knownAfter-margin)
			require.Equal(t, []string{"restored", "failed", "change"}, h.updates()[:3])
		})
	}
}

// TestReconnectsAfterRefusals tests that discovery, which is down so that connections to it are refused and
// then comes back at its address, is called again within the schedule's time.
func TestReconnectsAfterRefusals(t *testing.T) {
	t.Parallel()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	schedule, h := SharedServiceSchedule(fewCallers, pollInterval), &recordingSink{}
	f := New(t.Context(), addr, schedule, h, nil, logtest.Discard())
	f.Restore(settings.List{Generation: 7, Complete: true})
	f.Watch(true)
	require.Eventually(t, func() bool { return len(h.updates()) > 4 }, 20*time.Second, time.Millisecond)
	l, err = new(net.ListenConfig).Listen(t.Context(), "tcp", addr)
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	back := time.Now()
	scenario.RunScript(t, scenario.Peers{"discovery": func() (scenario.Conn, error) { return l.Accept() }}, nil, `
		discovery expect ^GET /registry/instances\?index=7&wait=1 HTTP/1.1\r\n
		discovery send `+list(`{"generation":9,"reset":true,"instances":[]}`)+`
		discovery expect GET /registry/instances\?index=9&wait=2000 HTTP/1.1\r\n`)
	require.Less(t, time.Since(back), knownAfter-margin)
}

// TestUnansweredDialsEnd tests that dials to a machine that has vanished, which answers none of them, don't use
// up the file descriptors of the process. Each call dials anew, and the transport continues the dial of a call
// that was cancelled; it must still end after a while.
func TestUnansweredDialsEnd(t *testing.T) {
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
	for { // until the accept queue is full: then the system answers no more dials
		c, err := (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext(t.Context(), "tcp", addr)
		if err != nil {
			break
		}
		defer func() { _ = c.Close() }()
	}
	schedule := LocalAgentSchedule()
	schedule.MaxBackoff = schedule.MinBackoff
	h := &recordingSink{}
	f := New(t.Context(), addr, schedule, h, nil, logtest.Discard())
	f.KeepWatching()
	require.Eventually(t, func() bool { return len(h.updates()) >= 16 }, 20*time.Second, time.Millisecond)
	text, err := os.ReadFile("/proc/net/tcp")
	require.NoError(t, err)
	dials := strings.Count(string(text), fmt.Sprintf(" 0100007F:%04X 02 ", port))
	require.Positive(t, dials)
	require.LessOrEqual(t, dials, int(schedule.MaxCallInterval/schedule.ReplyTimeout)+1)
}

// TestSilentWatchIsRenewed tests that a continued watch that is no longer answered times out and is started
// again on a new connection, from the last known version and with a call that discovery answers at once, so
// that an answer is in progress before missed changes count as known to the dispatcher. After a switch to
// another address the whole list is requested, and an unanswered call for it is repeated too.
func TestSilentWatchIsRenewed(t *testing.T) {
	t.Parallel()
	schedule := SharedServiceSchedule(fewCallers, pollInterval)
	f, h, open := newFollower(t, schedule, settings.List{Generation: 7, Complete: true})
	f.Watch(true)
	next, opened := scenario.Listen(t)
	peers := scenario.Peers{"discovery": open, "next": opened}
	var silent time.Time
	functions := scenario.Functions{"now": func(...string) string { silent = time.Now(); return "" }}
	scenario.RunScript(t, peers, functions, `discovery.1 expect ^GET /registry/instances\?index=7&wait=1 HTTP/1.1\r\n
		discovery.1 send `+list(`{"generation":8,"reset":false,"instances":[]}`)+`
		discovery.1 expect GET /registry/instances\?index=8&wait=2000 HTTP/1.1\r\n@now()
		discovery.2 expect ^GET /registry/instances\?index=8&wait=1 HTTP/1.1\r\n`)
	require.Less(t, time.Since(silent), knownAfter-margin)
	f.SwitchTo(next)
	moved := time.Now()
	scenario.RunScript(t, peers, nil, `next.1 expect ^GET /registry/instances HTTP/1.1\r\n
		next.2 expect ^GET /registry/instances HTTP/1.1\r\n`)
	require.Less(t, time.Since(moved), 4*time.Second)
	require.Equal(t, []string{"restored", "change", "failed"}, h.updates()[:3])
}

// TestWatchContinues tests that the gap to the next call is too short to end the watch, whether the answer has
// no changes, comes at once, is a whole list although changes were requested, or is indented. Successive calls
// of a watch keep a minimum interval. Changes up to a version older than the requested one come from another
// incarnation of the service, of which the whole list is requested.
func TestWatchContinues(t *testing.T) {
	t.Parallel()
	f, h, open := newFollower(t, SharedServiceSchedule(fewCallers, pollInterval), settings.List{Generation: 7, Complete: true})
	f.Watch(true)
	var at []time.Time
	began := time.Now()
	functions := scenario.Functions{"now": func(...string) string { at = append(at, time.Now()); return "" }}
	const quiet = `{"generation":8,"reset":false,"instances":[]}`
	scenario.RunScript(t, scenario.Peers{"discovery": open}, functions, `
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
	at = append(at, time.Now()) // a function runs before its step: now() returns when the call before it came
	shortest := time.Hour
	for n := range at[2:] { // without the first answer, which may have queued: the call after it comes at once
		gap := at[n+2].Sub(at[n+1])
		shortest = min(shortest, gap)
	}
	require.GreaterOrEqual(t, at[len(at)-1].Sub(began), 4*minCallInterval)
	require.Less(t, shortest, 200*time.Millisecond) // only the shortest: on a busy machine any other may be longer
	require.Equal(t, []string{"restored", "change", "whole s-1=ready", "whole"}, h.updates())
}
