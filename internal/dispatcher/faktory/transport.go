package faktory

import (
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
)

// Start implements engine.Transport: the flow waits until its worker fetches it.
func (ws *workers) Start(f *engine.Flow) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	d := &delivery{flow: f, queue: f.Transaction.Capability}
	f.TransportState = d
	w := ws.byID[strings.TrimPrefix(f.Member.ID, memberIDPrefix)]
	d.worker = w
	if w == nil || w.quiet || w.connections == 0 || !w.queues[d.queue] || ws.isPaused(d.queue) {
		d.ended = true
		ws.engine.EndFlow(f, policy.Rejected, nil) // it never reached the worker
		return
	}
	for _, waiting := range w.fetches {
		if slices.Contains(waiting.queues, d.queue) {
			ws.deliver(waiting, d)
			return
		}
	}
	w.mailbox = append(w.mailbox, d)
	// A worker that is busy or stuck does not fetch. A job that it has not fetched has not
	// run and may go to another; fetched too late, it might run twice.
	deadline, status := time.Now().Add(ws.config.FetchIn), policy.Rejected
	if f.TooLate(deadline) {
		deadline, status = f.LatestSend, policy.NotSent
	}
	d.timer = time.AfterFunc(time.Until(deadline), func() { ws.endUnlessChanged(d, false, status) })
}

// Abandon implements engine.Transport. A worker can't be notified: one that has fetched the
// job continues, and its ACK has no effect.
func (ws *workers) Abandon(f *engine.Flow) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if d, ok := f.TransportState.(*delivery); ok && ws.endDelivery(d) && d.worker != nil {
		d.worker.mailbox = withoutDelivery(d.worker.mailbox, d)
	}
}

// EndedOutOfBand implements engine.Transport.
func (ws *workers) EndedOutOfBand(f *engine.Flow) { ws.Abandon(f) }

// Recall implements engine.Transport. A job that was not fetched has not run and returns at
// once; a worker that has fetched it can't be stopped, and its ACK counts.
func (ws *workers) Recall(f *engine.Flow) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if d, ok := f.TransportState.(*delivery); ok && !d.fetched && ws.endDelivery(d) && d.worker != nil {
		d.worker.mailbox = withoutDelivery(d.worker.mailbox, d)
		ws.engine.EndFlow(f, policy.NotSent, nil)
	}
}

// Probe implements engine.Transport: a worker that has a connection is healthy.
func (ws *workers) Probe(m *engine.Member) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	status := policy.ConnectFailed
	if w := ws.byID[strings.TrimPrefix(m.ID, memberIDPrefix)]; w != nil && w.connections > 0 {
		status = policy.OK
	}
	ws.engine.EndProbe(m, status, policy.Report{}, time.Now())
}
