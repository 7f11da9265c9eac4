package httpfront

import (
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReadAheadCountsAsUnread checks that bytes that were read ahead count as unread, like bytes in the socket's
// buffer, until the server reads them, and that a search for a victim in between keeps them in order.
func TestReadAheadCountsAsUnread(t *testing.T) {
	l := listen(t, 1)
	c, far := connect(t, l)
	require.True(t, c.serve(true))
	require.True(t, c.watchClient(func() {}))
	_, err := far.Write([]byte("a"))
	require.NoError(t, err)
	b := make([]byte, 1)
	_, err = c.Read(b)
	require.NoError(t, err)
	c.watchClient(nil)
	l.connState(c, http.StateIdle)
	require.True(t, hasUnreadBytes(c)(), "a goroutine reads ahead")
	_, err = far.Write([]byte("bcd"))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		victim, _ := l.searchVictim()
		require.Nil(t, victim)
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(c.unread) == 3
	}, 10*time.Second, time.Millisecond)
	got := string(b)
	for len(got) < 4 {
		part := make([]byte, 2)
		n, err := c.Read(part)
		require.NoError(t, err)
		got += string(part[:n])
	}
	require.Equal(t, "abcd", got)
	require.False(t, hasUnreadBytes(c)())
	victim, _ := l.searchVictim()
	require.Same(t, c, victim)
	require.NoError(t, c.Close())
	require.Zero(t, l.readAheadBytes)
}

// TestCloseIdleWithUnreadBytes checks that a request that is unread in the socket's buffer when idle connections
// are closed is still read. If nothing has arrived, a Read fails with a timeout, even if it began before.
func TestCloseIdleWithUnreadBytes(t *testing.T) {
	l := listen(t, 1)
	c, far := connect(t, l)
	c.makeIdle()
	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 4))
		ended <- err
	}()
	l.closeIdle()
	require.ErrorIs(t, <-ended, os.ErrDeadlineExceeded)
	_, err := far.Write([]byte("POST"))
	require.NoError(t, err)
	require.Eventually(t, hasUnreadBytes(c), 10*time.Second, time.Millisecond)
	c.makeIdle()
	require.NoError(t, c.SetReadDeadline(time.Time{}), "as net/http sets it for the next request")
	var got []byte
	require.Eventually(t, func() bool {
		b := make([]byte, 4)
		n, _ := c.Read(b)
		got = append(got, b[:n]...)
		return string(got) == "POST"
	}, 10*time.Second, time.Millisecond)
	l.mu.Lock()
	require.Same(t, &l.fresh, c.class, "its request has begun")
	l.mu.Unlock()
}

// TestClosePartialDuringReadAhead checks that a connection with an incomplete request is still closed if
// closePartial is called while a goroutine reads ahead; stopping that goroutine sets the read deadline again.
func TestClosePartialDuringReadAhead(t *testing.T) {
	l := listen(t, 1)
	c, far := connect(t, l)
	require.True(t, c.serve(true))
	_, err := far.Write([]byte("a"))
	require.NoError(t, err)
	_, err = c.Read(make([]byte, 1))
	require.NoError(t, err)
	l.connState(c, http.StateIdle)
	l.closePartial()
	c.stopReadAhead()
	_, err = c.Conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// TestAnsweredEarlyIsCleared checks that answeredEarly is cleared once a request that was answered early has been
// read to its end: a later close must not read bytes of a following request.
func TestAnsweredEarlyIsCleared(t *testing.T) {
	l := listen(t, 1)
	c, _ := connect(t, l)
	_, err := c.Write([]byte("answer"))
	require.NoError(t, err)
	require.True(t, c.answeredEarly)
	l.connState(c, http.StateIdle)
	require.False(t, c.answeredEarly)
}

// TestServedRequestIsNotAborted checks that closePartial does not abort a request that has become complete: the
// background read of net/http, which starts here once the request is served, must not fail.
func TestServedRequestIsNotAborted(t *testing.T) {
	l := listen(t, 1)
	c, far := connect(t, l)
	l.closePartial()
	require.NoError(t, c.SetReadDeadline(time.Time{}), "as net/http does before its background read")
	require.True(t, c.serve(true))
	readEnded := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		readEnded <- err
	}()
	select {
	case err := <-readEnded:
		t.Fatal("the background read has failed:", err)
	case <-time.After(20 * time.Millisecond):
	}
	_, err := far.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, <-readEnded)
}

// TestCompleteRequestIsNotAborted checks that closePartial does not abort a request that is complete but not yet
// served, whether it is called before or after the background read of net/http has begun. That read must go on:
// its failure would cancel the request.
func TestCompleteRequestIsNotAborted(t *testing.T) {
	for name, before := range map[string]bool{"before": true, "after": false} {
		t.Run(name, func(t *testing.T) {
			l := listen(t, 1)
			c, far := connect(t, l)
			if before {
				l.closePartial()
			}
			readEnded := make(chan error, 1)
			go func() {
				_, err := c.Read(make([]byte, 1))
				readEnded <- err
			}()
			require.Eventually(t, func() bool {
				l.mu.Lock()
				defer l.mu.Unlock()
				return c.backgroundRead
			}, 10*time.Second, time.Millisecond)
			if !before {
				l.closePartial()
			}
			require.True(t, c.serve(true))
			require.NoError(t, c.SetReadDeadline(time.Time{}))
			_, err := far.Write([]byte("x"))
			require.NoError(t, err)
			require.NoError(t, <-readEnded)
		})
	}
}
