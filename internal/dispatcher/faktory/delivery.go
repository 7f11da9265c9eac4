package faktory

import (
	"slices"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/settings"

	"github.com/valyala/fastjson"
)

// delivery is a flow at a worker: in its mailbox until it is fetched, then reserved until
// its ACK, its FAIL or the end of its reservation. The backlog's lock guards it.
type delivery struct {
	flow    *engine.Flow
	worker  *worker
	queue   string
	payload []byte // the job as FETCH returns it; nil until it is fetched
	fetched bool
	ended   bool        // the flow has ended, or no longer belongs to this worker
	timer   *time.Timer // returns it unfetched, or ends its reservation; nil: neither
}

// deliver gives a job to a FETCH that waits. If the job was submitted for another FETCH,
// deliver looks for another job for that one. The lock is held, here and below, except where a
// comment says otherwise.
func (ws *workers) deliver(f *pendingFetch, d *delivery) {
	ws.removeFetch(f)
	ws.reserve(d)
	f.delivered <- d
	id := d.flow.Transaction.ID
	other := ws.submittedFor[id]
	delete(ws.submittedFor, id)
	if other != nil && other != f {
		ws.satisfy(other)
	}
}

// reserve marks a delivery as fetched and starts its reservation.
func (ws *workers) reserve(d *delivery) {
	if d.timer != nil {
		d.timer.Stop()
	}
	d.fetched = true
	d.payload = workerPayload(d.flow.Transaction, d.queue)
	ws.reserved[d.flow.Transaction.ID] = d
	d.worker.reservedJobs++
	if t, ok := d.flow.Transaction.Client.(*task); ok {
		if !t.fetched {
			t.fetched = true
			ws.backlog.releaseUnfetched(d.queue)
		}
		ws.backlog.store.Started(t.job)
	}
	d.timer = time.AfterFunc(reservationTime(d.flow.Transaction, ws.config), func() { ws.endUnlessChanged(d, true, policy.TimedOut) })
}

// reservationTime returns how long a worker may keep a job without an ACK or FAIL. A job may ask
// for its own time (reserve_for, seconds); the protocol's minimum is one minute.
func reservationTime(t *engine.Transaction, config *settings.Faktory) time.Duration {
	if t.BodyFormat == jobBodyFormat {
		if v, err := fastjson.ParseBytes(t.Body); err == nil {
			if s := v.GetFloat64("reserve_for"); s > 0 {
				return max(secondsToDuration(s), min(minReservation, config.ReserveFor))
			}
		}
	}
	return config.ReserveFor
}

// extendReservation moves the end of a reservation. It reports false if the worker does not
// hold the job.
func (ws *workers) extendReservation(w *worker, jid string, until time.Time) bool {
	d := ws.reserved[jid]
	if d == nil || d.worker != w || d.ended {
		return false
	}
	d.timer.Stop()
	d.timer = time.AfterFunc(max(0, time.Until(until)), func() { ws.endUnlessChanged(d, true, policy.TimedOut) })
	return true
}

// endUnlessChanged ends a delivery with a status, unless it has ended or been fetched meanwhile:
// fetched is the state that the caller expects. Timers and sessions call it, without the lock.
func (ws *workers) endUnlessChanged(d *delivery, fetched bool, s policy.Status) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if d.fetched != fetched || !ws.endDelivery(d) {
		return
	}
	d.worker.mailbox = withoutDelivery(d.worker.mailbox, d)
	ws.engine.EndFlow(d.flow, s, nil)
}

// endDelivery drops a delivery and its reservation. It reports false if it had ended before.
func (ws *workers) endDelivery(d *delivery) bool {
	if d.ended {
		return false
	}
	d.ended = true
	if d.timer != nil {
		d.timer.Stop()
	}
	id := d.flow.Transaction.ID
	if ws.reserved[id] == d {
		delete(ws.reserved, id)
		d.worker.reservedJobs--
		ws.removeIfIdle(d.worker)
	}
	return true
}

// withoutDelivery removes a delivery from a mailbox.
func withoutDelivery(all []*delivery, d *delivery) []*delivery {
	return slices.DeleteFunc(all, func(o *delivery) bool { return o == d })
}

// returnUndelivered ends a delivery that did not reach its worker completely, so that it
// can't have run. The lock is not held.
func (ws *workers) returnUndelivered(d *delivery) { ws.endUnlessChanged(d, true, policy.ConnectFailed) }

// finish ends the delivery of a job that a worker holds. The first ACK or FAIL counts. It may
// arrive on any of the worker's connections, since a worker that lost its connection while it ran
// a job acknowledges on another. A worker whose reservation has ended can't end the
// delivery to another worker.
func (ws *workers) finish(w *worker, jid string, s policy.Status, result []byte) bool {
	d := ws.reserved[jid]
	if d == nil || d.worker != w || !ws.endDelivery(d) {
		return false
	}
	ws.engine.EndFlow(d.flow, s, result)
	return true
}

// reportStarted notifies the engine that a job has been written to its worker. The lock is not
// held.
func (ws *workers) reportStarted(d *delivery) { ws.engine.UpdateFlow(d.flow, policy.UpdateStarted, 0) }

// jobAnswered is called when the engine has answered a submitted job. If a FETCH still waits for
// that job, jobAnswered looks for another one.
func (ws *workers) jobAnswered(t *task) {
	if f := ws.submittedFor[t.id]; f != nil {
		delete(ws.submittedFor, t.id)
		ws.satisfy(f)
	}
}
