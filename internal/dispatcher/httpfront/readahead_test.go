package httpfront

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// servedConn returns a connection on which a request is served, and the client's end of it. A value is sent to
// left when the client's disconnect cancels the request. The tests read one byte from c, as net/http does.
func servedConn(t *testing.T) (c *limitedConn, far net.Conn, left chan bool) {
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	l := newLimitedListener(nil, 2)
	c, left = &limitedConn{Conn: near, listener: l, since: time.Now()}, make(chan bool, 9)
	l.tryAdd(c)
	require.True(t, c.serve(true))
	require.True(t, c.watchClient(func() { left <- true }))
	return c, far, left
}

// TestReadAhead checks that all bytes that come while a request is served, in pieces of any size, are kept for the
// next request. The end of the connection after them cancels the request once, and is read last.
func TestReadAhead(t *testing.T) {
	c, far, left := servedConn(t)
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
	require.False(t, c.watchClient(nil), "no request is served for a client that has disconnected")
	rest, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, sent, string(first)+string(rest))
	require.Empty(t, left)
}

// TestReadAheadStops checks that bytes that come after net/http reads again are not read ahead.
func TestReadAheadStops(t *testing.T) {
	c, far, left := servedConn(t)
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

// TestReadAheadIsBounded checks that no bytes are kept of a client that sends more than one request ahead, that its
// disconnect is still detected, and that later reads of its connection fail.
func TestReadAheadIsBounded(t *testing.T) {
	c, far, left := servedConn(t)
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

// TestTotalReadAheadIsBounded checks the limit of the bytes read ahead on all connections. Bytes no longer count
// once they are read or their connection is closed.
func TestTotalReadAheadIsBounded(t *testing.T) {
	c, far, _ := servedConn(t)
	go func() { _, _ = c.Read(make([]byte, 1)) }()
	_, err := far.Write(make([]byte, 11))
	require.NoError(t, err)
	_, err = far.Write([]byte("x")) // is read only after the bytes before it have been stored
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
	require.Equal(t, maxTotalReadAhead-8, c.listener.readAheadBytes, "the bytes of the connection no longer count")
	_, err = c.Read(make([]byte, 4))
	require.ErrorIs(t, err, errTooMuchAhead)

	other := &limitedConn{Conn: far, listener: c.listener, since: time.Now()}
	c.listener.tryAdd(other)
	require.True(t, other.addReadAhead([]byte("12345678"), nil))
	require.Equal(t, maxTotalReadAhead, c.listener.readAheadBytes)
	_ = other.Close()
	require.Equal(t, maxTotalReadAhead-8, c.listener.readAheadBytes)
}

// TestServedConnIsNotClosed checks that a request is still answered if net/http considers its connection idle and
// closes it only after the request has come.
func TestServedConnIsNotClosed(t *testing.T) {
	c, far, _ := servedConn(t)
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
