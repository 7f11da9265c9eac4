package virtualserver

import (
	"net"
	"testing"

	"basaltloft/internal/scenario"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// TestLimited: clients that only keep their connections must not shut others
// out, of which call-backs are some.
func TestLimited(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(nil, nil, logrus.New())
	go s.Serve(l, 2)
	defer s.server.Close()
	scenario.Play(t, scenario.Cast{"c": scenario.Dial(l.Addr().String())}, nil, `
		c.1 send GET /health/live HTTP/1.1\r\nHost: app\r\n\r\n
		c.1 expect 200 OK.*ok
		c.2 send GET /health/live HTTP/1.1\r\nHost: app\r\n\r\n
		c.2 expect 200 OK.*ok
		c.3 send GET /health/live HTTP/1.1\r\nHost: app\r\n\r\n
		c.3 expect 200 OK.*ok
		c.1 wait
		c.4 send GET /health/live HTTP/1.1\r\nHost: app\r\n\r\n
		c.4 expect 200 OK.*ok
		c.2 wait`)
}
