package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/demo"
	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
)

// BenchmarkThroughput measures the program without and with a journal: jobs a second with 64 clients in a
// closed loop, and the program's CPU time for each job. Members are in this process and run a job for 1 ms.
func BenchmarkThroughput(b *testing.B) {
	binary, err := scenario.Build()
	require.NoError(b, err)
	for _, journal := range []bool{false, true} {
		b.Run(fmt.Sprintf("journal=%v", journal), func(b *testing.B) {
			throughput(b, binary, journal, 64, demo.Load{Members: 8, Slots: 32, RunTime: time.Millisecond})
		})
	}
}

// BenchmarkFleet measures the cost of a job for several fleet sizes: 128 clients in a closed loop, members that
// run a job for 20 ms, and one core for the program.
func BenchmarkFleet(b *testing.B) {
	binary, err := scenario.Build()
	require.NoError(b, err)
	b.Setenv("GOMAXPROCS", "1")
	for _, members := range []int{8, 64, 512} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			throughput(b, binary, false, 128, demo.Load{Members: members, Slots: max(2, 256/members), RunTime: 20 * time.Millisecond})
		})
	}
}

// throughput starts the program and measures b.N requests of a closed loop, after a warm-up.
func throughput(b *testing.B, binary string, journal bool, clients int, load demo.Load) {
	dir := b.TempDir()
	w, err := demo.NewWorld(load)
	require.NoError(b, err)
	defer w.Close()
	journalDir := ""
	if journal {
		journalDir = filepath.Join(dir, "figures")
	}
	files, err := writeFiles(dir, w, journalDir)
	require.NoError(b, err)
	cmd := files.command(context.Background(), binary, "--log-level", "error")
	cmd.Stderr = os.Stderr
	require.NoError(b, cmd.Start())
	defer func() {
		require.NoError(b, cmd.Process.Signal(syscall.SIGTERM))
		require.NoError(b, cmd.Wait())
	}()
	require.NoError(b, demo.WaitReady(context.Background(), w.HTTPAddr, nil))
	c := newClosedLoop(b, w.HTTPAddr, clients)
	defer c.client.CloseIdleConnections()
	c.run(2000) // warm-up: budgets grow meanwhile
	c.served = 0
	clear(c.statuses)
	before, began := cpu(cmd.Process.Pid), time.Now()
	b.ResetTimer()
	c.run(b.N)
	b.StopTimer()
	b.ReportMetric(float64(c.served)/time.Since(began).Seconds(), "served/s")
	b.ReportMetric(float64(c.served)/float64(b.N), "served/op")
	if c.served < b.N {
		b.Log("answers by status:", c.statuses)
	}
	b.ReportMetric(float64((cpu(cmd.Process.Pid)-before).Microseconds())/float64(b.N), "cpu-us/job")
}

// closedLoop is a number of clients that each send the next request after the answer to the last one.
type closedLoop struct {
	b       *testing.B
	addr    string
	clients int
	client  *http.Client

	mu       sync.Mutex
	next     int // number of the next request
	served   int
	statuses map[int]int
}

func newClosedLoop(b *testing.B, addr string, clients int) *closedLoop {
	return &closedLoop{
		b: b, addr: addr, clients: clients, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}, statuses: make(map[int]int),
	}
}

// run sends a number of requests and waits for their answers.
func (c *closedLoop) run(requests int) {
	last := c.next + requests
	var running sync.WaitGroup
	for range c.clients {
		running.Go(func() {
			for {
				c.mu.Lock()
				n := c.next
				c.next++
				c.mu.Unlock()
				if n >= last {
					return
				}
				c.send(n)
			}
		})
	}
	running.Wait()
	c.next = last
}

// send sends request n and counts its answer by status.
func (c *closedLoop) send(n int) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+c.addr+"/place-hold", strings.NewReader("body"))
	require.NoError(c.b, err)
	req.Header.Set("X-Call-Id", fmt.Sprint("b-", n))
	req.Header.Set("X-Budget", "10")
	req.Header.Set("X-Call-Cost", "1000")
	req.Header.Set("Idempotency-Key", fmt.Sprint("k-", n))
	resp, err := c.client.Do(req)
	require.NoError(c.b, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(c.b, errors.Join(err, resp.Body.Close()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[resp.StatusCode]++
	if resp.StatusCode == http.StatusOK {
		c.served++
	}
}

// cpu returns the user and system time that a process has used, or 0 if it can't be read from /proc.
func cpu(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	var user, system int64
	if _, err := fmt.Sscan(fields[11], &user); err != nil {
		return 0
	}
	if _, err := fmt.Sscan(fields[12], &system); err != nil {
		return 0
	}
	return time.Duration(user+system) * 10 * time.Millisecond // /proc counts hundredths of a second
}
