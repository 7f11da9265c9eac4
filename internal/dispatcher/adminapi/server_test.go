package adminapi_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"basaltloft/internal/dispatcher/adminapi"
	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
)

// job returns the steps of a job that the given runner serves.
func job(runner string) string {
	return strings.ReplaceAll(`
	client send POST /place-hold HTTP/1.1\r\nHost: app\r\nX-Call-Id: h-1\r\nX-Budget: 9\r\nContent-Length: 0\r\n\r\n
	RUNNER expect X-Call-Id: h-1
	RUNNER send HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n
	client.back send POST /_jobs/news HTTP/1.1\r\nHost: app\r\nContent-Length: 41\r\n\r\n{"id":"h-1","from":"s-RUNNER","state":"done"}
	client.back expect 204
	client expect ^HTTP/1.1 200 OK`, "RUNNER", runner)
}

// TestAdminAPI checks the calls of the API, valid and invalid ones. Callers that send nothing or an
// incomplete call don't block others. A runner that is taken out twice gets no job, and one call puts
// it back.
func TestAdminAPI(t *testing.T) {
	scenario.RunScript(t, scenario.StartWithAdmin(t, 2), nil, `
	program expect serving
	door.silent send
	door.half send POST /runners/s-r1/ma
	door.1 send GET /healthcheck HTTP/1.1\r\nHost: a\r\n\r\n
	door.1 expect ^HTTP/1.1 200 OK
	door.1 wait
	door.2 send POST /runners/s-nobody/maint HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n
	door.2 expect ^HTTP/1.1 404
	door.3 send GET /runners/s-r1/maint HTTP/1.1\r\nHost: a\r\n\r\n
	door.3 expect ^HTTP/1.1 405
	door.4 send POST /runners/s-r1/reboot HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n
	door.4 expect ^HTTP/1.1 404
	door.5 send POST /healthcheck HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n
	door.5 expect ^HTTP/1.1 405
	door.6 send GET /elsewhere HTTP/1.1\r\nHost: a\r\n\r\n
	door.6 expect ^HTTP/1.1 404
	door.7 send POST /runners/s-r1/maint HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n
	door.7 expect ^HTTP/1.1 200
	door.8 send POST /runners/s-r1/maint HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n
	door.8 expect ^HTTP/1.1 200
	program expect the operators put a runner out`+job("r2")+`
	door.9 send POST /runners/s-r1/ready HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n
	door.9 expect ^HTTP/1.1 200
	door.10 send POST /runners/s-r1/ready HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n
	door.10 expect ^HTTP/1.1 200
	door.silent wait
	door.half wait
	program close
	program wait`)
}

// TestDrain checks that after /healthcheck/fail the ready check fails while an open connection is still
// served, and that after /healthcheck/ok it succeeds again without a restart.
func TestDrain(t *testing.T) {
	scenario.RunScript(t, scenario.StartWithAdmin(t, 1), nil, `
	program expect serving
	client.ready send GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n
	client.ready expect ^HTTP/1.1 200 OK
	door.1 send POST /healthcheck/fail HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n
	door.1 expect ^HTTP/1.1 200
	client.ready send GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n
	client.ready expect HTTP/1.1 503`+job("r1")+`
	client wait
	client.ready wait
	door.2 send POST /healthcheck/ok HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n
	door.2 expect ^HTTP/1.1 200
	client.again send GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n
	client.again expect ^HTTP/1.1 200 OK
	program close
	program wait`)
}

// slowOperations implements Operations; each operation takes this long.
type slowOperations time.Duration

func (o slowOperations) wait() { <-time.After(time.Duration(o)) }

func (o slowOperations) Serving() bool                      { return true }
func (o slowOperations) TakeOut(string) error               { o.wait(); return nil }
func (o slowOperations) PutBack(string) error               { o.wait(); return adminapi.ErrUnknownRunner }
func (o slowOperations) Drain()                             { o.wait() }
func (o slowOperations) Undrain()                           { o.wait() }
func (o slowOperations) HandleForwardedUpdate([]byte) error { o.wait(); return nil }

// pipeListener is a listener that accepts the connections sent to it.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (l pipeListener) Close() error   { close(l); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestSlowOperation checks that an operation is answered however long it takes.
func TestSlowOperation(t *testing.T) {
	for call, status := range map[string]int{
		"/runners/r1/maint": http.StatusOK, "/runners/r1/ready": http.StatusNotFound, "/healthcheck/fail": http.StatusOK,
		"/healthcheck/ok": http.StatusOK, "/_jobs/news": http.StatusNoContent,
	} {
		t.Run(call, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				listener, served := make(pipeListener), make(chan error, 1)
				go func() { served <- adminapi.New(slowOperations(time.Minute), logtest.Discard()).Serve(ctx, listener) }()
				client, server := net.Pipe()
				listener <- server
				_, err := client.Write([]byte("POST " + call + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"))
				require.NoError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(client), nil)
				require.NoError(t, err)
				require.Equal(t, status, response.StatusCode)
				require.NoError(t, response.Body.Close())
				require.NoError(t, client.Close())
				stop()
				require.NoError(t, <-served)
			})
		})
	}
}
