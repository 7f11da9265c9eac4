package httpfront

import (
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReadAheadWaits: what was read ahead waits like what lies in the system, until
// the server reads it, and a look for a victim in between takes no byte out of turn.
func TestReadAheadWaits(t *testing.T) {
	l := listening(t, 1)
	c, far := arrive(t, l)
	require.True(t, c.serve(true))
	require.True(t, c.watchClient(func() {}))
	_, err := far.Write([]byte("a"))
	require.NoError(t, err)
	b := make([]byte, 1)
	_, err = c.Read(b)
	require.NoError(t, err)
	c.watchClient(nil)
	l.connState(c, http.StateIdle)
	require.True(t, waits(c)(), "somebody reads ahead")
	_, err = far.Write([]byte("bcd"))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		victim, _ := l.look()
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
	require.False(t, waits(c)())
	victim, _ := l.look()
	require.Same(t, c, victim)
	require.NoError(t, c.Close())
	require.Zero(t, l.readAheadBytes)
}

// TestCloseIdleCrossesBytes: resting connections end as a request lies unread in the system:
// it is read. Where nothing has come, the time is over, also for a read that began before.
func TestCloseIdleCrossesBytes(t *testing.T) {
	l := listening(t, 1)
	c, far := arrive(t, l)
	c.rest()
	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 4))
		ended <- err
	}()
	l.closeIdle()
	require.ErrorIs(t, <-ended, os.ErrDeadlineExceeded)
	_, err := far.Write([]byte("POST"))
	require.NoError(t, err)
	require.Eventually(t, waits(c), 10*time.Second, time.Millisecond)
	c.rest()
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

// TestEndSurvivesReadAhead: the end of halves comes while somebody reads ahead, whose
// stop sets the read deadline anew: the connection is to be ended still.
func TestEndSurvivesReadAhead(t *testing.T) {
	l := listening(t, 1)
	c, far := arrive(t, l)
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

// TestShortOnce: a request that was answered early and then read to its end is over:
// the end of its connection later on takes nothing of what may follow.
func TestShortOnce(t *testing.T) {
	l := listening(t, 1)
	c, _ := arrive(t, l)
	_, err := c.Write([]byte("answer"))
	require.NoError(t, err)
	require.True(t, c.answeredEarly)
	l.connState(c, http.StateIdle)
	require.False(t, c.answeredEarly)
}

// TestServedIsNotCut: the end of halves comes as a request has become whole, and the look
// whether its client leaves begins once it is served.
func TestServedIsNotCut(t *testing.T) {
	l := listening(t, 1)
	c, far := arrive(t, l)
	l.closePartial()
	require.NoError(t, c.SetReadDeadline(time.Time{}), "as net/http does before it looks")
	require.True(t, c.serve(true))
	looked := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		looked <- err
	}()
	select {
	case err := <-looked:
		t.Fatal("the look has failed:", err)
	case <-time.After(20 * time.Millisecond):
	}
	_, err := far.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, <-looked)
}

// TestWholeIsNotCut: the end of halves comes as a request has become whole and net/http
// looks whether its client leaves, before or after that look has begun, and before the
// request is served: the look goes on, or its failing would call the request off.
func TestWholeIsNotCut(t *testing.T) {
	for name, before := range map[string]bool{"before": true, "after": false} {
		t.Run(name, func(t *testing.T) {
			l := listening(t, 1)
			c, far := arrive(t, l)
			if before {
				l.closePartial()
			}
			looked := make(chan error, 1)
			go func() {
				_, err := c.Read(make([]byte, 1))
				looked <- err
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
			require.NoError(t, <-looked)
		})
	}
}
