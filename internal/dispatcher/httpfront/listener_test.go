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

// TestLimited: clients that only keep their connections, or say nothing or not
// all, must not shut others out, of which callbacks are some. There is room
// for two.
func TestLimited(t *testing.T) {
	for name, script := range map[string]string{
		"an idle one makes room": `
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
		"nobody is waited for": `
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
				"idle": func(n ...string) string { // an answer comes before its connection is idle
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
			require.Less(t, time.Since(began), 12*time.Second, "each is closed in its time")
		})
	}
}

// TestSilentTimeout: a client that sends nothing more of its request is cut off after the operator's time.
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

// TestVictim: one that was never of use goes first, then one that says nothing,
// then one that trickles, then one that is of use; one that has just come, or
// is served, stays.
func TestVictim(t *testing.T) {
	l, now := newLimitedListener(nil, 6), time.Now()
	enter := func(age time.Duration, heard, used bool, to *list.List) *limitedConn {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		c := &limitedConn{Conn: near, listener: l, since: now.Add(-age)}
		l.tryAdd(c)
		c.sentBytes, c.carriedWork = heard, used
		c.moveTo(to)
		return c
	}
	trickling := enter(2*partialRequestGrace, true, false, &l.fresh)
	silent := enter(partialRequestGrace, false, false, &l.fresh)
	kept := enter(partialRequestGrace, true, true, &l.idleUsed)
	spare := enter(0, true, false, &l.idleUnused)
	enter(0, false, false, &l.fresh)
	enter(2*partialRequestGrace, true, true, nil)
	for _, want := range []*limitedConn{spare, silent, trickling, kept, nil} {
		c, until := l.victim(now)
		require.Same(t, want, c)
		if c == nil {
			require.Equal(t, now.Add(freshGrace), until)
			continue
		}
		_ = c.Close()
	}
}

// TestClosedMeanwhile: a request whose connection was closed for another's sake
// is not served, since its client sends it again elsewhere.
func TestClosedMeanwhile(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	l := newLimitedListener(nil, 1)
	c := &limitedConn{Conn: near, listener: l, since: time.Now().Add(-partialRequestGrace)}
	require.True(t, l.tryAdd(c).IsZero())
	require.True(t, c.serve(true))
	next := &limitedConn{Conn: far, listener: l}
	require.False(t, l.tryAdd(next).IsZero(), "one that is served stays")
	c.moveTo(&l.idleUsed)
	require.True(t, l.tryAdd(next).IsZero())
	require.False(t, c.serve(true))
	require.Equal(t, 1, l.open)
	_ = c.Close()
	require.Equal(t, 1, l.open, "a place is given back once")
}

// TestEarlyByte: the first byte of a next request that comes while one is served
// starts the time for the rest, as any other first byte does.
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
	require.Same(t, &l.fresh, c.class, "it is no idle one")
	require.False(t, c.since.Before(before))
	c.since = c.since.Add(-headerTimeout) // its time is over
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Hour)))
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	l.connState(c, http.StateActive)
	require.False(t, c.nextStarted)
}
