package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// client sends requests on a connection that it keeps for as long as the dispatcher does.
type client struct {
	*deployment
	ctx       context.Context
	exchanges *exchanges
	jobs      *jobLedger
	ledger    *configLedger
	random    *lockedRandom
	// longestPause is between two requests. Clients with a long one use their connection for the first time
	// after a SIGTERM when the process is about to leave.
	longestPause time.Duration

	open *connection // nil: none
	own  []*job      // the newest jobs that it handed in and that were accepted
}

// Limits of a client.
const (
	maxAttempts  = 4 // of handing a job in
	maxOwn       = 40
	redialPause  = 30 * time.Millisecond
	slowestBody  = 300 * time.Millisecond
	longestRetry = 400 * time.Millisecond
)

// run sends requests until the context ends.
func (c *client) run() {
	defer c.drop()
	for pass(c.ctx, c.random.upTo(c.longestPause)) {
		c.act()
	}
}

// act sends one request, or several for a job that has to be handed in again.
func (c *client) act() {
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

// submit hands a job in, again after a pause where it was refused or had no answer.
func (c *client) submit() {
	j := c.jobs.add(c.random.intN(len(queues)), c.random.intN(len(shapes)))
	sent := request{method: http.MethodPost, path: j.path(), body: j.body}
	if c.random.intN(4) == 0 {
		sent.pause = c.random.upTo(slowestBody)
	}
	for range maxAttempts {
		got, ok := c.send(sent)
		if ok {
			c.jobs.noteSubmit(j, &got)
		}
		if j.isAccepted() {
			c.own = append(c.own[max(0, len(c.own)+1-maxOwn):], j)
			return
		}
		if !pass(c.ctx, c.random.upTo(longestRetry)) {
			return
		}
	}
}

func (c *client) askState(j *job) {
	cancelled := j.isCancelled()
	if got, ok := c.send(request{method: http.MethodGet, path: j.path()}); ok {
		c.jobs.noteState(j, &got, cancelled)
	}
}

// askAll asks for those accepted jobs of one asker among several that are not known to have ended, and returns
// how many are left.
func (c *client) askAll(asker, askers int) int {
	left := 0
	for number, j := range c.jobs.all() {
		if number%askers != asker || !j.isAccepted() || j.isOver() {
			continue
		}
		c.askState(j)
		if !j.isOver() {
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
		c.jobs.noteCancel(j, &got)
	}
}

// count asks a queue for its number of pending jobs.
func (c *client) count() {
	got, ok := c.send(request{method: http.MethodGet, path: queues[c.random.intN(len(queues))]})
	if ok && got.outcome == answered && got.status == http.StatusNotFound {
		c.findings.add(RuleConfig, "queue %s is not known at %s", got.request.path, got.target)
	}
}

// probe asks for the queue that the newest configuration alone has, and for one that it has no more.
func (c *client) probe() {
	newest := c.ledger.newest(time.Now().Add(-configApply))
	if newest == 0 {
		return
	}
	got, ok := c.send(request{method: http.MethodGet, path: versionPrefix(newest)})
	if ok && got.status == http.StatusNotFound && c.ledger.isNewest(newest) && c.timeline.isInTouch(got.target, got.lastByte, got.ended) {
		c.findings.add(RuleConfig, "version %d is not acted on at %s at %s", newest, got.target, c.timeline.at(got.lastByte))
	}
	if newest <= 1 {
		return
	}
	older := 1 + int64(c.random.intN(int(newest)-1))
	got, ok = c.send(request{method: http.MethodGet, path: versionPrefix(older)})
	if ok && got.status == http.StatusOK && c.timeline.isInTouch(got.target, got.lastByte, got.ended) {
		c.findings.add(RuleConfig, "version %d is acted on at %s at %s, and %d was acknowledged", older, got.target, c.timeline.at(got.lastByte), newest)
	}
}

// send sends a request on the open connection, or on a new one to any dispatcher. false: it was not sent
// whole.
func (c *client) send(r request) (Exchange, bool) {
	timeouts := []time.Duration{0, 800 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second}
	if c.open == nil && !c.connect() {
		return Exchange{}, false
	}
	r.host, r.timeout = clientHost, timeouts[c.random.intN(len(timeouts))]
	got, keep := c.open.exchange(r)
	c.exchanges.note(&got)
	if !keep {
		c.drop()
	}
	return got, got.outcome != unsent
}

// connect opens a connection to a dispatcher that accepts one.
func (c *client) connect() bool {
	for range len(c.dispatchers) {
		m := c.dispatchers[c.random.intN(len(c.dispatchers))]
		opened, err := dial(c.ctx, m.ip, c.addresses.HTTP(m.ip))
		if err == nil {
			c.open = opened
			return true
		}
		if !pass(c.ctx, redialPause) {
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

// reader asks one node for the newest configuration, on a connection that it keeps.
type reader struct {
	*operator
	node *machine
}

// run asks until the context ends.
func (r *reader) run() {
	const longest = 400 * time.Millisecond
	var open *connection
	for pass(r.ctx, r.random.upTo(longest)) {
		if open == nil {
			open, _ = dial(r.ctx, r.node.ip, r.addresses.HTTP(r.node.ip)) // tried again at the next turn
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
	wanted := r.ledger.newest(time.Now().Add(-configApply))
	got, keep := open.exchange(request{method: http.MethodGet, path: "/-/config/get", host: r.node.ip})
	r.exchanges.note(&got)
	if got.outcome == answered && got.status == http.StatusOK && r.timeline.isInTouch(r.node.ip, got.lastByte, got.ended) {
		r.ledger.checkContent(got.body, wanted, fmt.Sprintf("%s at %s", r.node.ip, r.timeline.at(got.lastByte)))
	}
	return keep
}
