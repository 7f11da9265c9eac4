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

// driver is an actor of a scenario, and the ResultSink of its transport. For each line that it reads it starts
// a flow ("ID BYTES") or a probe ("probe"), recalls a flow ("recall ID"), or calls EndedOutOfBand for a flow
// ("release ID"). It writes the status with which each flow and probe ends.
type driver struct {
	net.Conn
	transport *Transport
}

func (d *driver) EndFlow(f *engine.Flow, s policy.Status, _ []byte) {
	_, _ = fmt.Fprintf(d.Conn, "%s %d\n", f.Transaction.ID, s)
}

func (d *driver) EndFlowWithLoad(f *engine.Flow, s policy.Status, load policy.Report) {
	_, _ = fmt.Fprintf(d.Conn, "%s %d%s\n", f.Transaction.ID, s, formatReport(load))
}

func (d *driver) EndProbe(_ *engine.Member, s policy.Status, r policy.Report, _ time.Time) {
	_, _ = fmt.Fprintf(d.Conn, "probe %d%s\n", s, formatReport(r))
}

// formatReport returns a load report's free slots and memory as text for scenarios.
func formatReport(r policy.Report) string {
	text := ""
	if r.Has&policy.HasX0 != 0 {
		text += fmt.Sprintf(" x0=%g", r.X0)
	}
	if r.Has&policy.HasX1 != 0 {
		text += fmt.Sprintf(" x1=%g", r.X1)
	}
	return text
}

// drive returns a peer whose drivers send flows to a member; without lastByteDelay the last byte is not delayed.
func drive(addr string, maxSubmissions int, lastByteDelay ...time.Duration) func() (scenario.Conn, error) {
	return driveWith(addr, Options{
		ConnectTimeout: time.Second, MaxSubmissions: maxSubmissions, LastByteDelay: append(lastByteDelay, 0)[0],
	})
}

// driveWith is drive with the given options and with changes to each driver's transport.
func driveWith(addr string, options Options, change ...func(*Transport)) func() (scenario.Conn, error) {
	maxSubmissions := options.MaxSubmissions
	return func() (scenario.Conn, error) {
		near, far := net.Pipe()
		d := &driver{Conn: far}
		d.transport = New(d, options)
		for _, apply := range change {
			apply(d.transport)
		}
		go func() {
			flows := make(map[string]*engine.Flow)
			for in := bufio.NewScanner(far); in.Scan(); {
				id, size, _ := strings.Cut(in.Text(), " ")
				n, _ := strconv.Atoi(size)
				m := &engine.Member{Addr: addr}
				switch id {
				case "probe":
					d.transport.Probe(m)
					continue
				case "recall":
					d.transport.Recall(flows[size])
					continue
				case "release":
					d.transport.EndedOutOfBand(flows[size])
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
				if flows[id] = f; maxSubmissions == 0 {
					go d.transport.Start(f) // ends before it returns
					continue
				}
				d.transport.Start(f)
			}
		}()
		return near, nil
	}
}

// TestOutcomes checks the status of each way in which an attempt can end: it decides whether the attempt may
// have run, and so whether a non-idempotent job may be sent again.
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
		// The last byte was delayed, so the job can't have run.
		"breaks while the request arrives": `
			slow send t-1 4\n
			r expect ^POST /group-ticket HTTP.*\r\n\r\nbbb$
			r close
			slow expect ^t-1 7\n
			slow send t-2 0\n
			r.next expect ^POST /group-ticket HTTP.*\r\nContent-Length: 0\r\n.*\r\n\r$
			r.next close
			slow expect ^t-2 7\n`,
		// Its 202 may be on the way when the connection is closed: the job may be sent to another member
		// only once the member has confirmed the DELETE too.
		"a flow is recalled before the answer": `
			flow send t-1 4\n
			r expect bbbb
			flow send recall t-1\n
			r send HTTP/1.1 202 x` + empty + `
			r wait
			r.next expect ^DELETE /jobs/t-1 HTTP
			r.next send HTTP/1.1 204 x\r\n\r\n
			flow expect ^t-1 6\n`,
		"a flow is recalled before the last byte": `
			slow send t-1 4\n
			r expect bbb$
			slow send recall t-1\n
			slow expect ^t-1 7\n`,
		"refuses the connection": `
			nobody send t-1 4\nprobe\n
			nobody expect ^(t-1 4\nprobe 4\n|probe 4\nt-1 4\n)`,
		"there is no free descriptor": `
			none send t-1 4\n
			none expect ^t-1 7\n`,
		"rejects the request": `
			flow send t-1 4\n
			r expect bbbb
			r send HTTP/1.1 504 x\r\nX-Rejected: 1` + empty + `
			flow expect ^t-1 2\n`,
		"is unavailable, and may have run it": `
			flow send t-1 4\n
			r expect bbbb
			r send HTTP/1.1 503 x` + empty + `
			flow expect ^t-1 1\n`,
		"redirects, which is not followed": `
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
		// A reused connection may be broken, which is noticed only once a request was written to it and may
		// have run. http.Transport would also resend such a request by itself. So the next request that the
		// member receives must be the next job.
		"each request has its own connection": `
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
				"r": open, "flow": drive(addr, 4), "none": drive(addr, 0), "slow": drive(addr, 4, time.Second), "nobody": drive(refusingAddr(t), 4),
			}, nil, script)
		})
	}
}

// TestProbesAreBounded checks that a probe never reaches its member while no descriptor is free. The first
// connection that the member accepts is that of the second probe.
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

// TestExtendLateDial checks that a dial gets its timeout again if the end of the timeout is noticed late, and
// is cancelled if it is noticed in time: the process's own lateness must not count against the member.
func TestExtendLateDial(t *testing.T) {
	begin := time.Now()
	for name, late := range map[string][]time.Duration{
		"in time":       {0},
		"a little late": {time.Millisecond},
		"late once":     {time.Second, 0},
		"late twice":    {time.Second, 20 * time.Millisecond, 0},
		// The latest time, 3 s, has passed at the third end, which is not extended.
		"late for long": {time.Second, time.Second, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			asked, clock := 0, begin
			now := func() time.Time { // the first call is for the dial's start, the others for ends of its timeout
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

// recordingConn is a connection that records the written bytes.
type recordingConn struct {
	net.Conn
	got []byte
}

func (p *recordingConn) Write(b []byte) (int, error)      { p.got = append(p.got, b...); return len(b), nil }
func (p *recordingConn) Close() error                     { return nil }
func (p *recordingConn) SetWriteDeadline(time.Time) error { return nil }

// TestLastByte checks, for requests that are split into writes at random, that mayHaveSent becomes true exactly
// when the last byte is written.
func TestLastByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := strings.Repeat(rapid.SampledFrom([]string{"b", "\r\n\r\n", "\r"}).Draw(t, "of"), rapid.IntRange(0, 50).Draw(t, "times"))
		text := "POST /x HTTP/1.1\r\nA: \r\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		to := &recordingConn{}
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

// TestClosedIsNotSent checks that a connection that is closed before its last byte is due never sends it.
func TestClosedIsNotSent(t *testing.T) {
	to := &recordingConn{}
	c := &conn{Conn: to, lastByteDelay: time.Hour, closed: make(chan struct{})}
	c.setBodySize(2)
	_ = c.Close()
	n, err := c.Write([]byte("POST /x HTTP/1.1\r\n\r\nbb"))
	require.ErrorIs(t, err, net.ErrClosed)
	require.Equal(t, len(to.got), n)
	require.Equal(t, "POST /x HTTP/1.1\r\n\r\nb", string(to.got))
	require.False(t, c.mayHaveSent())
}

// TestStaleIsNotSent checks that the repeat of a key is not completed once the members may have forgotten the
// key, because its connection or this process took too long. Its flow ends as NotSent.
func TestStaleIsNotSent(t *testing.T) {
	for name, left := range map[string]time.Duration{"in time": time.Hour, "too late": 0} {
		t.Run(name, func(t *testing.T) {
			to := &recordingConn{}
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

// TestReportsAreRead checks that load reports reach the engine where members report their load: from the
// X-Load-Report header of the answer that ends a flow, and from the body of /stats, which probes then request.
// A report that can't be parsed is ignored, and the status stays. Elsewhere a probe requests /health/live and
// its body is ignored.
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

// TestAnswers checks that an answer counts by its status and header, even if its body is cut or never ends, and
// that a header beyond the size limit or that is not HTTP counts as a broken connection.
//
//nolint:funlen // a table of cases, each a few lines
func TestAnswers(t *testing.T) {
	words := scenario.Functions{"much": func(a ...string) string { return strings.Repeat(a[0], maxReplyBytes/len(a[0])+8<<10) }}
	for name, script := range map[string]string{
		// The recall sends a DELETE, which shows that the 202 counted.
		"accepts, in an answer that never ends": `
			flow send t-1 4\n
			r expect bbbb
			r send HTTP/1.1 202 x\r\nContent-Length: 100\r\n\r\nabc
			r wait
			flow send recall t-1\n
			r.next expect ^DELETE /jobs/t-1 HTTP
			r.next send HTTP/1.1 204 x\r\n\r\n
			flow expect ^t-1 6\n`,
		"accepts, in a chunked answer that is cut": `
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
		"rejects, in an answer that never ends": `
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
		"sends informational answers without end": `
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
		// The member can't have the request that it accepts: the last byte has not been sent.
		"accepts a request that is not whole": `
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

// TestCrossing checks messages of the member and of this side that cross. Each expected line is the next end of
// a flow, so a flow that must stay live has not ended before it.
func TestCrossing(t *testing.T) {
	for name, script := range map[string]string{
		// The member has accepted the job and can't be reached by the recall's DELETE: it keeps the job.
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
		// The member saw the end of the connection before it accepted the job: it gets a DELETE nevertheless.
		"the end of the connection from both sides": `
			flow send t-1 4\n
			r expect bbbb
			flow send recall t-1\n
			r wait
			r close
			r.next expect ^DELETE /jobs/t-1 HTTP
			r.next close
			flow expect ^t-1 6\n`,
		// The callback belongs to an earlier attempt at that member: this request is not completed.
		"a callback and a request that is not whole": `
			slow send t-1 4\n
			r expect bbb$
			slow send release t-1\n
			r wait
			slow expect ^t-1 7\n`,
		"a callback and an answer that does not arrive": `
			brief send t-1 4\n
			r expect bbbb
			brief send release t-1\n
			r wait
			brief expect ^t-1 5\n`,
		// The member may have been told to drain since the decision.
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
			options := Options{ConnectTimeout: time.Second, MaxSubmissions: 4}
			long := driveWith(addr, options, func(c *Transport) { c.drainTime = time.Minute })
			scenario.RunScript(t, scenario.Peers{"r": open, "flow": long, "brief": drive(addr, 4), "slow": drive(addr, 4, time.Minute)}, nil, script)
		})
	}
}

// refusingAddr returns an address that the test has bound and that nothing listens on; another process could
// listen on a fixed one.
func refusingAddr(t *testing.T) (addr string) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// fullListenerAddr returns the address of a listener whose backlog is full until a connection is accepted.
func fullListenerAddr(t *testing.T) (addr string) {
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

// pendingDials returns the number of connections to an address that are not established yet.
func pendingDials(t *testing.T, addr string) int {
	text, err := os.ReadFile("/proc/self/net/tcp")
	require.NoError(t, err)
	_, port, _ := net.SplitHostPort(addr)
	n, _ := strconv.Atoi(port)
	return len(regexp.MustCompile(fmt.Sprintf(`:\S+ 0100007F:%04X 02 `, n)).FindAll(text, -1))
}

// TestDialIsCancelled checks that a dial is cancelled with its flow, since its descriptor counts as the flow's.
// A connection that came up later would have no use.
func TestDialIsCancelled(t *testing.T) {
	addr := fullListenerAddr(t)
	options := Options{ConnectTimeout: time.Minute, MaxSubmissions: 1}
	flow, err := driveWith(addr, options)()
	require.NoError(t, err)
	_, _ = fmt.Fprint(flow, "t-1 4\n")
	require.Eventually(t, func() bool { return pendingDials(t, addr) == 1 }, 10*time.Second, time.Millisecond)
	scenario.RunScript(t, scenario.Peers{"flow": func() (scenario.Conn, error) { return flow, nil }}, nil, `
		flow send recall t-1\n
		flow expect ^t-1 4\n`)
	require.Eventually(t, func() bool { return pendingDials(t, addr) == 0 }, 10*time.Second, time.Millisecond)
}

// TestBlockedLastByteIsNotSent checks that a last byte whose write blocks, because the other side does not read,
// is not sent after its time.
func TestBlockedLastByteIsNotSent(t *testing.T) {
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
		t.Fatal("the write does not end")
	}
	require.False(t, c.mayHaveSent())
}

// reportSink is a ResultSink that passes on the load report of each flow's end.
type reportSink chan policy.Report

func (e reportSink) EndFlow(*engine.Flow, policy.Status, []byte)                         { e <- policy.Report{} }
func (e reportSink) EndFlowWithLoad(_ *engine.Flow, _ policy.Status, load policy.Report) { e <- load }
func (e reportSink) EndProbe(*engine.Member, policy.Status, policy.Report, time.Time)    {}

// TestTransportDoesNotWriteFlowLoad checks that the load report of an answer is passed with the end of the flow,
// and not written into the flow, which the engine may be ending at its deadline at the same time. In place of
// the engine, a goroutine reads the flow without synchronisation, so the race detector finds any write.
func TestTransportDoesNotWriteFlowLoad(t *testing.T) {
	member := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Load-Report", "TEXT x0=3")
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer member.Close()
	f := &engine.Flow{
		Transaction: &engine.Transaction{ID: "j", Class: "c"}, SentAt: time.Now(), Deadline: time.Now().Add(time.Minute),
		Member: &engine.Member{Addr: member.Listener.Addr().String()},
	}
	e, read := make(reportSink, 1), make(chan policy.Report)
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
