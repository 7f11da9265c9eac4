package server_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
)

// startWithoutMembers starts the program without a pool member in its configuration, while discovery is
// down.
func startWithoutMembers(t *testing.T, listen, mode string) scenario.Peers {
	peers := scenario.StartWithConfig(t, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","limits":{"cores":1,"memory_mb":32,"sockets":256},"settings":%s}`,
		listen, strings.Replace(scenario.Settings, `"ask"`, `"`+mode+`"`, 1)))
	peers["client"] = scenario.Dial(listen)
	addr, _ := scenario.Listen(t)
	peers["holder"] = scenario.Dial(addr)
	return peers
}

// TestStartWithoutMembershipList: a process without a known pool member is ready within 10 s while
// discovery is down, as the operators' page promises. On an idle machine it takes 0.1 s where the
// dispatcher asks for lists, and 0.6 s where they are pushed. It answers the jobs that it accepts in time.
func TestStartWithoutMembershipList(t *testing.T) {
	for _, mode := range []string{"ask", "push"} {
		t.Run(mode, func(t *testing.T) {
			l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			require.NoError(t, l.Close())
			peers := startWithoutMembers(t, l.Addr().String(), mode)
			began := time.Now()
			scenario.RunScript(t, peers, scenario.Functions{
				"soon": func(...string) string {
					require.Less(t, time.Since(began), 10*time.Second)
					return ""
				},
			}, `
			program expect msg=serving
			client send GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n
			client expect ^HTTP/1.1 200 OK.*ok\n
			client send @soon()POST /place-hold HTTP/1.1\r\nHost: app\r\nX-Call-Id: h-1\r\nX-Budget: 1.5\r\nContent-Length: 0\r\n\r\n
			client expect ^HTTP/1.1 50`)
		})
	}
}

// TestAddressInUse: the process that a new one replaces may still have the address. The new process
// starts to serve as soon as the address is free; if it never is, the process ends with a line that says
// why.
func TestAddressInUse(t *testing.T) {
	for _, freed := range []bool{true, false} {
		t.Run(fmt.Sprint(freed), func(t *testing.T) {
			t.Parallel()
			l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }() // it may be closed already
			peers := startWithoutMembers(t, l.Addr().String(), "ask")
			conn, err := peers["program"]()
			require.NoError(t, err)
			peers["program"] = func() (scenario.Conn, error) { return conn, nil }
			if !freed {
				scenario.RunScript(t, peers, nil, `program expect basaltloft: HTTP front: listening: .*address already in use\n$`)
				require.Error(t, conn.(interface{ Wait() error }).Wait())
				return
			}
			scenario.RunScript(t, peers, scenario.Functions{"free": func(...string) string {
				require.NoError(t, l.Close())
				return ""
			}}, `
			program expect the address is taken: waiting for it
			holder send @free()
			program expect msg=serving
			client send GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n
			client expect ^HTTP/1.1 200 OK.*ok\n`)
		})
	}
}

// TestManyStartAtOnce: thirty processes that were killed start at the same time, while discovery answers
// three calls at a time, each after 100 ms, and rejects all others. Nine in ten report that they are ready
// within 10 s of the kill, and all of them do in the end.
func TestManyStartAtOnce(t *testing.T) {
	const processes, concurrentCalls, answerTime = 30, 3, 100 * time.Millisecond
	for _, mode := range []string{"ask", "push"} {
		t.Run(mode, func(t *testing.T) {
			busy := make(chan struct{}, concurrentCalls)
			discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				select {
				case busy <- struct{}{}:
					defer func() { <-busy }()
				default:
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				if r.URL.Query().Get("index") == "50" { // nothing new
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				time.Sleep(answerTime)
				_, _ = fmt.Fprintf(w, `{"generation":50,"reset":true,"instances":[{"instanceId":"s-r1","hostPort":%q,"zone":"hall","machineType":"std","cell":0,"lifecycle":"active","weight":1,"startedAtMs":0}]}`, r.Host)
			}))
			t.Cleanup(discovery.Close)

			var free []net.Listener // all are open together, so that no two have the same address
			for range processes {
				l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
				require.NoError(t, err)
				free = append(free, l)
			}
			killed, late := time.Now(), 0
			var all []scenario.Peers
			for _, l := range free {
				require.NoError(t, l.Close())
			}
			for _, l := range free {
				listen := l.Addr().String()
				peers := scenario.StartWithConfig(t, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"limits":{"cores":1,"memory_mb":32,"sockets":256},"settings":%s}`,
					listen, discovery.Listener.Addr(), strings.Replace(scenario.Settings, `"ask"`, `"`+mode+`"`, 1)))
				peers["client"] = scenario.Dial(listen)
				all = append(all, peers)
			}
			for _, peers := range all {
				conn, err := peers["program"]()
				require.NoError(t, err)
				scenario.RunScript(t, scenario.Peers{"program": keptOpenConn{conn}.open, "client": peers["client"]}, nil, `
				program expect msg=serving
				client send GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n
				client expect ^HTTP/1.1 200 OK.*ok\n`)
				if time.Since(killed) > 10*time.Second {
					late++
				}
			}
			require.LessOrEqual(t, late, processes/10, "not ready within 10 s")
		})
	}
}

// keptOpenConn is a connection that stays open after a script.
type keptOpenConn struct{ scenario.Conn }

func (l keptOpenConn) Close() error                 { return nil }
func (l keptOpenConn) open() (scenario.Conn, error) { return l, nil }
