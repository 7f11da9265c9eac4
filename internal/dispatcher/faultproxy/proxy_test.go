package faultproxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedProxy is a proxy as a connection of a scenario script: a write sets the fault that it names, and a
// read returns the proxy's counts.
type scriptedProxy struct {
	*Proxy
	until time.Time
}

func (p *scriptedProxy) SetReadDeadline(t time.Time) error { p.until = t; return nil }
func (p *scriptedProxy) Close() error                      { return nil }

func (p *scriptedProxy) Read(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	if time.Now().After(p.until) {
		return 0, errors.New("the expected counts were not reached in time")
	}
	return copy(b, fmt.Sprintf("%+v\n", p.Counts())), nil
}

func (p *scriptedProxy) Write(text []byte) (n int, err error) {
	switch string(text) {
	case "cut":
		err = p.Cut(false)
	case "cut and refuse":
		err = p.Cut(true)
	case "drop forward":
		p.DropOneWay(Forward)
	case "drop backward":
		p.DropOneWay(Backward)
	case "delay":
		p.Delay(40*time.Millisecond, 20*time.Millisecond)
	case "trickle":
		p.LimitRate(200)
	case "reset":
		p.Reset()
	case "refuse":
		err = p.Refuse()
	case "heal":
		err = p.Heal()
	case "replay":
		_, err = p.Replay()
	default:
		err = errors.New("unknown fault")
	}
	return len(text), err
}

// errorTextConn is a connection whose reads return errors as text. Writing "!" to it resets it.
type errorTextConn struct {
	scenario.Conn
	err error
}

func (f *errorTextConn) Read(b []byte) (n int, err error) {
	if err = f.err; err == nil {
		n, err = f.Conn.Read(b)
	}
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	return copy(b, err.Error()), nil
}

func (f *errorTextConn) Write(b []byte) (int, error) {
	if string(b) != "!" {
		return f.Conn.Write(b)
	}
	_ = f.Conn.(*net.TCPConn).SetLinger(0)
	return 1, f.Close()
}

func (f *errorTextConn) SetReadDeadline(t time.Time) error {
	if f.err != nil {
		return nil
	}
	return f.Conn.SetReadDeadline(t)
}

func (f *errorTextConn) Close() error {
	if f.err != nil {
		return nil
	}
	return f.Conn.Close()
}

func TestFaults(t *testing.T) {
	const joined = "a send hello\nb expect ^hello\nb send welcome\na expect ^welcome\n"
	for name, script := range map[string]string{
		"passes bytes and ends": joined + "a close\nb wait",
		"a cut holds both directions, and what was sent arrives after it": joined + `
			link send cut
			a send forth
			b send back
			link expect Passed:\[5 7\] Held:\[5 4\]
			link send heal
			b expect ^forth
			a expect ^back`,
		"new connections are held during a cut": `
			link send cut
			a send hello
			link expect Open:1 Made:1 Passed:\[0 0\]
			link send heal
			b expect ^hello`,
		"a cut may refuse new connections": joined + `
			link send cut and refuse
			a send forth
			link expect Held:\[5 0\]
			a.2 expect connection refused`,
		"accepts connections again after a refusal": "link send refuse\na.0 expect connection refused\nlink send heal\n" + joined,
		"a close is held during a cut":              joined + "link send cut\na send bye\na close\nlink expect Held:\\[3 0\\]\nlink send heal\nb expect ^bye\nb wait",
		"a reset is held during a cut":              joined + "link send cut\na send !\nb send back\nlink expect Held:\\[0 4\\]\nlink send heal\nb expect reset by peer",
		"drops bytes to the target":                 joined + "link send drop forward\na send gone\nb send back\na expect ^back\nlink expect Passed:\\[5 11\\] Held:\\[0 0\\] Lost:\\[4 0\\]",
		"drops bytes to the client":                 joined + "link send drop backward\nb send gone\na send forth\nb expect ^forth\nlink expect Passed:\\[10 7\\] Held:\\[0 0\\] Lost:\\[0 4\\]",
		"resets a connection that has lost bytes":   joined + "link send drop forward\na send gone\nlink expect Lost:\\[4 0\\]\nlink send heal\nb expect ^read.*reset by peer\na expect reset by peer",
		"resets both ends":                          joined + "link send reset\nb expect reset by peer\na expect reset by peer",
		"forwards a reset":                          joined + "b send !\na expect reset by peer",
		"resets the client if the target refuses":   "nowhere expect reset by peer",
		"replays a call": joined + `
			a close
			b wait
			b close
			link expect Open:0
			link send replay
			b.again expect ^hello`,
	} {
		t.Run(name, func(t *testing.T) {
			to, open := scenario.Listen(t)
			p, err := New(to, 1)
			require.NoError(t, err)
			t.Cleanup(p.Close)
			none, err := New("127.0.0.1:1", 1)
			require.NoError(t, err)
			t.Cleanup(none.Close)
			withErrorText := func(open func() (scenario.Conn, error)) func() (scenario.Conn, error) {
				return func() (scenario.Conn, error) {
					c, err := open()
					return &errorTextConn{c, err}, nil
				}
			}
			dial := func(p *Proxy) func() (scenario.Conn, error) {
				return withErrorText(func() (scenario.Conn, error) { return new(net.Dialer).DialContext(t.Context(), "tcp", p.Addr()) })
			}
			scenario.RunScript(t, scenario.Peers{"a": dial(p), "b": withErrorText(open), "nowhere": dial(none),
				"link": func() (scenario.Conn, error) { return &scriptedProxy{Proxy: p}, nil }}, nil, script)
		})
	}
}

// TestPace checks that delayed bytes arrive in their order and not before the delay, and that a limited rate
// takes at least the time that follows from it. Both are lower bounds, which also hold on a slow machine.
func TestPace(t *testing.T) {
	to, open := scenario.Listen(t)
	for fault, least := range map[string]time.Duration{"delay": 40 * time.Millisecond, "trickle": 200 * time.Millisecond} {
		p, err := New(to, 7)
		require.NoError(t, err)
		defer p.Close()
		_, err = (&scriptedProxy{Proxy: p}).Write([]byte(fault))
		require.NoError(t, err)
		a, err := new(net.Dialer).DialContext(t.Context(), "tcp", p.Addr())
		require.NoError(t, err)
		defer func() { _ = a.Close() }()
		began := time.Now()
		for n := range 50 {
			_, err = a.Write([]byte{byte(n)})
			require.NoError(t, err)
		}
		b, err := open()
		require.NoError(t, err)
		defer func() { _ = b.Close() }()
		got := make([]byte, 50)
		_ = b.SetReadDeadline(began.Add(20 * time.Second))
		_, err = io.ReadFull(b, got)
		require.NoError(t, err)
		require.GreaterOrEqual(t, time.Since(began), least, fault)
		for n := range got {
			require.EqualValues(t, n, got[n], fault)
		}
	}
}
