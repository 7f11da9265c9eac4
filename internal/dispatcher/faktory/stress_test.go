package faktory_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/demo"
	"basaltloft/internal/dispatcher/fakes"
	"basaltloft/internal/dispatcher/faktory/client"
	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
)

// program is the started program, with the operator's file largeLimits.
type program struct {
	w   *demo.World
	cmd *exec.Cmd
}

// largeLimits is an operator's file with room for the jobs and connections of these tests.
const largeLimits = `{"figures":{"listen":%q,"audit_every_ms":500},"faktory":{"listen":%q,"connections":1200,"reserve_for_s":60,
"waiting":{"jobs":200000,"queue_jobs":150000,"megabytes":200,"queue_megabytes":190},"backoff_unit_ms":1,
"workers":{"cell":1},"default":{"class":"send-notice","cost_us":1000},
"jobtypes":{"Ticket":{"class":"group-ticket","deadline_ms":25000,"cost_us":1000}}}}`

func startProgram(t testing.TB) *program {
	binary, err := scenario.Build()
	require.NoError(t, err)
	w, err := demo.NewWorld(demo.Load{RunTime: time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(w.Close)
	dir := t.TempDir()
	config, operator := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.json")
	settings := strings.Replace(w.Configuration(), `"memory_mb":192,"sockets":1024`, `"memory_mb":128,"sockets":4096`, 1)
	require.NoError(t, os.WriteFile(config, []byte(settings), 0o600))
	require.NoError(t, os.WriteFile(operator, []byte(fmt.Sprintf(largeLimits, w.MetricsAddr, w.FaktoryAddr)), 0o600))
	p := &program{w: w, cmd: exec.CommandContext(t.Context(), binary, "--log-level", "error", "--operator", operator)}
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_NAME=")
	p.cmd.Stderr = os.Stderr
	require.NoError(t, p.cmd.Start())
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended
		_ = p.cmd.Wait()
	})
	require.NoError(t, demo.WaitReady(context.Background(), w.HTTPAddr, nil))
	return p
}

// replyDeadline returns the deadline of a command that is sent now.
func replyDeadline() time.Time { return time.Now().Add(20 * time.Second) }

func (p *program) dial(t testing.TB) *client.Conn {
	c, err := client.Dial(p.w.FaktoryAddr, "", replyDeadline())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() }) // the program may have ended
	return c
}

func (p *program) info(t testing.TB, c *client.Conn) (i client.Info) {
	require.NoError(t, c.Query("INFO", &i, replyDeadline()))
	return i
}

// push pushes the given number of jobs, a hundred at a time; more is further fields of each.
func push(t testing.TB, c *client.Conn, jobs int, more string) {
	for n := 0; n < jobs; n += 100 {
		var all []string
		for k := n; k < min(n+100, jobs); k++ {
			all = append(all, fmt.Sprintf(`{"jid":"job-%07d","jobtype":"Mail","queue":"q","args":[%d]%s}`, k, k, more))
		}
		text, err := c.Do("PUSHB ["+strings.Join(all, ",")+"]", replyDeadline())
		require.NoError(t, err)
		require.Equal(t, "{}", string(text))
	}
}

// fetchJob fetches a job of queue q and returns its jid, which is empty if it got none.
func fetchJob(w *fakes.FaktoryConn) (jid string, err error) {
	text, err := w.Do("FETCH q")
	if err != nil || text == nil {
		return "", err
	}
	var job struct{ JID string }
	if err := json.Unmarshal(text, &job); err != nil {
		return "", err
	}
	if job.JID == "" {
		return "", fmt.Errorf("a job without a jid: %s", text)
	}
	return job.JID, nil
}

// ackJob acknowledges a job.
func ackJob(w *fakes.FaktoryConn, jid string) error {
	_, err := w.Do(`ACK {"jid":"` + jid + `"}`)
	return err
}

// runJob fetches a job, which must be there, and acknowledges it.
func runJob(t testing.TB, w *fakes.FaktoryConn) (jid string) {
	jid, err := fetchJob(w)
	require.NoError(t, err)
	require.NotEmpty(t, jid)
	require.NoError(t, ackJob(w, jid))
	return jid
}

// TestManyDue: 20,000 jobs that become due at the same time all reach their queue, none twice, and
// commands are still answered meanwhile. (100,000 take 10 s under the race detector;
// BenchmarkWaiting lets that many wait.)
func TestManyDue(t *testing.T) {
	t.Parallel()
	manyDue(t, 20000)
}

func manyDue(t testing.TB, jobs int) {
	p := startProgram(t)
	c := p.dial(t)
	// Far enough ahead that all are pushed by then.
	at := time.Now().Add(time.Duration(jobs/2000+2) * time.Second)
	push(t, c, jobs, fmt.Sprintf(`,"at":%q`, at.UTC().Format(time.RFC3339Nano)))
	require.Equal(t, jobs, p.info(t, c).Faktory.Tasks["Scheduled"].Size)
	for until := time.Now().Add(60 * time.Second); ; {
		began := time.Now()
		i := p.info(t, c)
		require.Less(t, time.Since(began), 2*time.Second, "a command is answered while all become due")
		if i.Faktory.Queues["q"] == jobs {
			require.Zero(t, i.Faktory.Tasks["Scheduled"].Size)
			break
		}
		require.True(t, time.Now().Before(until), "%v", i.Faktory)
	}
	seen := make(map[string]bool)
	w, err := fakes.DialFaktory(p.w.FaktoryAddr, "w")
	require.NoError(t, err)
	defer w.Close()
	for range 100 {
		jid := runJob(t, w)
		require.False(t, seen[jid], jid)
		seen[jid] = true
	}
}

// TestManyWorkers: a thousand workers that connect at once are all accepted, fetch,
// and get each job once; 200 under the race detector, which makes the program ten
// times slower.
func TestManyWorkers(t *testing.T) {
	t.Parallel()
	workers := 1000
	if scenario.RaceEnabled {
		workers = 200
	}
	p := startProgram(t)
	push(t, p.dial(t), workers, "")
	runLog := fakes.NewRunLog()
	var all sync.WaitGroup
	errs := make(chan error, workers)
	for n := range workers {
		all.Go(func() {
			errs <- func() error {
				w, err := fakes.DialFaktory(p.w.FaktoryAddr, fmt.Sprint("w", n))
				if err != nil {
					return err
				}
				defer w.Close()
				for range 10 { // a FETCH may be answered null while the engine has a job for another
					jid, err := fetchJob(w)
					if err != nil {
						return err
					}
					if jid == "" {
						continue
					}
					runLog.RecordRun(jid, true)
					return ackJob(w, jid)
				}
				return nil
			}()
		})
	}
	all.Wait()
	close(errs)
	for err := range errs {
		require.NoError(t, err)
	}
	require.Equal(t, workers, runLog.JobCount())
	require.Empty(t, runLog.RunTwice())
	require.Equal(t, workers, p.info(t, p.dial(t)).Faktory.Processed)
}

// TestEndWithSetsFull: a planned shutdown while many jobs wait in queues and sets ends without an
// error and in time.
func TestEndWithSetsFull(t *testing.T) {
	t.Parallel()
	p := startProgram(t)
	c := p.dial(t)
	push(t, c, 3000, "")
	_, err := c.Do(`PUSH {"jid":"scheduled-1","jobtype":"Mail","queue":"q","args":[],"at":"2100-01-01T00:00:00Z"}`, replyDeadline())
	require.NoError(t, err)
	began := time.Now()
	require.NoError(t, p.cmd.Process.Signal(demo.ShutdownSignal))
	require.NoError(t, p.cmd.Wait())
	require.Less(t, time.Since(began), 10*time.Second)
}

// TestHalfWritten: a worker that disconnects while a job is written to it has not run the job, and
// another worker gets it at once.
func TestHalfWritten(t *testing.T) {
	t.Parallel()
	p := startProgram(t)
	c := p.dial(t)
	// More than the sockets' buffers hold, so that the write can't end.
	body := strings.Repeat("x", 60000)
	for n := range 20 {
		_, err := c.Do(fmt.Sprintf(`PUSH {"jid":"job-%07d","jobtype":"Ticket","queue":"q","args":[%q]}`, n, body), replyDeadline())
		require.NoError(t, err)
	}
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", p.w.FaktoryAddr)
	require.NoError(t, err)
	_, err = io.WriteString(conn, "HELLO {\"v\":2,\"wid\":\"gone\"}\r\n"+strings.Repeat("FETCH q\r\n", 2))
	require.NoError(t, err)
	buffer := make([]byte, 200)
	for got := 0; got < 100; { // the first job is being written
		n, err := conn.Read(buffer)
		require.NoError(t, err)
		got += n
	}
	require.NoError(t, conn.(*net.TCPConn).SetLinger(0))
	require.NoError(t, conn.Close())
	seen := make(map[string]int)
	w, err := fakes.DialFaktory(p.w.FaktoryAddr, "w")
	require.NoError(t, err)
	defer w.Close()
	for len(seen) < 18 {
		jid, err := fetchJob(w)
		require.NoError(t, err)
		if jid == "" {
			continue
		}
		seen[jid]++
		require.Equal(t, 1, seen[jid])
		require.NoError(t, ackJob(w, jid))
	}
}

// TestSlowReader: a client that sends commands and does not read its replies is
// disconnected, and other clients don't wait for it.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	p := startProgram(t)
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", p.w.FaktoryAddr)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }() // it was disconnected by the server
	_, err = io.WriteString(conn, "HELLO {\"v\":2}\r\n")
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() {
		text := strings.Repeat("INFO\r\n", 1000)
		for {
			if _, err := io.WriteString(conn, text); err != nil {
				ended <- err
				return
			}
		}
	}()
	c := p.dial(t)
	for range 50 {
		began := time.Now()
		p.info(t, c)
		require.Less(t, time.Since(began), 2*time.Second)
	}
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(20 * time.Second):
		require.Fail(t, "it was not disconnected")
	}
}

// BenchmarkWaiting lets up to 100,000 jobs wait, and reports the memory that they take.
func BenchmarkWaiting(b *testing.B) {
	for _, jobs := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			p := startProgram(b)
			c := p.dial(b)
			before := rss(p.cmd.Process.Pid)
			began := time.Now()
			push(b, c, jobs, `,"custom":{"tenant":"hrad-kamenec","note":"a job of about two hundred bytes, as clients send them"}`)
			pushed, took := float64(jobs)/time.Since(began).Seconds(), float64(rss(p.cmd.Process.Pid)-before)/(1<<20)
			w, err := fakes.DialFaktory(p.w.FaktoryAddr, "w")
			require.NoError(b, err)
			defer w.Close()
			b.ResetTimer()
			b.ReportMetric(pushed, "push/s")
			b.ReportMetric(took, "MB")
			for range min(b.N, jobs) {
				runJob(b, w)
			}
		})
	}
}

// rss is a process's resident memory in bytes.
func rss(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// BenchmarkFront measures the started program on one core: b.N jobs are pushed,
// fetched and acknowledged over the given number of connections of each side. It reports jobs per
// second and the time from PUSH to FETCH.
func BenchmarkFront(b *testing.B) {
	for _, conns := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprint(conns), func(b *testing.B) { measureFront(b, conns, 0) })
	}
}

// BenchmarkPaced is the same at a steady rate of 5,000 jobs a second: what a job
// waits when the front is half busy.
func BenchmarkPaced(b *testing.B) {
	for _, conns := range []int{1, 16, 64} {
		b.Run(fmt.Sprint(conns), func(b *testing.B) { measureFront(b, conns, 5000) })
	}
}

// measureFront measures jobs from PUSH to ACK, with conns clients and as many workers. rate is in jobs
// per second; 0: as fast as possible.
//
//nolint:funlen,gocognit // one measurement: its goroutines share the counters
func measureFront(b *testing.B, conns int, rate float64) {
	p := startProgram(b)
	pushed := sync.Map{}
	spans := make([][]time.Duration, conns)
	var all, pushers sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	var left sync.WaitGroup
	left.Add(b.N)
	for n := range conns {
		all.Go(func() {
			w, err := fakes.DialFaktory(p.w.FaktoryAddr, fmt.Sprint("w", n))
			if err != nil {
				b.Error(err)
				return
			}
			defer w.Close()
			for ctx.Err() == nil {
				jid, err := fetchJob(w)
				if err != nil {
					b.Error(err)
					return
				}
				if jid == "" {
					continue
				}
				if at, ok := pushed.Load(jid); ok {
					spans[n] = append(spans[n], time.Since(at.(time.Time)))
				}
				if err := ackJob(w, jid); err != nil {
					b.Error(err)
					return
				}
				left.Done()
			}
		})
	}
	began := time.Now()
	b.ResetTimer()
	for n := range conns {
		pushers.Go(func() {
			c, err := fakes.DialFaktory(p.w.FaktoryAddr, "")
			if err != nil {
				b.Error(err)
				return
			}
			defer c.Close()
			for k := n; k < b.N; k += conns {
				if rate > 0 {
					time.Sleep(time.Until(began.Add(time.Duration(float64(k) / rate * float64(time.Second)))))
				}
				id := fmt.Sprintf("job-%08d", k)
				pushed.Store(id, time.Now())
				if _, err := c.Do(`PUSH {"jid":"` + id + `","jobtype":"Mail","queue":"q","args":[1]}`); err != nil {
					b.Error(err)
					left.Done()
				}
			}
		})
	}
	pushers.Wait()
	left.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "jobs/s")
	stop()
	all.Wait()
	var merged []time.Duration
	for _, s := range spans {
		merged = append(merged, s...)
	}
	if len(merged) > 0 {
		b.ReportMetric(float64(percentile(merged, 0.5).Microseconds())/1000, "p50-ms")
		b.ReportMetric(float64(percentile(merged, 0.99).Microseconds())/1000, "p99-ms")
	}
}

func percentile(all []time.Duration, p float64) time.Duration {
	slices.Sort(all)
	return all[min(len(all)-1, int(p*float64(len(all))))]
}
