package httpfront

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// served is a connection on which a request is served, as net/http sees it: it looks
// for the client's leaving with a read of one byte.
func served(t *testing.T) (c *limitedConn, far net.Conn, left chan bool) {
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	l := newLimitedListener(nil, 2)
	c, left = &limitedConn{Conn: near, listener: l, since: time.Now()}, make(chan bool, 9)
	l.tryAdd(c)
	require.True(t, c.serve(true))
	require.True(t, c.watchClient(func() { left <- true }))
	return c, far, left
}

// TestReadAhead: what comes while a request is served is kept for the next, to the
// byte, in pieces of any size; the end behind it is told once, and read last.
func TestReadAhead(t *testing.T) {
	c, far, left := served(t)
	sent := "POST /x HTTP/1.1\r\n"
	go func() {
		for _, b := range []byte(sent) {
			_, _ = far.Write([]byte{b})
		}
		_ = far.Close()
	}()
	first := make([]byte, 1)
	n, err := c.Read(first)
	require.NoError(t, err)
	require.Equal(t, 1, n)
	<-left
	c.watchClient(nil)
	require.False(t, c.watchClient(nil), "nothing begins for a client that has gone")
	rest, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, sent, string(first)+string(rest))
	require.Empty(t, left)
}

// TestReadAheadStops: what comes after net/http reads again is read there.
func TestReadAheadStops(t *testing.T) {
	c, far, left := served(t)
	go func() { _, _ = far.Write([]byte("abc")) }()
	b := make([]byte, 1)
	_, err := c.Read(b)
	require.NoError(t, err)
	c.watchClient(nil)
	got := string(b)
	part := make([]byte, 4)
	for len(got) < 3 {
		n, err := c.Read(part)
		require.NoError(t, err)
		got += string(part[:n])
	}
	go func() { _, _ = far.Write([]byte("def")) }()
	for len(got) < 6 {
		n, err := c.Read(part)
		require.NoError(t, err)
		got += string(part[:n])
	}
	require.Equal(t, "abcdef", got)
	require.Nil(t, c.done)
	require.Empty(t, left)
}

// TestReadAheadIsBounded: of one that sends more than a request ahead nothing is kept,
// its leaving is noticed all the same, and its connection ends.
func TestReadAheadIsBounded(t *testing.T) {
	c, far, left := served(t)
	go func() { _, _ = c.Read(make([]byte, 1)) }()
	_, err := far.Write(make([]byte, maxReadAhead+2))
	require.NoError(t, err)
	_, err = far.Write(make([]byte, maxReadAhead))
	require.NoError(t, err)
	require.Empty(t, left)
	_ = far.Close()
	<-left
	c.watchClient(nil)
	require.Empty(t, c.unread)
	_, err = c.Read(make([]byte, 4))
	require.ErrorIs(t, err, errTooMuchAhead)
}

// TestReadAheadOfAll: what lies unread of all connections is bounded, and given back
// as it is read or its connection ends.
func TestReadAheadOfAll(t *testing.T) {
	c, far, _ := served(t)
	go func() { _, _ = c.Read(make([]byte, 1)) }()
	_, err := far.Write(make([]byte, 11))
	require.NoError(t, err)
	_, err = far.Write([]byte("x")) // taken once what came before is kept
	require.NoError(t, err)
	c.stopReadAhead()
	require.Equal(t, 11, c.listener.readAheadBytes)
	_, err = c.Read(make([]byte, 4))
	require.NoError(t, err)
	require.Equal(t, 7, c.listener.readAheadBytes)
	c.listener.readAheadBytes += maxTotalReadAhead - 8
	require.True(t, c.addReadAhead([]byte("y"), nil))
	require.Equal(t, 8, len(c.unread))
	require.True(t, c.addReadAhead([]byte("z"), nil))
	require.Equal(t, maxTotalReadAhead-8, c.listener.readAheadBytes, "its own is given back")
	_, err = c.Read(make([]byte, 4))
	require.ErrorIs(t, err, errTooMuchAhead)

	other := &limitedConn{Conn: far, listener: c.listener, since: time.Now()}
	c.listener.tryAdd(other)
	require.True(t, other.addReadAhead([]byte("12345678"), nil))
	require.Equal(t, maxTotalReadAhead, c.listener.readAheadBytes)
	_ = other.Close()
	require.Equal(t, maxTotalReadAhead-8, c.listener.readAheadBytes)
}

// TestServedIsNotClosed: net/http takes a connection for idle, a request comes on it,
// and only then it is closed: its answer still goes out.
func TestServedIsNotClosed(t *testing.T) {
	c, far, _ := served(t)
	require.NoError(t, c.Close())
	go func() { _, _ = c.Write([]byte("answer")) }()
	b := make([]byte, 6)
	_, err := io.ReadFull(far, b)
	require.NoError(t, err)
	require.Equal(t, "answer", string(b))
	c.watchClient(nil)
	require.Equal(t, 1, c.listener.openConns())
	require.NoError(t, c.Close())
	require.Equal(t, 0, c.listener.openConns())
	_, err = far.Read(b)
	require.ErrorIs(t, err, io.EOF)
}
