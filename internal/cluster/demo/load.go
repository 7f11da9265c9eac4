package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"basaltloft/internal/shared/saturating"
)

const (
	// requestTimeout bounds one request of a client, which is then retried at the next dispatcher.
	requestTimeout = time.Second
	// retryPause is the pause after a request without a definite response, and between two requests for a
	// job's state.
	retryPause = 40 * time.Millisecond
	// longestLatency is the highest value of the latency histograms; longer ones count as this.
	longestLatency = time.Minute
)

// jobBodies has the body of each queue's jobs.
var jobBodies = map[string]string{
	"/quick/": `{"spec":"quick","stages":[{"count":2,"cpu":500,"mem_mb":10,"estimate_ms":100}]}`,
	"/batch/": `{"spec":"batch","stages":[{"count":4,"cpu":1000,"mem_mb":100,"estimate_ms":100},{"count":1,"cpu":500,"depends_on":[0],"estimate_ms":100}]}`,
}

// jobTasks has the number of tasks of each queue's jobs.
var jobTasks = map[string]int{"/quick/": 2, "/batch/": 5}

// queueFigures are the counts and latencies of one queue's jobs.
type queueFigures struct {
	submitted int // that may have been accepted
	completed int
	failed    int
	latency   *hdrhistogram.Histogram // from the first request to the response that the job is completed, in milliseconds
}

// load is the clients: one for each job, which submits it and polls its state until it is over.
type load struct {
	dispatchers []string
	client      *http.Client
	jobs        sync.WaitGroup
	ctx         context.Context // ends with close
	cancel      context.CancelFunc

	mu      sync.Mutex
	figures map[string]*queueFigures // by queue
	shown   int                      // jobs completed at the last line of the table, at shownAt
	shownAt time.Duration            // since the start
}

func newLoad(dispatchers []string) *load {
	l := &load{dispatchers: dispatchers, client: &http.Client{Timeout: requestTimeout}, figures: map[string]*queueFigures{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	for _, queue := range queues {
		l.figures[queue] = &queueFigures{latency: hdrhistogram.New(1, longestLatency.Milliseconds(), 3)}
	}
	return l
}

// submitSteadily submits rate jobs per second, every fifth to the queue batch, until the context ends.
func (l *load) submitSteadily(ctx context.Context, rate float64) {
	const batchEvery = 5
	ticker := time.NewTicker(saturating.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for number := 1; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		queue := queues[0]
		if number%batchEvery == 0 {
			queue = queues[1]
		}
		l.jobs.Go(func() { l.runJob(queue, number) })
	}
}

// runJob submits a job and polls its state until it is over.
func (l *load) runJob(queue string, number int) {
	path := fmt.Sprintf("%s%016x", queue, time.Now().UnixNano())
	began := time.Now()
	l.update(queue, func(f *queueFigures) { f.submitted++ })
	if _, err := l.until(number, http.MethodPost, path, jobBodies[queue]); err != nil {
		return
	}
	for {
		body, err := l.until(number, http.MethodGet, path, "")
		if err != nil {
			return
		}
		var state struct{ State string }
		_ = json.Unmarshal([]byte(body), &state) // a body that can't be decoded doesn't end the job
		switch state.State {
		case "completed":
			l.update(queue, func(f *queueFigures) {
				f.completed++
				_ = f.latency.RecordValue(min(time.Since(began), longestLatency).Milliseconds()) // in range
			})
			return
		case "failed", "canceled", "expired":
			l.update(queue, func(f *queueFigures) { f.failed++ })
			return
		}
		if !l.pause() {
			return
		}
	}
}

// until sends a request to the dispatchers in turn until the response is 200. Retries of a submission are
// idempotent: the same ID stands for the same job.
func (l *load) until(first int, method, path, body string) (answer string, err error) {
	for attempt := first; ; attempt++ {
		status, text, err := exchangeBy(l.ctx, l.client, method, l.dispatchers[attempt%len(l.dispatchers)], path, body)
		if err == nil && status == http.StatusOK {
			return text, nil
		}
		if !l.pause() {
			return "", l.ctx.Err()
		}
	}
}

// pause waits for retryPause. It returns false if the clients are to stop.
func (l *load) pause() bool {
	select {
	case <-l.ctx.Done():
		return false
	case <-time.After(retryPause):
		return true
	}
}

// update changes the figures of a queue.
func (l *load) update(queue string, change func(*queueFigures)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l.figures[queue])
}

// settle waits until all jobs are over, at most for the timeout.
func (l *load) settle(timeout time.Duration) {
	over := make(chan struct{})
	go func() {
		l.jobs.Wait()
		close(over)
	}()
	select {
	case <-over:
	case <-time.After(timeout):
	}
}

// close stops the clients.
func (l *load) close() {
	l.cancel()
	l.jobs.Wait()
}

// exchange sends one request and returns the response.
func exchange(ctx context.Context, method, address, path, body string) (status int, answer string, err error) {
	return exchangeBy(ctx, &http.Client{Timeout: requestTimeout}, method, address, path, body)
}

// exchangeBy is exchange with the given HTTP client.
func exchangeBy(ctx context.Context, client *http.Client, method, address, path, body string) (status int, answer string, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, "", errors.Wrap(err, "create a request")
	}
	request.Host = Host
	request.Header.Set("Base-Version", "0")
	response, err := client.Do(request)
	if err != nil {
		return 0, "", errors.Wrap(err, "send a request")
	}
	defer func() { _ = response.Body.Close() }() // it has been read, or reading has failed
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), errors.Wrap(err, "read a response")
}
