package server

import (
	"net"
	"testing"

	"basaltloft/internal/dispatcher/httpfront"
	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
)

// TestUndrainCancelsCloseIdle: a drain that is undone just as its timer fires closes no connections any
// more.
func TestUndrainCancelsCloseIdle(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	http := httpfront.New(nil, nil, logtest.Discard())
	go func() { _ = http.Serve(l, 8) }() // until the listener is closed
	o := &adminOperations{s: &Service{draining: make(chan struct{})}, http: http}
	scenario.RunScript(t, scenario.Peers{"client": scenario.Dial(l.Addr().String())}, scenario.Functions{
		"crossing": func(...string) string {
			o.Drain()
			o.mu.Lock()
			timer := o.closeIdleTimer
			o.mu.Unlock()
			require.True(t, timer.Stop(), "the test calls closeIdle itself")
			o.Undrain()
			o.closeIdle(timer)
			return ""
		},
		"live": func(...string) string { return `GET /health/live HTTP/1.1\r\nHost: app\r\n\r\n` },
	}, `
		client send @live()
		client expect ^HTTP/1.1 200 OK.*ok\n
		client send @crossing()@live()
		client expect ^HTTP/1.1 200 OK.*ok\n
		client send @live()
		client expect ^HTTP/1.1 200 OK.*ok\n`)
}
