package portreservation

import (
	"net"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// portVariable names the environment variable by which TestReserveInOtherProcess passes a port to the
// process that it starts.
const portVariable = "BASALTLOFT_TEST_RESERVED_PORT"

func reserve(t *testing.T) *Reservation {
	t.Helper()
	r, err := Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { _ = r.Close() }) // a test may have closed it
	return r
}

func dial(t *testing.T, addr string) error {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", addr)
	if err == nil {
		require.NoError(t, conn.Close())
	}
	return err
}

func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // a test may have closed it
	return l
}

func TestReservedPortRefusesConnections(t *testing.T) {
	r := reserve(t)
	require.ErrorIs(t, dial(t, r.Addr()), syscall.ECONNREFUSED)
}

// TestReservingNeverAccepts guards against a reservation that accepts a client's connection in place of the
// program that is to listen on the port. A client dials one port continuously while the port is reserved and
// released many times: it would connect to a listener even if that were open only briefly.
func TestReservingNeverAccepts(t *testing.T) {
	const rounds = 2000
	r := reserve(t)
	require.NoError(t, r.Close())
	done := make(chan error, 1)
	go func() {
		defer close(done)
		for range rounds {
			if err := reserveAndClose(r.port); err != nil {
				done <- err
				return
			}
		}
	}()
	for {
		require.ErrorIs(t, dial(t, r.Addr()), syscall.ECONNREFUSED)
		select {
		case err := <-done:
			require.NoError(t, err)
			return
		default:
		}
	}
}

func reserveAndClose(port int) error {
	r, err := reservePort(port)
	if err != nil {
		return err
	}
	return r.Close()
}

// TestReserveGivesEachPortOnce checks that reservations that exist at the same time have different ports.
func TestReserveGivesEachPortOnce(t *testing.T) {
	const held = 200 // more than processSpread
	addrs := make(map[string]bool)
	for range held {
		addrs[reserve(t).Addr()] = true
	}
	require.Len(t, addrs, held)
}

func TestReservedPortIsReservedOnce(t *testing.T) {
	r := reserve(t)
	_, err := reservePort(r.port)
	require.ErrorIs(t, err, ErrInUse)
	require.NoError(t, r.Close())
	again, err := reservePort(r.port)
	require.NoError(t, err)
	require.NoError(t, again.Close())
}

// TestReserveInOtherProcess checks that another process can't reserve a port that this process has reserved.
func TestReserveInOtherProcess(t *testing.T) {
	if port, err := strconv.Atoi(os.Getenv(portVariable)); err == nil {
		_, err := reservePort(port)
		require.ErrorIs(t, err, ErrInUse)
		return
	}
	r := reserve(t)
	other := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestReserveInOtherProcess$", "-test.v")
	other.Env = append(os.Environ(), portVariable+"="+strconv.Itoa(r.port))
	output, err := other.CombinedOutput()
	require.NoError(t, err, "%s", output)
	require.Contains(t, string(output), "--- PASS: TestReserveInOtherProcess")
}

// TestListenOnReservedPort checks that a program can listen on its reserved port, accept, end and listen
// again, and that no other reservation gets the port meanwhile.
func TestListenOnReservedPort(t *testing.T) {
	r := reserve(t)
	for range 2 {
		l := listen(t, r.Addr())
		require.NoError(t, dial(t, r.Addr()))
		_, err := reservePort(r.port)
		require.ErrorIs(t, err, ErrInUse)
		require.NoError(t, l.Close())
		require.ErrorIs(t, dial(t, r.Addr()), syscall.ECONNREFUSED)
	}
}

func TestListenedPortIsInUse(t *testing.T) {
	r := reserve(t)
	require.NoError(t, r.Close())
	listen(t, r.Addr())
	_, err := reservePort(r.port)
	require.ErrorIs(t, err, ErrInUse)
}

// TestOnlyOneListens checks that only one listener at a time can use a reserved port.
func TestOnlyOneListens(t *testing.T) {
	r := reserve(t)
	listen(t, r.Addr())
	_, err := new(net.ListenConfig).Listen(t.Context(), "tcp", r.Addr())
	require.ErrorIs(t, err, syscall.EADDRINUSE)
}

// TestReserveRangeKeepsEachPort checks that the ports are consecutive, and that no other reservation gets one
// of them.
func TestReserveRangeKeepsEachPort(t *testing.T) {
	const count = 4
	reserved, err := ReserveRange(count)
	require.NoError(t, err)
	require.Len(t, reserved, count)
	for at, reservation := range reserved {
		require.Equal(t, reserved.First()+at, reservation.port)
		_, err := reservePort(reservation.port)
		require.ErrorIs(t, err, ErrInUse)
	}
	require.NoError(t, reserved.Close())
	again, err := reservePort(reserved.First() + count - 1)
	require.NoError(t, err)
	require.NoError(t, again.Close())
}
