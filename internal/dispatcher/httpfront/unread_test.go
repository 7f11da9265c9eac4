package httpfront

import (
	"bytes"
	"container/list"
	"net"
	"os"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/logging/logtest"

	"github.com/stretchr/testify/require"
)

// arrive is a connection that l has let in, and its client's end.
func arrive(t *testing.T, l *limitedListener) (*limitedConn, net.Conn) {
	t.Helper()
	far, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = far.Close() })
	near, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = near.Close() })
	return near.(*limitedConn), far
}

// rest moves a connection to those that rest after they were of use.
func (c *limitedConn) rest() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.moveTo(&c.listener.idleUsed)
}

func listening(t *testing.T, most int) *limitedListener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return newLimitedListener(l, most)
}

// serve lets a server serve that many connections until the test ends, and returns its address.
func serve(t *testing.T, s *Server, most int) (addr string) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l, most) }()
	t.Cleanup(func() {
		_ = s.server.Close() // what is wrong with its connections matters to no test
		require.NoError(t, <-served)
	})
	return l.Addr().String()
}

// look is a look for a victim as Accept does it, a minute later.
func (l *limitedListener) look() (c *limitedConn, in time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now().Add(time.Minute)
	c, until := l.victim(now)
	return c, until.Sub(now)
}

// waits tells whether bytes wait on a connection.
func waits(c *limitedConn) func() bool {
	return func() bool {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		return c.hasUnread()
	}
}

// TestUnreadStays: a connection on which bytes wait that nobody has read yet is not
// closed for another's sake, wherever it stands, and none of the bytes is lost. Another
// one goes, or the next look comes soon.
func TestUnreadStays(t *testing.T) {
	for name, to := range map[string]func(*limitedListener) *list.List{
		"new":            func(l *limitedListener) *list.List { return &l.fresh },
		"never of use":   func(l *limitedListener) *list.List { return &l.idleUnused },
		"idle after use": func(l *limitedListener) *list.List { return &l.idleUsed },
	} {
		t.Run(name, func(t *testing.T) {
			l := listening(t, 2)
			asks, far := arrive(t, l)
			l.mu.Lock()
			asks.moveTo(to(l))
			l.mu.Unlock()
			_, err := far.Write([]byte("POST"))
			require.NoError(t, err)
			if name != "new" { // where it has not come yet, the connection may be closed
				require.Eventually(t, waits(asks), 10*time.Second, time.Millisecond)
			}
			require.Eventually(t, func() bool { _, in := l.look(); return in == evictionRetry }, 10*time.Second, time.Millisecond)
			victim, _ := l.look()
			require.Nil(t, victim)
			silent, _ := arrive(t, l)
			victim, _ = l.look()
			require.Same(t, silent, victim)
			b := make([]byte, 16)
			var got []byte
			for len(got) < 4 {
				n, err := asks.Read(b)
				require.NoError(t, err)
				got = append(got, b[:n]...)
			}
			require.Equal(t, "POST", string(got))
		})
	}
}

// TestReadIsNoted: a Read takes nothing while a victim is looked for: what it took
// unnoted would be on a connection that passes for idle, and be lost with it. The
// lock is held here as by such a look, while the bytes come.
func TestReadIsNoted(t *testing.T) {
	l := listening(t, 1)
	c, far := arrive(t, l)
	c.rest()
	got, begun := make(chan string, 1), make(chan struct{})
	go func() {
		b := make([]byte, 4)
		close(begun)
		n, _ := c.Read(b)
		got <- string(b[:n])
	}()
	<-begun
	time.Sleep(20 * time.Millisecond) // the Read waits by then, as a rule; the test holds if not
	l.mu.Lock()
	_, _ = far.Write([]byte("POST"))
	time.Sleep(20 * time.Millisecond) // a Read that goes by no lock has the byte by then
	require.Same(t, &l.idleUsed, c.class)
	require.Eventually(t, c.hasUnread, 10*time.Second, time.Millisecond)
	require.Same(t, &l.fresh, c.class, "its request has begun")
	l.mu.Unlock()
	require.Regexp(t, "^P", <-got)
}

// TestClosedInARead: a connection is closed while a Read on it has bytes and waits for
// the lock. The close, which waits for that Read, must not hold the lock meanwhile,
// and the Read takes nothing.
func TestClosedInARead(t *testing.T) {
	l := listening(t, 1)
	c, far := arrive(t, l)
	read, closed := make(chan int, 1), make(chan error, 1)
	go func() {
		n, _ := c.Read(make([]byte, 4))
		read <- n
	}()
	time.Sleep(20 * time.Millisecond) // each of these has got to the lock then, as a rule
	l.mu.Lock()
	go func() { closed <- c.Close() }()
	time.Sleep(20 * time.Millisecond)
	_, _ = far.Write([]byte("POST"))
	time.Sleep(20 * time.Millisecond)
	l.mu.Unlock()
	select {
	case err := <-closed:
		require.NoError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the close and the read wait for one another")
	}
	require.Zero(t, <-read)
	require.False(t, c.serve(true))
}

// TestDeadlineCrossesBytes: bytes that have come when a read's time is over are read, not
// reset with the connection, be they a first part or the last one. Without any, the
// time is over.
func TestDeadlineCrossesBytes(t *testing.T) {
	l := listening(t, 1)
	c, far := arrive(t, l)
	b := make([]byte, 8)
	require.NoError(t, c.SetReadDeadline(time.Unix(1, 0)))
	_, err := c.Read(b)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	_, err = far.Write([]byte("POST"))
	require.NoError(t, err)
	var got []byte
	require.Eventually(t, func() bool {
		n, _ := c.Read(b)
		got = append(got, b[:n]...)
		return string(got) == "POST"
	}, 10*time.Second, time.Millisecond)
	_, err = c.Read(b)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// TestUntaken: a client that asks on and takes no answer loses its connection, and
// with it its place, which nobody else could have had: it passes for served.
func TestUntaken(t *testing.T) {
	t.Parallel()
	s := New(nil, nil, logtest.Discard())
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp", serve(t, s, 1))
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	asks := bytes.Repeat([]byte("GET /health/live HTTP/1.1\r\nHost: app\r\n\r\n"), 1000)
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(30*time.Second)))
	for err == nil {
		_, err = c.Write(asks)
	}
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "it still has its place")
	require.Eventually(t, func() bool { return s.listener.Load().openConns() == 0 }, 10*time.Second, time.Millisecond)
}

// TestWaitsAsItCloses: a connection that was accepted and waits for a place as the
// listener is closed may have sent its request: it is served.
func TestWaitsAsItCloses(t *testing.T) {
	l := listening(t, 1)
	served, _ := arrive(t, l)
	require.True(t, served.serve(true))
	far, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = far.Close() }()
	_, err = far.Write([]byte("POST"))
	require.NoError(t, err)
	taken := make(chan struct{})
	l.Listener = accepts{l.Listener, taken}
	got := make(chan net.Conn, 1)
	go func() {
		c, _ := l.Accept()
		got <- c
	}()
	<-taken
	_ = l.Close()
	c := <-got
	require.NotNil(t, c)
	b := make([]byte, 4)
	n, err := c.Read(b)
	require.NoError(t, err)
	require.Equal(t, "POST", string(b[:n]))
	require.Equal(t, 2, l.openConns())
	_ = c.Close()
	require.Equal(t, 1, l.openConns())
}

// accepts tells that a connection was accepted.
type accepts struct {
	net.Listener
	taken chan struct{}
}

func (a accepts) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err == nil {
		close(a.taken)
	}
	return c, err
}
