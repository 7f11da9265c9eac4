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

// starting is a program whose discovery is down and which knows of no pool member.
func starting(t *testing.T, listen, mode string) scenario.Peers {
	cast := scenario.StartWithConfig(t, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","limits":{"cores":1,"memory_mb":32,"sockets":256},"settings":%s}`,
		listen, strings.Replace(scenario.Settings, `"ask"`, `"`+mode+`"`, 1)))
	cast["client"] = scenario.Dial(listen)
	addr, _ := scenario.Listen(t)
	cast["holder"] = scenario.Dial(addr)
	return cast
}

// TestStartWithoutAList: a process that knows of no pool member, while discovery is down, is ready within the 10 s of the operators' page (0.1 s where lists are asked for and
// 0.6 s where they are pushed, on a machine that is free); what it takes it answers in time.
func TestStartWithoutAList(t *testing.T) {
	for _, mode := range []string{"ask", "push"} {
		t.Run(mode, func(t *testing.T) {
			l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			require.NoError(t, l.Close())
			cast := starting(t, l.Addr().String(), mode)
			began := time.Now()
			scenario.RunScript(t, cast, scenario.Functions{
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

// TestAddressStillTaken: the process whose place a new one takes may still have the
// address. The new one begins as soon as it is free; where it never is, it ends, with a
// line that says why.
func TestAddressStillTaken(t *testing.T) {
	for _, freed := range []bool{true, false} {
		t.Run(fmt.Sprint(freed), func(t *testing.T) {
			t.Parallel()
			l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }() // it may be closed already
			cast := starting(t, l.Addr().String(), "ask")
			end, err := cast["program"]()
			require.NoError(t, err)
			cast["program"] = func() (scenario.Conn, error) { return end, nil }
			if !freed {
				scenario.RunScript(t, cast, nil, `program expect basaltloft: HTTP front: listening: .*address already in use\n$`)
				require.Error(t, end.(interface{ Wait() error }).Wait())
				return
			}
			scenario.RunScript(t, cast, scenario.Functions{"free": func(...string) string {
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

// TestManyStartAtOnce: after a mass kill thirty processes start in the same moment, while discovery answers three
// calls at a time, slowly, and turns all others away. Nine in ten are ready within 10 s of the kill, by their own
// word, and all of them in the end.
func TestManyStartAtOnce(t *testing.T) {
	const processes, atOnce, each = 30, 3, 100 * time.Millisecond
	for _, mode := range []string{"ask", "push"} {
		t.Run(mode, func(t *testing.T) {
			busy := make(chan struct{}, atOnce)
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
				time.Sleep(each) // it is slow
				_, _ = fmt.Fprintf(w, `{"generation":50,"reset":true,"instances":[{"instanceId":"s-r1","hostPort":%q,"zone":"hall","machineType":"std","cell":0,"lifecycle":"active","weight":1,"startedAtMs":0}]}`, r.Host)
			}))
			t.Cleanup(discovery.Close)

			var free []net.Listener // all at a time, so that no two get one address
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
				cast := scenario.StartWithConfig(t, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"limits":{"cores":1,"memory_mb":32,"sockets":256},"settings":%s}`,
					listen, discovery.Listener.Addr(), strings.Replace(scenario.Settings, `"ask"`, `"`+mode+`"`, 1)))
				cast["client"] = scenario.Dial(listen)
				all = append(all, cast)
			}
			for _, cast := range all {
				end, err := cast["program"]()
				require.NoError(t, err)
				scenario.RunScript(t, scenario.Peers{"program": lasting{end}.open, "client": cast["client"]}, nil, `
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

// lasting is an end that is not closed with a scenario.
type lasting struct{ scenario.Conn }

func (l lasting) Close() error                 { return nil }
func (l lasting) open() (scenario.Conn, error) { return l, nil }
