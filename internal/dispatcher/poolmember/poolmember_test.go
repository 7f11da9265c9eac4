package poolmember

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// driver is an actor that starts a flow for each line "ID BYTES" that it is
// sent, or a probe for "probe", asks one back for "recall ID", says for "release ID"
// that its end was told otherwise, and tells how each ends.
type driver struct {
	net.Conn
	carrier *Transport
}

func (d *driver) EndFlow(f *engine.Flow, s policy.Status, _ []byte) {
	_, _ = fmt.Fprintf(d.Conn, "%s %d\n", f.Transaction.ID, s)
}

func (d *driver) EndFlowWithLoad(f *engine.Flow, s policy.Status, load policy.Report) {
	_, _ = fmt.Fprintf(d.Conn, "%s %d%s\n", f.Transaction.ID, s, told(load))
}

func (d *driver) EndProbe(_ *engine.Member, s policy.Status, r policy.Report, _ time.Time) {
	_, _ = fmt.Fprintf(d.Conn, "probe %d%s\n", s, told(r))
}

// told is what a report holds of free slots and memory, for a scenario to read.
func told(r policy.Report) string {
	text := ""
	if r.Has&policy.HasX0 != 0 {
		text += fmt.Sprintf(" x0=%g", r.X0)
	}
	if r.Has&policy.HasX1 != 0 {
		text += fmt.Sprintf(" x1=%g", r.X1)
	}
	return text
}

func drive(addr string, most int, settle ...time.Duration) func() (scenario.Conn, error) {
	return driveWith(addr, Options{ConnectTimeout: time.Second, MaxSubmissions: most, LastByteDelay: append(settle, 0)[0]})
}

func driveWith(addr string, figures Options, change ...func(*Transport)) func() (scenario.Conn, error) {
	most := figures.MaxSubmissions
	return func() (scenario.Conn, error) {
		near, far := net.Pipe()
		d := &driver{Conn: far}
		d.carrier = New(d, figures)
		for _, of := range change {
			of(d.carrier)
		}
		go func() {
			flows := make(map[string]*engine.Flow)
			for in := bufio.NewScanner(far); in.Scan(); {
				id, size, _ := strings.Cut(in.Text(), " ")
				n, _ := strconv.Atoi(size)
				m := &engine.Member{Addr: addr}
				switch id {
				case "probe":
					d.carrier.Probe(m)
					continue
				case "recall":
					d.carrier.Recall(flows[size])
					continue
				case "release":
					d.carrier.EndedOutOfBand(flows[size])
					continue
				}
				f := &engine.Flow{
					Transaction: &engine.Transaction{ID: id, Class: "group-ticket", Key: "k", Body: []byte(strings.Repeat("b", n))},
					Member:      m, SentAt: time.Now(), Deadline: time.Now().Add(time.Minute),
				}
				switch id {
				case "stale":
					f.LatestSend = time.Now()
				case "late":
					f.SentAt = f.SentAt.Add(-firstByteWithin)
				}
				if flows[id] = f; most == 0 {
					go d.carrier.Start(f) // ends before it returns
					continue
				}
				d.carrier.Start(f)
			}
		}()
		return near, nil
	}
}

// TestOutcomes: whether a broken attempt may have run decides whether a ticket
// may be sent again, so each way to break must be told right.
//
//nolint:funlen // a table of cases, each a few lines
func TestOutcomes(t *testing.T) {
	const empty = `\r\nContent-Length: 0\r\n\r\n`
	for name, script := range map[string]string{
		"breaks after the whole request": `
			flow send t-1 4\n
			r expect POST /group-ticket HTTP.*\r\n\r\nbbbb
			r close
			flow expect ^t-1 5\n`,
		"breaks before the last byte": `
			flow send t-1 33554432\n
			r expect POST /group-ticket HTTP
			r close
			flow expect ^t-1 7\n`,
		// The last byte was kept back, so that this one can't have run.
		"breaks while the request comes": `
			slow send t-1 4\n
			r expect ^POST /group-ticket HTTP.*\r\n\r\nbbb$
			r close
			slow expect ^t-1 7\n
			slow send t-2 0\n
			r.next expect ^POST /group-ticket HTTP.*\r\nContent-Length: 0\r\n.*\r\n\r$
			r.next close
			slow expect ^t-2 7\n`,
		// Its 202 may be on the way when the connection is closed: the job goes
		// elsewhere only once the member has heard the DELETE too.
		"is asked back before it answers": `
			flow send t-1 4\n
			r expect bbbb
			flow send recall t-1\n
			r send HTTP/1.1 202 x` + empty + `
			r wait
			r.next expect ^DELETE /jobs/t-1 HTTP
			r.next send HTTP/1.1 204 x\r\n\r\n
			flow expect ^t-1 6\n`,
		"is asked back before it has all": `
			slow send t-1 4\n
			r expect bbb$
			slow send recall t-1\n
			slow expect ^t-1 7\n`,
		"refuses the connection": `
			nobody send t-1 4\nprobe\n
			nobody expect ^(t-1 4\nprobe 4\n|probe 4\nt-1 4\n)`,
		"has no descriptor to spare": `
			none send t-1 4\n
			none expect ^t-1 7\n`,
		"turns away": `
			flow send t-1 4\n
			r expect bbbb
			r send HTTP/1.1 504 x\r\nX-Rejected: 1` + empty + `
			flow expect ^t-1 2\n`,
		"is unavailable, and may have run it": `
			flow send t-1 4\n
			r expect bbbb
			r send HTTP/1.1 503 x` + empty + `
			flow expect ^t-1 1\n`,
		"points elsewhere, where nobody follows": `
			flow send t-1 4\n
			r expect bbbb
			r send HTTP/1.1 307 x\r\nLocation: /other` + empty + `
			flow expect ^t-1 1\n`,
		"answers probes": `
			flow send probe\n
			r expect GET /health/live HTTP/1.1
			r send HTTP/1.1 200 x` + empty + `
			flow expect ^probe 0\n
			flow send probe\n
			r.next expect GET /health/live HTTP/1.1
			r.next close
			flow expect ^probe 5\n`,
		// A kept connection may lead nowhere, which shows only once a request was
		// written to it and may have run. http.Transport would also send such a one
		// again by itself. The next thing that the member sees is the next job.
		"has a connection for each": `
			flow send t-1 4\n
			r expect ^POST.*Connection: close\r\n.*bbbb
			r send HTTP/1.1 500 x` + empty + `
			flow expect ^t-1 1\n
			r wait
			flow send t-2 0\n
			r.next expect Content-Length: 0\r\n.*X-Call-Id: t-2\r\n.*\r\n\r\n
			r.next close
			flow expect ^t-2 5\n
			flow send t-3 0\n
			r.third expect ^POST[^\n]*\n.*Content-Length: 0\r\n.*X-Call-Id: (?P<id>[^\r]*)\r\n.*\r\n\r\n
			r.third send HTTP/1.1 500 x` + empty + `
			flow expect ^$id 1\n$`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, open := scenario.Listen(t)
			scenario.RunScript(t, scenario.Peers{
				"r": open, "flow": drive(addr, 4), "none": drive(addr, 0), "slow": drive(addr, 4, time.Second), "nobody": drive(refusing(t), 4),
			}, nil, script)
		})
	}
}

// TestProbesAreBounded: without a descriptor to spare a probe never reaches its
// member. The first connection that the member sees is the second probe's.
func TestProbesAreBounded(t *testing.T) {
	addr, open := scenario.Listen(t)
	c := New(nil, Options{ConnectTimeout: time.Second, MaxSubmissions: 2})
	c.controlSlots <- struct{}{}
	s, _ := c.probe(&engine.Member{Addr: addr}, time.Now().Add(20*time.Millisecond))
	require.Equal(t, policy.TimedOut, s)
	require.False(t, c.delete(&engine.Flow{Member: &engine.Member{Addr: addr}, Transaction: &engine.Transaction{ID: "t-1"}}, time.Now().Add(20*time.Millisecond)))
	<-c.controlSlots
	done := make(chan policy.Status)
	go func() {
		s, _ := c.probe(&engine.Member{Addr: addr}, time.Now().Add(time.Minute))
		done <- s
	}()
	scenario.RunScript(t, scenario.Peers{"r": open}, nil, `
		r expect ^GET /health/live
		r send HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n`)
	require.Equal(t, policy.OK, <-done)
}

// TestOwnLatenessIsNotTheMembers: a dial whose end is noticed late has its time
// again; one that is noticed in time has failed.
func TestOwnLatenessIsNotTheMembers(t *testing.T) {
	begin := time.Now()
	for name, late := range map[string][]time.Duration{
		"in time":       {0},
		"a little late": {time.Millisecond},
		"late once":     {time.Second, 0},
		"late twice":    {time.Second, 20 * time.Millisecond, 0},
		// The last moment, 3 s, comes before the fourth end: that is not put off.
		"late for long": {time.Second, time.Second, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			asked, clock := 0, begin
			now := func() time.Time { // the first call is the dial's begin, each other an end
				if asked++; asked > 1 {
					clock = clock.Add(10*time.Millisecond + late[asked-2])
				}
				return clock
			}
			ended := make(chan int)
			stop := extendLateDial(begin.Add(10*time.Millisecond), begin.Add(3*time.Second), now, func() { ended <- asked - 1 })
			require.Equal(t, len(late), <-ended)
			stop()
		})
	}
}

// pieces takes what is written, and tells of each write but a kept-back byte.
type pieces struct {
	net.Conn
	got []byte
}

func (p *pieces) Write(b []byte) (int, error)      { p.got = append(p.got, b...); return len(b), nil }
func (p *pieces) Close() error                     { return nil }
func (p *pieces) SetWriteDeadline(time.Time) error { return nil }

// TestLastByte: however a request is cut into writes, it may have been sent whole
// exactly once its last byte was written, and until then it has not.
func TestLastByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := strings.Repeat(rapid.SampledFrom([]string{"b", "\r\n\r\n", "\r"}).Draw(t, "of"), rapid.IntRange(0, 50).Draw(t, "times"))
		text := "POST /x HTTP/1.1\r\nA: \r\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		to := &pieces{}
		c := &conn{Conn: to, closed: make(chan struct{})}
		c.setBodySize(len(body))
		for at := 0; at < len(text); {
			require.False(t, c.whole, "before byte %d of %d", at, len(text))
			size := rapid.IntRange(1, len(text)-at).Draw(t, "size")
			n, err := c.Write([]byte(text[at : at+size]))
			require.NoError(t, err)
			require.Equal(t, size, n)
			at += size
		}
		require.True(t, c.mayHaveSent())
		require.Equal(t, text, string(to.got))
	})
}

// TestClosedIsNotSent: what is closed before its last byte's time never sends it.
func TestClosedIsNotSent(t *testing.T) {
	to := &pieces{}
	c := &conn{Conn: to, lastByteDelay: time.Hour, closed: make(chan struct{})}
	c.setBodySize(2)
	_ = c.Close()
	n, err := c.Write([]byte("POST /x HTTP/1.1\r\n\r\nbb"))
	require.ErrorIs(t, err, net.ErrClosed)
	require.Equal(t, len(to.got), n)
	require.Equal(t, "POST /x HTTP/1.1\r\n\r\nb", string(to.got))
	require.False(t, c.mayHaveSent())
}

// TestStaleIsNotSent: the repeat of a key is not completed once the members may have
// forgotten it, however long its connection or this process took; it is told as
// never sent.
func TestStaleIsNotSent(t *testing.T) {
	for name, left := range map[string]time.Duration{"in time": time.Hour, "too late": 0} {
		t.Run(name, func(t *testing.T) {
			to := &pieces{}
			c := &conn{Conn: to, closed: make(chan struct{})}
			c.setBodySize(2)
			c.setLimits(time.Time{}, time.Now().Add(left))
			_, err := c.Write([]byte("POST /x HTTP/1.1\r\n\r\nbb"))
			require.Equal(t, left == 0, errors.Is(err, errStale))
			require.Equal(t, left != 0, strings.HasSuffix(string(to.got), "bb"))
			require.Equal(t, left != 0, c.mayHaveSent())
		})
	}
	addr, open := scenario.Listen(t)
	scenario.RunScript(t, scenario.Peers{"r": open, "flow": drive(addr, 4)}, nil, `
		flow send stale 4\n
		r expect ^POST /group-ticket HTTP.*\r\n\r\nbbb$
		r wait
		flow expect ^stale 7\n
		flow send t-2 4\n
		r.next expect ^POST .*\r\n\r\nbbbb$`)
}

// TestReportsAreRead: where members report their load, the answer that ends a
// flow carries it in X-Load-Report and a probe asks /stats, whose body is the
// report; either reaches the engine. A report that can't be read is left out and
// the outcome stands. Elsewhere a probe asks /health/live and reads no body.
func TestReportsAreRead(t *testing.T) {
	addr, open := scenario.Listen(t)
	stats := driveWith(addr, Options{ConnectTimeout: time.Second, MaxSubmissions: 4, ProbeStats: true})
	scenario.RunScript(t, scenario.Peers{"r": open, "flow": stats, "plain": drive(addr, 4)}, nil, `
		flow.1 send a 0\n
		r.1 expect ^POST
		r.1 send HTTP/1.1 503 x\r\nX-Rejected: 1\r\nX-Load-Report: TEXT qps=40, inflight=3, x0=0, x1=512\r\nContent-Length: 0\r\n\r\n
		flow.1 expect ^a 2 x0=0 x1=512\n$
		flow.1 send b 0\n
		r.2 expect ^POST
		r.2 send HTTP/1.1 503 x\r\nX-Rejected: 1\r\nX-Load-Report: TEXT x0=lots\r\nContent-Length: 0\r\n\r\n
		flow.1 expect ^b 2\n$
		flow.1 send probe\n
		r.3 expect ^GET /stats HTTP/1.1\r\n
		r.3 send HTTP/1.1 200 x\r\nContent-Length: 15\r\n\r\nTEXT x0=2 x1=64
		flow.1 expect ^probe 0 x0=2 x1=64\n$
		flow.1 send probe\n
		r.4 expect ^GET /stats HTTP/1.1\r\n
		r.4 send HTTP/1.1 503 x\r\nContent-Length: 17\r\n\r\n{"x0":0,"x1":128}
		flow.1 expect ^probe 1 x0=0 x1=128\n$
		plain.1 send probe\n
		r.5 expect ^GET /health/live HTTP/1.1\r\n
		r.5 send HTTP/1.1 200 x\r\nContent-Length: 15\r\n\r\nTEXT x0=2 x1=64
		plain.1 expect ^probe 0\n$`)
}

// TestAnswers: an answer counts by its header, whatever becomes of the rest of it, and
// what is no answer in so many bytes counts as a break of the connection.
//
//nolint:funlen // a table of cases, each a few lines
func TestAnswers(t *testing.T) {
	words := scenario.Functions{"much": func(a ...string) string { return strings.Repeat(a[0], maxReplyBytes/len(a[0])+8<<10) }}
	for name, script := range map[string]string{
		// It is told by DELETE, which shows that its 202 counted.
		"takes it, in an answer that never ends": `
			flow send t-1 4\n
			r expect bbbb
			r send HTTP/1.1 202 x\r\nContent-Length: 100\r\n\r\nabc
			r wait
			flow send recall t-1\n
			r.next expect ^DELETE /jobs/t-1 HTTP
			r.next send HTTP/1.1 204 x\r\n\r\n
			flow expect ^t-1 6\n`,
		"takes it, in chunks that are cut": `
			flow send t-1 4\n
			r expect bbbb
			r send HTTP/1.1 202 x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab
			r close
			flow send recall t-1\n
			r.next expect ^DELETE /jobs/t-1 HTTP
			r.next send HTTP/1.1 204 x\r\n\r\n
			flow expect ^t-1 6\n`,
		"fails, in an answer that never ends": `
			flow send t-1 4\n
			r expect bbbb
			r send HTTP/1.1 500 x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab
			flow expect ^t-1 1\n
			r wait`,
		"turns away, in an answer that never ends": `
			flow send t-1 4\n
			r expect bbbb
			r send HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 9\r\n\r\n
			flow expect ^t-1 2\n
			r wait`,
		"answers twice": `
			flow send t-1 4\n
			r expect bbbb
			r send HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n
			flow expect ^t-1 2\n
			r wait
			flow send t-2 4\n
			r.next expect bbbb
			r.next send HTTP/1.1 502 x\r\n\r\n
			flow expect ^t-2 1\n$`,
		"changes the protocol": `
			flow send t-1 4\n
			r expect bbbb
			r send HTTP/1.1 101 x\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n
			flow expect ^t-1 1\n
			r wait`,
		"has a header that never ends": `
			flow send t-1 4\n
			r expect bbbb
			r send HTTP/1.1 202 x\r\nA: @much(a)
			flow expect ^t-1 5\n`,
		"goes on being about to answer": `
			flow send t-1 4\n
			r expect bbbb
			r send @much(HTTP/1.1 103 x\r\n\r\n)
			flow expect ^t-1 5\n`,
		"is cut in the header": `
			flow send t-1 4\n
			r expect bbbb
			r send HTTP/1.1 202 x\r\nContent-Le
			r close
			flow expect ^t-1 5\n`,
		"speaks no HTTP": `
			flow send t-1 4\n
			r expect bbbb
			r send 220 ready\r\n
			flow expect ^t-1 5\n`,
		// It can't have what it took: the last byte is here, and stays.
		"takes what it does not have": `
			slow send t-1 4\n
			r expect bbb$
			r send HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n
			slow expect ^t-1 7\n
			r wait`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, open := scenario.Listen(t)
			scenario.RunScript(t, scenario.Peers{"r": open, "flow": drive(addr, 4), "slow": drive(addr, 4, time.Minute)}, words, script)
		})
	}
}

// TestCrossing: what a member and this side tell each other at once. Each line of
// flow's is the next end of a flow, so that none before it is of one that stays.
func TestCrossing(t *testing.T) {
	for name, script := range map[string]string{
		// It has taken the job, and was asked back, and can't be told: it keeps the job.
		"a 202 and the end of the connection": `
			flow send t-1 4\n
			r expect bbbb
			flow send recall t-1\n
			r wait
			r send HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n
			r.next expect ^DELETE /jobs/t-1 HTTP
			r.next close
			flow send t-2 4\n
			r.third expect bbbb
			r.third send HTTP/1.1 500 x\r\n\r\n
			flow expect ^t-2 1\n`,
		"a refusal and the end of the connection": `
			flow send t-1 4\n
			r expect bbbb
			flow send recall t-1\n
			r wait
			r send HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n
			flow expect ^t-1 2\n`,
		// It saw the end before it took the job: it is told all the same.
		"the end of the connection from both sides": `
			flow send t-1 4\n
			r expect bbbb
			flow send recall t-1\n
			r wait
			r close
			r.next expect ^DELETE /jobs/t-1 HTTP
			r.next close
			flow expect ^t-1 6\n`,
		// The callback was of an earlier attempt there: this one stays unwritten.
		"a call-back and a request that is not whole": `
			slow send t-1 4\n
			r expect bbb$
			slow send release t-1\n
			r wait
			slow expect ^t-1 7\n`,
		"a call-back and an answer that does not come": `
			brief send t-1 4\n
			r expect bbbb
			brief send release t-1\n
			r wait
			brief expect ^t-1 5\n`,
		// Its member may have been told to drain since.
		"the decision and a dispatcher that is late": `
			flow send late 4\n
			flow expect ^late 7\n
			r wait
			flow send t-2 4\n
			r.next expect ^POST .*\r\n\r\nbbbb$`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, open := scenario.Listen(t)
			figures := Options{ConnectTimeout: time.Second, MaxSubmissions: 4}
			long := driveWith(addr, figures, func(c *Transport) { c.drainTime = time.Minute })
			scenario.RunScript(t, scenario.Peers{"r": open, "flow": long, "brief": drive(addr, 4), "slow": drive(addr, 4, time.Minute)}, nil, script)
		})
	}
}

// refusing is an address of the test's own that nothing listens on: a fixed one may be
// listened on by others.
func refusing(t *testing.T) (addr string) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// crowded listens, and has no room for a further connection until one is accepted.
func crowded(t *testing.T) (addr string) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "crowded")
	defer func() { _ = file.Close() }()
	l, err := net.FileListener(file)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	first, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = first.Close() })
	return l.Addr().String()
}

// dials counts the connections to an address that are not up yet.
func dials(t *testing.T, addr string) int {
	text, err := os.ReadFile("/proc/self/net/tcp")
	require.NoError(t, err)
	_, port, _ := net.SplitHostPort(addr)
	n, _ := strconv.Atoi(port)
	return len(regexp.MustCompile(fmt.Sprintf(`:\S+ 0100007F:%04X 02 `, n)).FindAll(text, -1))
}

// TestDialIsCancelled: a dial ends with its flow, however long it might take: its
// descriptor is counted with the flow. What comes up later would be of no use.
func TestDialIsCancelled(t *testing.T) {
	addr := crowded(t)
	figures := Options{ConnectTimeout: time.Minute, MaxSubmissions: 1}
	flow, err := driveWith(addr, figures)()
	require.NoError(t, err)
	_, _ = fmt.Fprint(flow, "t-1 4\n")
	require.Eventually(t, func() bool { return dials(t, addr) == 1 }, 10*time.Second, time.Millisecond)
	scenario.RunScript(t, scenario.Peers{"flow": func() (scenario.Conn, error) { return flow, nil }}, nil, `
		flow send recall t-1\n
		flow expect ^t-1 4\n`)
	require.Eventually(t, func() bool { return dials(t, addr) == 0 }, 10*time.Second, time.Millisecond)
}

// TestHeldUpByteIsNotSent: a last byte that the other side leaves no room for is not
// left to go out once there is room.
func TestHeldUpByteIsNotSent(t *testing.T) {
	const text = "POST /x HTTP/1.1\r\n\r\nbb"
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	c := &conn{Conn: near, closed: make(chan struct{})}
	c.setBodySize(2)
	c.setLimits(time.Time{}, time.Now().Add(50*time.Millisecond))
	wrote := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte(text))
		wrote <- err
	}()
	got := make([]byte, len(text)-1)
	_, err := io.ReadFull(far, got)
	require.NoError(t, err)
	select {
	case err := <-wrote:
		require.Error(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("still being written")
	}
	require.False(t, c.mayHaveSent())
}

// ends is an engine that hears the end of one flow.
type ends chan policy.Report

func (e ends) EndFlow(*engine.Flow, policy.Status, []byte)                         { e <- policy.Report{} }
func (e ends) EndFlowWithLoad(_ *engine.Flow, _ policy.Status, load policy.Report) { e <- load }
func (e ends) EndProbe(*engine.Member, policy.Status, policy.Report, time.Time)    {}

// TestFlowIsTheEngines: an answer's report goes with the end, and not into the flow, which
// the engine may be ending at its deadline just then. The engine is a reader here that
// nothing orders with the transport; the race detector sees a write beside it.
func TestFlowIsTheEngines(t *testing.T) {
	member := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Load-Report", "TEXT x0=3")
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer member.Close()
	f := &engine.Flow{
		Transaction: &engine.Transaction{ID: "j", Class: "c"}, SentAt: time.Now(), Deadline: time.Now().Add(time.Minute),
		Member: &engine.Member{Addr: member.Listener.Addr().String()},
	}
	e, read := make(ends, 1), make(chan policy.Report)
	var over atomic.Bool
	go func() {
		var last policy.Report
		for !over.Load() {
			last = f.Load
		}
		read <- last
	}()
	New(e, Options{ConnectTimeout: time.Second, MaxSubmissions: 1}).Start(f)
	require.Equal(t, 3.0, (<-e).X0)
	over.Store(true)
	require.Zero(t, <-read)
}
