package controlplane

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/scheduler"
)

// The fake runners of the benchmarks run in a separate process, so that the processor time of the benchmark's
// process is that of the client only.
const (
	benchRunnersVariable = "BASALTLOFT_BENCH_RUNNERS" // set: the process serves fake runners and runs no tests
	benchRunners         = 64
	benchRenewalTime     = 2 * time.Millisecond
	benchStep            = 4 // number of tasks that a step starts on one runner at the same time
	benchConnsPath       = "/connections"
)

func TestMain(m *testing.M) {
	if os.Getenv(benchRunnersVariable) != "" {
		serveBenchRunners()
		return
	}
	os.Exit(m.Run())
}

// serveBenchRunners starts the fake runners, writes their addresses to the standard output as JSON, and serves
// them until the standard input ends.
func serveBenchRunners() {
	report := `{"clock_ms":482113,"running":[`
	for i := range 8 {
		report += fmt.Sprintf(`["5c0e7a21d94b36f%d.0.1.17",2,"00000bb87a21d94b",%d],`, i, 40+i)
	}
	report = strings.TrimSuffix(report, ",") + `],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.11",1,"done",""]]}`
	var connections atomic.Int64
	var addresses []string
	for range benchRunners {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		addresses = append(addresses, listener.Addr().String())
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				connections.Add(1)
				go serveBenchConn(conn, report, &connections)
			}
		}()
	}
	_ = json.NewEncoder(os.Stdout).Encode(addresses)
	_, _ = io.Copy(io.Discard, os.Stdin)
}

func serveBenchConn(conn net.Conn, report string, connections *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		body := `{"clock_ms":482113}`
		switch request.URL.Path {
		case leasePath:
			time.Sleep(benchRenewalTime)
			body = report
		case benchConnsPath:
			body = fmt.Sprint(connections.Add(-1)) // without the connection of this request
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\nDate: Thu, 03 Dec 2026 14:16:02 GMT\r\n\r\n%s", len(body), body)
	}
}

// startBenchRunners starts the process of the fake runners and returns their addresses.
func startBenchRunners(b *testing.B) []string {
	b.Helper()
	process := exec.CommandContext(b.Context(), os.Args[0])
	process.Env = append(os.Environ(), benchRunnersVariable+"=1")
	input, err := process.StdinPipe()
	require.NoError(b, err)
	output, err := process.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, process.Start())
	b.Cleanup(func() {
		_ = input.Close()
		_ = process.Wait()
	})
	var addresses []string
	require.NoError(b, json.NewDecoder(output).Decode(&addresses))
	return addresses
}

// benchConnections returns how many connections the runners have accepted.
func benchConnections(b *testing.B, address string) (count int) {
	b.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+address+benchConnsPath, nil)
	require.NoError(b, err)
	response, err := transport.RoundTrip(request)
	require.NoError(b, err)
	defer func() { _ = response.Body.Close() }()
	_, err = fmt.Fscan(response.Body, &count)
	require.NoError(b, err)
	return count
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchClient measures the processor time and the number of new connections per operation. One goroutine per
// runner calls round repeatedly; each call sends perRound operations.
func benchClient(b *testing.B, perRound int, round func(client *runnerClient, order scheduler.Order)) {
	addresses := startBenchRunners(b)
	client := newRunnerClient(b.Context())
	drive := func(operations int) {
		var runners sync.WaitGroup
		for i, address := range addresses {
			runners.Go(func() {
				order := scheduler.Order{
					Runner: fmt.Sprint("i-7f3a91c", i), Address: address, Token: 7, Attempt: 1, Spec: strings.Repeat("specification ", 21),
					Task: job.TaskRef{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}, DeadlineMs: 486000, AckedThrough: 57, WaitMs: 700,
				}
				for range operations / perRound / len(addresses) {
					round(client, order)
				}
			})
		}
		runners.Wait()
	}
	drive(perRound * len(addresses))
	connections := benchConnections(b, addresses[0])
	operations := max(b.N, perRound*len(addresses))
	operations -= operations % (perRound * len(addresses))
	before := processorTime()
	b.ReportAllocs()
	b.ResetTimer()
	drive(operations)
	b.StopTimer()
	b.ReportMetric(float64(processorTime()-before)/float64(operations), "cpu-ns/op")
	b.ReportMetric(float64(benchConnections(b, addresses[0])-connections)/float64(operations), "conns/op")
}

// BenchmarkPoll measures lease renewals, with one at a time for each runner.
func BenchmarkPoll(b *testing.B) {
	benchClient(b, 1, func(client *runnerClient, order scheduler.Order) { client.renewLease(order) })
}

// BenchmarkStart measures starts, which are sent to each runner one after another.
func BenchmarkStart(b *testing.B) {
	benchClient(b, 1, func(client *runnerClient, order scheduler.Order) { client.start(order) })
}

// BenchmarkStepBesidePoll measures the concurrent starts of the tasks of a step on one runner during a lease
// renewal. An operation is one start and a quarter of a renewal.
func BenchmarkStepBesidePoll(b *testing.B) {
	benchClient(b, benchStep, func(client *runnerClient, order scheduler.Order) {
		var orders sync.WaitGroup
		orders.Go(func() { client.renewLease(order) })
		for range benchStep {
			orders.Go(func() { client.start(order) })
		}
		orders.Wait()
	})
}

// BenchmarkParseReply measures parsing a report of 8 active and 2 ended runs.
func BenchmarkParseReply(b *testing.B) {
	content := []byte(`{"clock_ms":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41],["5c0e7a21d94b36f8.0.1.18",2,"",42],` +
		`["5c0e7a21d94b36f8.0.1.19",2,"",43],["5c0e7a21d94b36f8.0.1.20",2,"",44],["5c0e7a21d94b36f8.0.1.21",2,"",45],["5c0e7a21d94b36f8.0.1.22",2,"",46],` +
		`["5c0e7a21d94b36f8.0.1.23",2,"",47],["5c0e7a21d94b36f8.0.1.24",2,"",48]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.11",1,"done",""]]}`)
	b.ReportAllocs()
	for b.Loop() {
		reply, err := parseReply(content)
		require.NoError(b, err)
		require.NoError(b, reply.reportErr)
		require.Len(b, reply.report.Running, 8)
	}
}
