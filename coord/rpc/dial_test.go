package rpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestLaterDialAttemptSucceeds: the first attempt never has an outcome, as to a machine that was off
// the network; the second one connects.
func TestLaterDialAttemptSucceeds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	begun := make(chan int, 2)
	begun <- 1
	begun <- 2
	here, there := net.Pipe()
	defer func() { require.NoError(t, there.Close()) }()
	conn, err := dialEvery(ctx, func() (net.Conn, error) {
		if <-begun == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return here, nil
	}, time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, here, conn)
}

func TestRefusedDialFails(t *testing.T) {
	refused := errors.New("refused")
	_, err := dialEvery(t.Context(), func() (net.Conn, error) { return nil, refused }, time.Hour)
	require.ErrorIs(t, err, refused)
}

// TestLateConnectionIsClosed: of two attempts that succeed one connection is kept.
func TestLateConnectionIsClosed(t *testing.T) {
	late, other := net.Pipe()
	first, peer := net.Pipe()
	defer func() { require.NoError(t, peer.Close()) }()
	release, begun := make(chan struct{}), make(chan int, 2)
	begun <- 1
	begun <- 2
	conn, err := dialEvery(t.Context(), func() (net.Conn, error) {
		if <-begun == 1 {
			<-release
			return late, nil
		}
		return first, nil
	}, time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, first, conn)
	close(release)
	_, err = other.Read(make([]byte, 1))
	require.Error(t, err, "the late connection was closed")
}
