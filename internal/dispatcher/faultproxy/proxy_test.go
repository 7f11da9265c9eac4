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

// hand is a link as an actor: what is sent to it are faults, and what is read
// from it is its counts, until one matches.
type hand struct {
	*Proxy
	until time.Time
}

func (h *hand) SetReadDeadline(t time.Time) error { h.until = t; return nil }
func (h *hand) Close() error                      { return nil }

func (h *hand) Read(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	if time.Now().After(h.until) {
		return 0, errors.New("it never came to that")
	}
	return copy(b, fmt.Sprintf("%+v\n", h.Counts())), nil
}

func (h *hand) Write(text []byte) (n int, err error) {
	switch string(text) {
	case "cut":
		err = h.Cut(false)
	case "cut and refuse":
		err = h.Cut(true)
	case "lose forth":
		h.DropOneWay(Forward)
	case "lose back":
		h.DropOneWay(Backward)
	case "delay":
		h.Delay(40*time.Millisecond, 20*time.Millisecond)
	case "trickle":
		h.LimitRate(200)
	case "reset":
		h.Reset()
	case "refuse":
		err = h.Refuse()
	case "heal":
		err = h.Heal()
	case "replay":
		_, err = h.Replay()
	default:
		err = errors.New("no such fault")
	}
	return len(text), err
}

// frank is a connection that tells its errors as text. Told "!", it resets.
type frank struct {
	scenario.Conn
	err error
}

func (f *frank) Read(b []byte) (n int, err error) {
	if err = f.err; err == nil {
		n, err = f.Conn.Read(b)
	}
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	return copy(b, err.Error()), nil
}

func (f *frank) Write(b []byte) (int, error) {
	if string(b) != "!" {
		return f.Conn.Write(b)
	}
	_ = f.Conn.(*net.TCPConn).SetLinger(0)
	return 1, f.Close()
}

func (f *frank) SetReadDeadline(t time.Time) error {
	if f.err != nil {
		return nil
	}
	return f.Conn.SetReadDeadline(t)
}

func (f *frank) Close() error {
	if f.err != nil {
		return nil
	}
	return f.Conn.Close()
}

func TestFaults(t *testing.T) {
	const joined = "a send hello\nb expect ^hello\nb send welcome\na expect ^welcome\n"
	for name, script := range map[string]string{
		"passes bytes and ends": joined + "a close\nb wait",
		"a cut holds both ways, and what was sent comes late": joined + `
			link send cut
			a send forth
			b send back
			link expect Passed:\[5 7\] Held:\[5 4\]
			link send heal
			b expect ^forth
			a expect ^back`,
		"a cut's new connections are silent": `
			link send cut
			a send hello
			link expect Open:1 Made:1 Passed:\[0 0\]
			link send heal
			b expect ^hello`,
		"a cut may refuse": joined + `
			link send cut and refuse
			a send forth
			link expect Held:\[5 0\]
			a.2 expect connection refused`,
		"heals a refusal":        "link send refuse\na.0 expect connection refused\nlink send heal\n" + joined,
		"an end waits in a cut":  joined + "link send cut\na send bye\na close\nlink expect Held:\\[3 0\\]\nlink send heal\nb expect ^bye\nb wait",
		"a reset waits in a cut": joined + "link send cut\na send !\nb send back\nlink expect Held:\\[0 4\\]\nlink send heal\nb expect reset by peer",
		"loses what goes forth":  joined + "link send lose forth\na send gone\nb send back\na expect ^back\nlink expect Passed:\\[5 11\\] Held:\\[0 0\\] Lost:\\[4 0\\]",
		"loses what comes back":  joined + "link send lose back\nb send gone\na send forth\nb expect ^forth\nlink expect Passed:\\[10 7\\] Held:\\[0 0\\] Lost:\\[0 4\\]",
		"never bridges a hole":   joined + "link send lose forth\na send gone\nlink expect Lost:\\[4 0\\]\nlink send heal\nb expect ^read.*reset by peer\na expect reset by peer",
		"resets both ends":       joined + "link send reset\nb expect reset by peer\na expect reset by peer",
		"passes a reset on":      joined + "b send !\na expect reset by peer",
		"nobody is there":        "nowhere expect reset by peer",
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
			l, err := New(to, 1)
			require.NoError(t, err)
			t.Cleanup(l.Close)
			none, err := New("127.0.0.1:1", 1)
			require.NoError(t, err)
			t.Cleanup(none.Close)
			tells := func(open func() (scenario.Conn, error)) func() (scenario.Conn, error) {
				return func() (scenario.Conn, error) {
					c, err := open()
					return &frank{c, err}, nil
				}
			}
			dial := func(l *Proxy) func() (scenario.Conn, error) {
				return tells(func() (scenario.Conn, error) { return new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr()) })
			}
			scenario.RunScript(t, scenario.Peers{"a": dial(l), "b": tells(open), "nowhere": dial(none),
				"link": func() (scenario.Conn, error) { return &hand{Proxy: l}, nil }}, nil, script)
		})
	}
}

// TestPace: late bytes come in their order and not before their time, and a
// trickle takes as long as its rate says. Both are lower bounds: a slow machine
// makes them no less true.
func TestPace(t *testing.T) {
	to, open := scenario.Listen(t)
	for fault, least := range map[string]time.Duration{"delay": 40 * time.Millisecond, "trickle": 200 * time.Millisecond} {
		l, err := New(to, 7)
		require.NoError(t, err)
		defer l.Close()
		_, err = (&hand{Proxy: l}).Write([]byte(fault))
		require.NoError(t, err)
		a, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr())
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
