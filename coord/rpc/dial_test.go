package rpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestLaterDialAttemptSucceeds checks that a second attempt connects while the first one gets no reply,
// as from a machine that was disconnected from the network when the first attempt started.
func TestLaterDialAttemptSucceeds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	attempts := make(chan int, 2)
	attempts <- 1
	attempts <- 2
	local, remote := net.Pipe()
	defer func() { require.NoError(t, remote.Close()) }()
	conn, err := dialEvery(ctx, func() (net.Conn, error) {
		if <-attempts == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return local, nil
	}, time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, local, conn)
}

func TestRefusedDialFails(t *testing.T) {
	refused := errors.New("refused")
	_, err := dialEvery(t.Context(), func() (net.Conn, error) { return nil, refused }, time.Hour)
	require.ErrorIs(t, err, refused)
}

// TestLateConnectionIsClosed checks that the second connection is closed when two attempts succeed.
func TestLateConnectionIsClosed(t *testing.T) {
	late, latePeer := net.Pipe()
	first, firstPeer := net.Pipe()
	defer func() { require.NoError(t, firstPeer.Close()) }()
	release, attempts := make(chan struct{}), make(chan int, 2)
	attempts <- 1
	attempts <- 2
	conn, err := dialEvery(t.Context(), func() (net.Conn, error) {
		if <-attempts == 1 {
			<-release
			return late, nil
		}
		return first, nil
	}, time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, first, conn)
	close(release)
	_, err = latePeer.Read(make([]byte, 1))
	require.Error(t, err, "the late connection was closed")
}
