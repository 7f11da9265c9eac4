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

// connect returns a connection that l has accepted, and its client's end.
func connect(t *testing.T, l *limitedListener) (*limitedConn, net.Conn) {
	t.Helper()
	far, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = far.Close() })
	near, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = near.Close() })
	return near.(*limitedConn), far
}

// makeIdle moves a connection to the list of idle connections that have carried work.
func (c *limitedConn) makeIdle() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.moveTo(&c.listener.idleUsed)
}

// listen returns a limited listener on a free local port.
func listen(t *testing.T, maxConns int) *limitedListener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return newLimitedListener(l, maxConns)
}

// serve runs a server with at most that many connections until the test ends, and returns its address.
func serve(t *testing.T, s *Server, maxConns int) (addr string) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l, maxConns) }()
	t.Cleanup(func() {
		_ = s.server.Close() // errors of its connections don't matter to the tests
		require.NoError(t, <-served)
	})
	return l.Addr().String()
}

// searchVictim searches for a victim as Accept does, as if a minute had passed. It returns the victim and the
// delay until the next attempt.
func (l *limitedListener) searchVictim() (c *limitedConn, in time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now().Add(time.Minute)
	c, until := l.victim(now)
	return c, until.Sub(now)
}

// hasUnreadBytes returns a function that reports whether a connection has unread bytes.
func hasUnreadBytes(c *limitedConn) func() bool {
	return func() bool {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		return c.hasUnread()
	}
}

// TestUnreadBytesPreventEviction checks that a connection with unread bytes is not evicted, whichever list it is
// in, and that none of the bytes is lost. Another connection is evicted, or the next attempt comes soon.
func TestUnreadBytesPreventEviction(t *testing.T) {
	for name, to := range map[string]func(*limitedListener) *list.List{
		"new":            func(l *limitedListener) *list.List { return &l.fresh },
		"never of use":   func(l *limitedListener) *list.List { return &l.idleUnused },
		"idle after use": func(l *limitedListener) *list.List { return &l.idleUsed },
	} {
		t.Run(name, func(t *testing.T) {
			l := listen(t, 2)
			c, far := connect(t, l)
			l.mu.Lock()
			c.moveTo(to(l))
			l.mu.Unlock()
			_, err := far.Write([]byte("POST"))
			require.NoError(t, err)
			if name != "new" { // before the bytes have arrived, the connection may be evicted
				require.Eventually(t, hasUnreadBytes(c), 10*time.Second, time.Millisecond)
			}
			require.Eventually(t, func() bool { _, in := l.searchVictim(); return in == evictionRetry }, 10*time.Second, time.Millisecond)
			victim, _ := l.searchVictim()
			require.Nil(t, victim)
			silent, _ := connect(t, l)
			victim, _ = l.searchVictim()
			require.Same(t, silent, victim)
			b := make([]byte, 16)
			var got []byte
			for len(got) < 4 {
				n, err := c.Read(b)
				require.NoError(t, err)
				got = append(got, b[:n]...)
			}
			require.Equal(t, "POST", string(got))
		})
	}
}

// TestReadTakesLock checks that a Read reads nothing during a search for a victim: the connection would still count
// as idle, could be evicted, and the bytes would be lost. The test holds the lock, as such a search does, while
// the bytes arrive.
func TestReadTakesLock(t *testing.T) {
	l := listen(t, 1)
	c, far := connect(t, l)
	c.makeIdle()
	got, begun := make(chan string, 1), make(chan struct{})
	go func() {
		b := make([]byte, 4)
		close(begun)
		n, _ := c.Read(b)
		got <- string(b[:n])
	}()
	<-begun
	time.Sleep(20 * time.Millisecond) // by then the Read usually waits; the test is valid even if it does not
	l.mu.Lock()
	_, _ = far.Write([]byte("POST"))
	time.Sleep(20 * time.Millisecond) // a Read without the lock would have the bytes by then
	require.Same(t, &l.idleUsed, c.class)
	require.Eventually(t, c.hasUnread, 10*time.Second, time.Millisecond)
	require.Same(t, &l.fresh, c.class, "its request has begun")
	l.mu.Unlock()
	require.Regexp(t, "^P", <-got)
}

// TestCloseDuringRead checks that a connection can be closed while a Read on it waits for the lock and bytes have
// arrived. The close, which waits for that Read, must not hold the lock meanwhile, and the Read reads nothing.
func TestCloseDuringRead(t *testing.T) {
	l := listen(t, 1)
	c, far := connect(t, l)
	read, closed := make(chan int, 1), make(chan error, 1)
	go func() {
		n, _ := c.Read(make([]byte, 4))
		read <- n
	}()
	time.Sleep(20 * time.Millisecond) // by then each of these usually waits for the lock
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

// TestBytesAtDeadline checks that bytes that have arrived when a read deadline passes are read and not lost with a
// reset of the connection, whether they are the first or the last part of a request. If there are none, Read
// fails with a timeout.
func TestBytesAtDeadline(t *testing.T) {
	l := listen(t, 1)
	c, far := connect(t, l)
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

// TestUnreadAnswers checks that the connection of a client that keeps sending requests and reads no answer is
// closed. Otherwise it would count against the limit for good: it counts as served, so it can't be evicted.
func TestUnreadAnswers(t *testing.T) {
	t.Parallel()
	s := New(nil, nil, logtest.Discard())
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp", serve(t, s, 1))
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	requests := bytes.Repeat([]byte("GET /health/live HTTP/1.1\r\nHost: app\r\n\r\n"), 1000)
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(30*time.Second)))
	for err == nil {
		_, err = c.Write(requests)
	}
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is still open")
	require.Eventually(t, func() bool { return s.listener.Load().openConns() == 0 }, 10*time.Second, time.Millisecond)
}

// TestListenerClosedDuringAccept checks that a connection that was accepted, and waits for another to be closed
// when the listener is closed, is still served: its client may have sent a request already.
func TestListenerClosedDuringAccept(t *testing.T) {
	l := listen(t, 1)
	served, _ := connect(t, l)
	require.True(t, served.serve(true))
	far, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = far.Close() }()
	_, err = far.Write([]byte("POST"))
	require.NoError(t, err)
	accepted := make(chan struct{})
	l.Listener = signalingListener{l.Listener, accepted}
	got := make(chan net.Conn, 1)
	go func() {
		c, _ := l.Accept()
		got <- c
	}()
	<-accepted
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

// signalingListener closes a channel when it has accepted a connection.
type signalingListener struct {
	net.Listener
	accepted chan struct{}
}

func (a signalingListener) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err == nil {
		close(a.accepted)
	}
	return c, err
}
