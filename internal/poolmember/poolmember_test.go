package poolmember

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"basaltloft"
	"basaltloft/internal/core"
	"basaltloft/internal/scenario"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// driver is an actor that starts a flow for each line "ID BYTES" that it is
// sent, or a probe for "probe", asks one back for "recall ID", and tells how each
// ends.
type driver struct {
	net.Conn
	carrier *Carrier
}

func (d *driver) End(f *core.Flow, s basaltloft.Status, _ []byte) {
	fmt.Fprintf(d.Conn, "%s %d%s\n", f.Transaction.ID, s, told(f.Load))
}

func (d *driver) Probed(_ *core.Member, s basaltloft.Status, r basaltloft.Report, _ time.Time) {
	fmt.Fprintf(d.Conn, "probe %d%s\n", s, told(r))
}

// told is what a report holds of free slots and memory, for a scenario to read.
func told(r basaltloft.Report) string {
	text := ""
	if r.Has&basaltloft.HasX0 != 0 {
		text += fmt.Sprintf(" x0=%g", r.X0)
	}
	if r.Has&basaltloft.HasX1 != 0 {
		text += fmt.Sprintf(" x1=%g", r.X1)
	}
	return text
}

func drive(addr string, most int, settle ...time.Duration) func() (scenario.End, error) {
	return driveWith(addr, Figures{DialWithin: time.Second, Most: most, Settle: append(settle, 0)[0]})
}

func driveWith(addr string, figures Figures) func() (scenario.End, error) {
	most := figures.Most
	return func() (scenario.End, error) {
		near, far := net.Pipe()
		d := &driver{Conn: far}
		d.carrier = New(d, figures)
		go func() {
			flows := make(map[string]*core.Flow)
			for in := bufio.NewScanner(far); in.Scan(); {
				id, size, _ := strings.Cut(in.Text(), " ")
				n, _ := strconv.Atoi(size)
				m := &core.Member{Addr: addr}
				switch id {
				case "probe":
					d.carrier.Probe(m)
					continue
				case "recall":
					d.carrier.Recall(flows[size])
					continue
				}
				f := &core.Flow{
					Transaction: &core.Transaction{ID: id, Class: "group-ticket", Key: "k", Body: []byte(strings.Repeat("b", n))},
					Member:      m, Deadline: time.Now().Add(time.Minute),
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
			scenario.Play(t, scenario.Cast{
				"r": open, "flow": drive(addr, 4), "none": drive(addr, 0), "slow": drive(addr, 4, time.Second), "nobody": drive("127.0.0.1:1", 4),
			}, nil, script)
		})
	}
}

// TestProbesAreBounded: without a descriptor to spare a probe never reaches its
// member. The first connection that the member sees is the second probe's.
func TestProbesAreBounded(t *testing.T) {
	addr, open := scenario.Listen(t)
	c := New(nil, Figures{DialWithin: time.Second, Most: 2})
	c.asks <- struct{}{}
	s, _ := c.probe(&core.Member{Addr: addr}, time.Now().Add(20*time.Millisecond))
	require.Equal(t, basaltloft.TimedOut, s)
	require.False(t, c.delete(&core.Flow{Member: &core.Member{Addr: addr}, Transaction: &core.Transaction{ID: "t-1"}}, time.Now().Add(20*time.Millisecond)))
	<-c.asks
	done := make(chan basaltloft.Status)
	go func() {
		s, _ := c.probe(&core.Member{Addr: addr}, time.Now().Add(time.Minute))
		done <- s
	}()
	scenario.Play(t, scenario.Cast{"r": open}, nil, `
		r expect ^GET /health/live
		r send HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n`)
	require.Equal(t, basaltloft.OK, <-done)
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
			stop := patience(begin.Add(10*time.Millisecond), now, func() { ended <- asked - 1 })
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

func (p *pieces) Write(b []byte) (int, error) { p.got = append(p.got, b...); return len(b), nil }
func (p *pieces) Close() error                { return nil }

// TestLastByte: however a request is cut into writes, it may have been sent whole
// exactly once its last byte was written, and until then it has not.
func TestLastByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := strings.Repeat(rapid.SampledFrom([]string{"b", "\r\n\r\n", "\r"}).Draw(t, "of"), rapid.IntRange(0, 50).Draw(t, "times"))
		text := "POST /x HTTP/1.1\r\nA: \r\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		to := &pieces{}
		c := &conn{Conn: to, closed: make(chan struct{})}
		c.begin(len(body))
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
	c := &conn{Conn: to, settle: time.Hour, closed: make(chan struct{})}
	c.begin(2)
	c.Close()
	n, err := c.Write([]byte("POST /x HTTP/1.1\r\n\r\nbb"))
	require.ErrorIs(t, err, net.ErrClosed)
	require.Equal(t, len(to.got), n)
	require.Equal(t, "POST /x HTTP/1.1\r\n\r\nb", string(to.got))
	require.False(t, c.mayHaveSent())
}

// TestReportsAreRead: where members report their load, the answer that ends a
// flow carries it in X-Load-Report and a probe asks /stats, whose body is the
// report; either reaches the core. A report that can't be read is left out and
// the outcome stands. Elsewhere a probe asks /health/live and reads no body.
func TestReportsAreRead(t *testing.T) {
	addr, open := scenario.Listen(t)
	stats := driveWith(addr, Figures{DialWithin: time.Second, Most: 4, Stats: true})
	scenario.Play(t, scenario.Cast{"r": open, "flow": stats, "plain": drive(addr, 4)}, nil, `
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
