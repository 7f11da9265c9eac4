package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// client sends requests on a connection that it keeps open until the dispatcher closes it.
type client struct {
	*deployment
	ctx       context.Context
	exchanges *exchanges
	jobs      *jobTracker
	configs   *configTracker
	random    *lockedRandom
	// longestPause bounds the pause between two requests. After a SIGTERM, the first request of a client with
	// long pauses arrives when the process is about to end.
	longestPause time.Duration

	open *connection // nil: none
	own  []*job      // its newest accepted jobs
}

// Limits of a client.
const (
	maxAttempts  = 4 // of submitting a job
	maxOwn       = 40
	redialPause  = 30 * time.Millisecond
	slowestBody  = 300 * time.Millisecond
	longestRetry = 400 * time.Millisecond
)

// run sends requests until the context ends.
func (c *client) run() {
	defer c.drop()
	for sleep(c.ctx, c.random.randomUpTo(c.longestPause)) {
		c.sendNext()
	}
}

// sendNext sends a request of a random kind; a submission may need several attempts.
func (c *client) sendNext() {
	const kinds = 20
	switch draw := c.random.intN(kinds); {
	case draw < 8 || len(c.own) == 0:
		c.submit()
	case draw < 15:
		c.askState(c.own[c.random.intN(len(c.own))])
	case draw < 16:
		c.cancel(c.own[c.random.intN(len(c.own))])
	case draw < 17:
		c.count()
	default:
		c.probe()
	}
}

// submit submits a job. If it is refused or gets no answer, submit retries after a pause.
func (c *client) submit() {
	j := c.jobs.add(c.random.intN(len(queues)), c.random.intN(len(shapes)))
	sent := request{method: http.MethodPost, path: j.path(), body: j.body}
	if c.random.intN(4) == 0 {
		sent.pause = c.random.randomUpTo(slowestBody)
	}
	for range maxAttempts {
		got, ok := c.send(sent)
		if ok {
			c.jobs.recordSubmit(j, &got)
		}
		if j.isAccepted() {
			c.own = append(c.own[max(0, len(c.own)+1-maxOwn):], j)
			return
		}
		if !sleep(c.ctx, c.random.randomUpTo(longestRetry)) {
			return
		}
	}
}

func (c *client) askState(j *job) {
	cancelled := j.isCancelled()
	if got, ok := c.send(request{method: http.MethodGet, path: j.path()}); ok {
		c.jobs.recordState(j, &got, cancelled)
	}
}

// askAll requests the states of accepted jobs that are not known to have ended, and returns how many of them
// are left. The jobs are divided among several askers by number.
func (c *client) askAll(asker, askers int) int {
	left := 0
	for number, j := range c.jobs.all() {
		if number%askers != asker || !j.isAccepted() || j.hasEnded() {
			continue
		}
		c.askState(j)
		if !j.hasEnded() {
			left++
		}
	}
	return left
}

func (c *client) cancel(j *job) {
	j.mu.Lock()
	j.cancelSent = true
	j.mu.Unlock()
	if got, ok := c.send(request{method: http.MethodDelete, path: j.path()}); ok {
		c.jobs.recordCancel(j, &got)
	}
}

// count requests the number of pending jobs of a queue.
func (c *client) count() {
	got, ok := c.send(request{method: http.MethodGet, path: queues[c.random.intN(len(queues))]})
	if ok && got.outcome == answered && got.status == http.StatusNotFound {
		c.findings.add(RuleConfig, "queue %s is unknown at %s", got.request.path, got.target)
	}
}

// probe requests the queue that only the newest configuration has, and one that only an older one had.
func (c *client) probe() {
	newest := c.configs.newest(time.Now().Add(-configApply))
	if newest == 0 {
		return
	}
	got, ok := c.send(request{method: http.MethodGet, path: versionPrefix(newest)})
	if ok && got.status == http.StatusNotFound && c.configs.isNewest(newest) && c.timeline.isUndisturbed(got.target, got.lastByte, got.ended) {
		c.findings.add(RuleConfig, "version %d is not in use at %s at %s", newest, got.target, c.timeline.at(got.lastByte))
	}
	if newest <= 1 {
		return
	}
	older := 1 + int64(c.random.intN(int(newest)-1))
	got, ok = c.send(request{method: http.MethodGet, path: versionPrefix(older)})
	if ok && got.status == http.StatusOK && c.timeline.isUndisturbed(got.target, got.lastByte, got.ended) {
		c.findings.add(RuleConfig, "version %d is in use at %s at %s although %d was acknowledged", older, got.target, c.timeline.at(got.lastByte), newest)
	}
}

// send sends a request on the open connection, or on a new one to any dispatcher. It returns false if the
// request was not sent completely.
func (c *client) send(r request) (Exchange, bool) {
	timeouts := []time.Duration{0, 800 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second}
	if c.open == nil && !c.connect() {
		return Exchange{}, false
	}
	r.host, r.timeout = clientHost, timeouts[c.random.intN(len(timeouts))]
	got, keep := c.open.exchange(r)
	c.exchanges.record(&got)
	if !keep {
		c.drop()
	}
	return got, got.outcome != unsent
}

// connect opens a connection to a random dispatcher; it makes as many attempts as there are dispatchers.
func (c *client) connect() bool {
	for range len(c.dispatchers) {
		m := c.dispatchers[c.random.intN(len(c.dispatchers))]
		opened, err := dial(c.ctx, m.ip, c.addresses.HTTP(m.ip))
		if err == nil {
			c.open = opened
			return true
		}
		if !sleep(c.ctx, redialPause) {
			return false
		}
	}
	return false
}

func (c *client) drop() {
	if c.open != nil {
		c.open.close()
		c.open = nil
	}
}

// reader reads the newest configuration from one node, on a connection that it keeps open.
type reader struct {
	*operator
	node *machine
}

// run sends requests until the context ends.
func (r *reader) run() {
	const longest = 400 * time.Millisecond
	var open *connection
	for sleep(r.ctx, r.random.randomUpTo(longest)) {
		if open == nil {
			open, _ = dial(r.ctx, r.node.ip, r.addresses.HTTP(r.node.ip)) // retried in the next iteration
			continue
		}
		if !r.ask(open) {
			open.close()
			open = nil
		}
	}
	if open != nil {
		open.close()
	}
}

func (r *reader) ask(open *connection) (keep bool) {
	wanted := r.configs.newest(time.Now().Add(-configApply))
	got, keep := open.exchange(request{method: http.MethodGet, path: "/-/config/get", host: r.node.ip})
	r.exchanges.record(&got)
	if got.outcome == answered && got.status == http.StatusOK && r.timeline.isUndisturbed(r.node.ip, got.lastByte, got.ended) {
		r.configs.checkContent(got.body, wanted, fmt.Sprintf("%s at %s", r.node.ip, r.timeline.at(got.lastByte)))
	}
	return keep
}
