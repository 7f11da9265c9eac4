package httpfront

import (
	"container/list"
	"net"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
)

// TestConnectionLimit checks that clients that keep connections idle, send nothing or send incomplete requests
// can't block other clients and callbacks. The limit is two connections.
func TestConnectionLimit(t *testing.T) {
	for name, script := range map[string]string{
		"an idle connection is evicted": `
			c.1 send @live()
			c.1 expect 200 OK.*ok
			c.1 send @idle(1)
			c.2 send @live()
			c.2 expect 200 OK.*ok
			c.2 send @idle(2)
			c.3 send @live()
			c.3 expect 200 OK.*ok
			c.1 wait
			c.3 send @idle(2)
			c.4 send @live()
			c.4 expect 200 OK.*ok
			c.2 wait`,
		"incomplete requests are evicted or time out": `
			c.1 send POST /place-hold HTTP/1.1\r\nHost: app\r\nContent-Length: 9\r\n\r\nhalf
			c.1 expect ^HTTP/1.1 400.*Connection: close
			c.1 wait
			c.2 send
			c.2 wait
			c.3 send GET /hea
			c.3 wait
			c.4 send @live()
			c.4 expect 200 OK.*ok
			c.4 send G
			c.4 wait`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := New(nil, nil, logtest.Discard())
			addr := serve(t, s, 2)
			began := time.Now()
			scenario.RunScript(t, scenario.Peers{"c": scenario.Dial(addr)}, scenario.Functions{
				"idle": func(n ...string) string { // the client gets the answer before its connection is idle
					require.Eventually(t, func() bool {
						l := s.listener.Load()
						l.mu.Lock()
						defer l.mu.Unlock()
						return strconv.Itoa(l.idleUnused.Len()) == n[0]
					}, 20*time.Second, time.Millisecond)
					return ""
				},
				"live": func(...string) string { return `GET /health/live HTTP/1.1\r\nHost: app\r\n\r\n` },
			}, script)
			require.Less(t, time.Since(began), 12*time.Second, "each connection is closed in time")
		})
	}
}

// TestSilentTimeout checks that a client that stops sending in the middle of a request is disconnected after the
// configured time.
func TestSilentTimeout(t *testing.T) {
	s := New(nil, nil, logtest.Discard())
	s.SilentTimeout = time.Millisecond
	script := `
		c.1 send GET /hea
		c.1 wait`
	scenario.RunScript(t, scenario.Peers{"c": scenario.Dial(serve(t, s, 2))}, nil, script)
	require.Equal(t, time.Millisecond, s.listener.Load().silentTimeout)
	patient := New(nil, nil, logtest.Discard())
	patient.SilentTimeout = time.Hour
	addr := serve(t, patient, 1)
	scenario.RunScript(t, scenario.Peers{"c": scenario.Dial(addr)}, nil, `
		c send GET /health/live HTTP/1.1\r\n
		c send Host: app\r\n\r\n
		c expect 200 OK`)
	require.Equal(t, time.Hour, patient.listener.Load().silentTimeout)
}

// TestVictim checks the order of eviction: an idle connection that never carried work, one that sends nothing,
// one that sends its request slowly, an idle one that carried work. A connection that has just been accepted
// or is being served is not evicted.
func TestVictim(t *testing.T) {
	l, now := newLimitedListener(nil, 6), time.Now()
	add := func(age time.Duration, sent, worked bool, to *list.List) *limitedConn {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		c := &limitedConn{Conn: near, listener: l, since: now.Add(-age)}
		l.tryAdd(c)
		c.sentBytes, c.carriedWork = sent, worked
		c.moveTo(to)
		return c
	}
	slow := add(2*partialRequestGrace, true, false, &l.fresh)
	silent := add(partialRequestGrace, false, false, &l.fresh)
	usedConn := add(partialRequestGrace, true, true, &l.idleUsed)
	unusedConn := add(0, true, false, &l.idleUnused)
	add(0, false, false, &l.fresh)
	add(2*partialRequestGrace, true, true, nil)
	for _, want := range []*limitedConn{unusedConn, silent, slow, usedConn, nil} {
		c, until := l.victim(now)
		require.Same(t, want, c)
		if c == nil {
			require.Equal(t, now.Add(freshGrace), until)
			continue
		}
		_ = c.Close()
	}
}

// TestEvictedRequestIsNotServed checks that a request whose connection has been evicted is not served, since its
// client sends it again elsewhere.
func TestEvictedRequestIsNotServed(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	l := newLimitedListener(nil, 1)
	c := &limitedConn{Conn: near, listener: l, since: time.Now().Add(-partialRequestGrace)}
	require.True(t, l.tryAdd(c).IsZero())
	require.True(t, c.serve(true))
	next := &limitedConn{Conn: far, listener: l}
	require.False(t, l.tryAdd(next).IsZero(), "a connection that is being served is not evicted")
	c.moveTo(&l.idleUsed)
	require.True(t, l.tryAdd(next).IsZero())
	require.False(t, c.serve(true))
	require.Equal(t, 1, l.open)
	_ = c.Close()
	require.Equal(t, 1, l.open, "the connection is subtracted from the count once")
}

// TestEarlyByte checks that the first byte of the next request, if it comes while a request is served, starts the
// timeout for the rest of that request, as any other first byte does.
func TestEarlyByte(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	l := newLimitedListener(nil, 2)
	c := &limitedConn{Conn: far, listener: l, since: time.Now()}
	l.tryAdd(c)
	require.True(t, c.serve(false))
	go func() { _, _ = near.Write([]byte("G")) }()
	n, err := c.Read(make([]byte, 1))
	require.NoError(t, err)
	require.Equal(t, 1, n)
	before := time.Now()
	l.connState(c, http.StateIdle)
	require.Same(t, &l.fresh, c.class, "the connection is not idle")
	require.False(t, c.since.Before(before))
	c.since = c.since.Add(-headerTimeout) // its timeout has passed
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Hour)))
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	l.connState(c, http.StateActive)
	require.False(t, c.nextStarted)
}
