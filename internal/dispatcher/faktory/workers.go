package faktory

import (
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/settings"
)

const (
	// Source is the name of Faktory's workers in the core.
	Source = "faktory"
	// prefix keeps a wid apart from the ids of other pool members.
	prefix = "faktory/"
)

// Hub is what the front needs of the core.
type Hub interface {
	Submit(*engine.Transaction)
	Do(func())
	HasOtherSources(source string) bool
	EndFlow(f *engine.Flow, s policy.Status, result []byte)
	UpdateFlow(f *engine.Flow, topic policy.UpdateKind, share float64)
	EndProbe(m *engine.Member, s policy.Status, r policy.Report, sentAt time.Time)
	UpdateMembers(source string, kind policy.ListKind, entries []*engine.Member)
}

// workers are the Faktory workers as pool members. It implements core.Carrier.
type workers struct {
	hub  Hub
	set  *settings.Faktory
	back *backlog
	mu   *sync.Mutex // the backlog's

	byID     map[string]*worker
	held     map[string]*errand // fetched and not ended, by jid
	wants    map[string]int     // FETCHes that wait, by queue
	promised map[string]*fetch  // that a job was handed to the core for, by jid
}

// worker is one wid, over all of its connections.
type worker struct {
	id          string
	connections int
	queues      map[string]bool // that it has fetched from
	listed      bool
	quiet       bool // it takes nothing new
	mailbox     []*errand
	fetches     []*fetch // that wait
	holding     int      // jobs that it has fetched
	since       time.Time
	beat        time.Time
	rssKB       int64
	hello       hello
}

// errand is a flow at a worker.
type errand struct {
	flow    *engine.Flow
	worker  *worker
	queue   string
	job     []byte // as it is written to the worker
	fetched bool
	over    bool
	timer   *time.Timer // hands it back unfetched, or ends its reservation
}

// fetch is a FETCH that waits for a job.
type fetch struct {
	worker *worker
	queues []string
	got    chan *errand // room for one
}

func newWorkers(hub Hub, set *settings.Faktory, back *backlog) *workers {
	return &workers{
		hub: hub, set: set, back: back, mu: &back.mu, byID: make(map[string]*worker), held: make(map[string]*errand),
		wants: make(map[string]int), promised: make(map[string]*fetch),
	}
}

// connect counts a connection of a worker. What the worker held before it
// lost its last one is still its own.
func (ws *workers) connect(h hello) *worker {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := ws.byID[h.worker]
	if w == nil {
		w = &worker{id: h.worker, queues: make(map[string]bool), since: time.Now(), hello: h}
		ws.byID[h.worker] = w
	}
	w.beat = time.Now()
	if w.connections++; w.connections == 1 && !w.quiet {
		w.listed = false // it is listed again by its next fetch
	}
	return w
}

// disconnect counts a connection out. With the last one, what waits unfetched
// goes back: it can't have run. What was fetched stays until it is
// acknowledged or its reservation ends.
func (ws *workers) disconnect(w *worker) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if w.connections--; w.connections > 0 {
		return
	}
	ws.handBack(w)
	if w.listed {
		ws.list(w, policy.Removed)
		w.listed = false
	}
	ws.forget(w)
}

// forget drops a worker that is not connected and holds nothing.
func (ws *workers) forget(w *worker) {
	if w.connections > 0 || w.holding > 0 {
		return
	}
	if ws.byID[w.id] == w {
		delete(ws.byID, w.id)
	}
}

// calm takes in that a worker fetches no more. Within the drain window nothing
// new may reach it, so what waits unfetched goes back at once.
func (ws *workers) calm(w *worker) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if w.quiet {
		return
	}
	w.quiet = true
	if w.listed {
		ws.list(w, policy.Draining)
	}
	ws.handBack(w)
}

func (ws *workers) handBack(w *worker) {
	for _, e := range w.mailbox {
		ws.over(e)
		ws.hub.EndFlow(e.flow, policy.Rejected, nil)
	}
	w.mailbox = nil
}

func (ws *workers) list(w *worker, state policy.MemberState) {
	ws.hub.UpdateMembers(Source, policy.ListDelta, []*engine.Member{{
		ID: prefix + w.id, Kind: ws.set.Kind, Zone: ws.set.Zone, Cell: ws.cell(w), State: state, Weight: 1, Transport: ws,
		Capabilities: ws.offers(w),
	}})
}

// offers are the queues that a worker may have jobs of: those that it fetches
// from and that are not paused.
func (ws *workers) offers(w *worker) []string {
	offers := []string{}
	for q := range w.queues {
		if !ws.paused(q) {
			offers = append(offers, q)
		}
	}
	slices.Sort(offers)
	return offers
}

func (ws *workers) paused(queue string) bool {
	q := ws.back.book.FindQueue(queue)
	return q != nil && q.Paused
}

// offer tells the decisions anew what all workers may have, after a pause.
func (ws *workers) offer() {
	for _, w := range ws.byID {
		if w.listed && !w.quiet {
			ws.list(w, policy.Ready)
		}
	}
}

// wanting counts the FETCHes that wait for a queue.
func (ws *workers) wanting(queue string) int { return ws.wants[queue] }

// cell is the group that drops repeats of a keyed job. Unless the operator
// names one that the workers really share, each is a group of its own: a job
// that may have run must not be sent to another, which would run it again.
func (ws *workers) cell(w *worker) int {
	if ws.set.Cell != 0 {
		return ws.set.Cell
	}
	h := fnv.New32a()
	h.Write([]byte(w.id))
	return -1 - int(h.Sum32())
}

// over ends an errand's part here. It reports whether it was not over before.
func (ws *workers) over(e *errand) bool {
	if e.over {
		return false
	}
	e.over = true
	if e.timer != nil {
		e.timer.Stop()
	}
	id := e.flow.Transaction.ID
	if ws.held[id] == e {
		delete(ws.held, id)
		e.worker.holding--
		ws.forget(e.worker)
	}
	return true
}

// ended tells that a job that was handed to the core has its answer. It reports
// whether it was fetched; if not, who waited for it is served otherwise.
func (ws *workers) ended(t *task) {
	if f := ws.promised[t.id]; f != nil {
		delete(ws.promised, t.id)
		ws.serve(f)
	}
}

// Start implements core.Carrier: the flow waits to be fetched.
func (ws *workers) Start(f *engine.Flow) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	e := &errand{flow: f, queue: f.Transaction.Capability}
	f.TransportState = e
	w := ws.byID[strings.TrimPrefix(f.Member.ID, prefix)]
	if e.worker = w; w == nil || w.quiet || w.connections == 0 || !w.queues[e.queue] || ws.paused(e.queue) {
		e.over = true
		ws.hub.EndFlow(f, policy.Rejected, nil) // it never reached the worker
		return
	}
	for _, waiting := range w.fetches {
		if slices.Contains(waiting.queues, e.queue) {
			ws.give(waiting, e)
			return
		}
	}
	w.mailbox = append(w.mailbox, e)
	// A worker that is busy or stuck does not fetch. What it has not fetched
	// has not run and may go elsewhere; one that it fetches too late might run again.
	until, ends := time.Now().Add(ws.set.FetchIn), policy.Rejected
	if f.TooLate(until) {
		until, ends = f.LatestSend, policy.NotSent
	}
	e.timer = time.AfterFunc(time.Until(until), func() { ws.drop(e, false, ends) })
}

// give gives a job to a FETCH that waits. Whoever else waited for this job is
// served otherwise.
func (ws *workers) give(f *fetch, e *errand) {
	ws.unwait(f)
	ws.hand(e)
	f.got <- e
	id := e.flow.Transaction.ID
	other := ws.promised[id]
	delete(ws.promised, id)
	if other != nil && other != f {
		ws.serve(other)
	}
}

// unwait takes a FETCH out of those that wait.
func (ws *workers) unwait(f *fetch) {
	i := slices.Index(f.worker.fetches, f)
	if i < 0 {
		return
	}
	f.worker.fetches = slices.Delete(f.worker.fetches, i, i+1)
	for _, q := range f.queues {
		if ws.wants[q]--; ws.wants[q] <= 0 {
			delete(ws.wants, q)
		}
	}
}

// serve looks for a job for a FETCH that waits, by the order of its queues: what
// the worker has in its mailbox, or what waits in the backlog, which goes to the
// core and may come from there to this worker.
func (ws *workers) serve(f *fetch) {
	w := f.worker
	if !slices.Contains(w.fetches, f) {
		return
	}
	for _, q := range f.queues {
		if ws.paused(q) {
			continue
		}
		for i, e := range w.mailbox {
			if e.queue == q && !e.flow.TooLate(time.Now()) {
				w.mailbox = slices.Delete(w.mailbox, i, i+1)
				ws.give(f, e)
				return
			}
		}
		if ws.back.waiting[q] < ws.wants[q] {
			if id := ws.back.feedOne(q); id != "" {
				ws.promised[id] = f
				return
			}
		}
	}
}

// hand marks an errand as fetched: its reservation runs from here.
func (ws *workers) hand(e *errand) {
	if e.timer != nil {
		e.timer.Stop()
	}
	e.fetched = true
	e.job = forWorker(e.flow.Transaction, e.queue)
	ws.held[e.flow.Transaction.ID] = e
	e.worker.holding++
	if t, ok := e.flow.Transaction.Client.(*task); ok {
		if !t.fetched {
			t.fetched = true
			ws.back.fetched(e.queue)
		}
		ws.back.book.Started(t.job)
	}
	e.timer = time.AfterFunc(reservation(e.flow.Transaction, ws.set), func() { ws.drop(e, true, policy.TimedOut) })
}

// drop ends an errand with a status, if it is still in that state.
func (ws *workers) drop(e *errand, fetched bool, s policy.Status) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if e.fetched != fetched || !ws.over(e) {
		return
	}
	e.worker.mailbox = without(e.worker.mailbox, e)
	ws.hub.EndFlow(e.flow, s, nil)
}

func without(all []*errand, e *errand) []*errand {
	return slices.DeleteFunc(all, func(o *errand) bool { return o == e })
}

// Abandon implements core.Carrier. A worker can't be told: one that has
// fetched the job goes on, and its ACK counts nothing.
func (ws *workers) Abandon(f *engine.Flow) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if e, ok := f.TransportState.(*errand); ok && ws.over(e) && e.worker != nil {
		e.worker.mailbox = without(e.worker.mailbox, e)
	}
}

// EndedOutOfBand implements core.Carrier.
func (ws *workers) EndedOutOfBand(f *engine.Flow) { ws.Abandon(f) }

// Recall implements core.Carrier. What was not fetched has not run and comes
// back at once; a worker can't be told to stop, and its ACK counts.
func (ws *workers) Recall(f *engine.Flow) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if e, ok := f.TransportState.(*errand); ok && !e.fetched && ws.over(e) && e.worker != nil {
		e.worker.mailbox = without(e.worker.mailbox, e)
		ws.hub.EndFlow(f, policy.NotSent, nil)
	}
}

// Probe implements core.Carrier: a worker with a connection is there.
func (ws *workers) Probe(m *engine.Member) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	s := policy.ConnectFailed
	if w := ws.byID[strings.TrimPrefix(m.ID, prefix)]; w != nil && w.connections > 0 {
		s = policy.OK
	}
	ws.hub.EndProbe(m, s, policy.Report{}, time.Now())
}

// fetch takes a job for a worker, or waits for one. A worker joins the pool by
// its first fetch, which says what it works on.
func (ws *workers) fetch(w *worker, queues []string) *fetch {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	f := &fetch{worker: w, queues: queues, got: make(chan *errand, 1)}
	if w.quiet {
		return f
	}
	news := !w.listed
	for _, q := range queues {
		if !w.queues[q] {
			w.queues[q], news = true, true
		}
	}
	if news {
		w.listed = true
		ws.list(w, policy.Ready)
	}
	w.fetches = append(w.fetches, f)
	for _, q := range queues {
		ws.wants[q]++
	}
	ws.serve(f)
	return f
}

// unfetch ends a wait. It returns the job that came in the meantime, if any.
func (ws *workers) unfetch(w *worker, f *fetch) *errand {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.unwait(f)
	select {
	case e := <-f.got:
		return e
	default:
		return nil
	}
}

// started tells that a fetched job is on its way to its worker.
func (ws *workers) started(e *errand) { ws.hub.UpdateFlow(e.flow, policy.UpdateStarted, 0) }

// undelivered takes back a job that did not reach its worker whole.
func (ws *workers) undelivered(e *errand) { ws.drop(e, true, policy.ConnectFailed) }

// finish ends the errand of a worker that holds a jid. The first ACK or FAIL
// counts; it may come by any of the worker's connections, since one that lost
// its connection in the middle of a job acknowledges on another. Another
// worker, whose reservation has ended, can't end it. The lock is held.
func (ws *workers) finish(w *worker, jid string, s policy.Status, result []byte) bool {
	e := ws.held[jid]
	if e == nil || e.worker != w || !ws.over(e) {
		return false
	}
	ws.hub.EndFlow(e.flow, s, result)
	return true
}

// extend makes the reservation of a job that a worker holds last until a time.
func (ws *workers) extend(w *worker, jid string, until time.Time) bool {
	e := ws.held[jid]
	if e == nil || e.worker != w || e.over {
		return false
	}
	e.timer.Stop()
	e.timer = time.AfterFunc(max(0, time.Until(until)), func() { ws.drop(e, true, policy.TimedOut) })
	return true
}

// serveAll looks for jobs for all FETCHes that wait for a queue.
func (ws *workers) serveAll(queue string) {
	for _, w := range ws.byID {
		for _, f := range slices.Clone(w.fetches) {
			if slices.Contains(f.queues, queue) {
				ws.serve(f)
			}
		}
	}
}

// beat takes in a worker's heartbeat.
func (ws *workers) beat(w *worker, calm bool, rssKB int64) {
	ws.mu.Lock()
	w.beat, w.rssKB = time.Now(), rssKB
	ws.mu.Unlock()
	if calm {
		ws.calm(w)
	}
}

// left tells what is still to be done for a worker that is to end: jobs that it
// may yet fetch, and those that it holds.
func (ws *workers) left(w *worker) (waiting, held int) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, o := range ws.byID {
		waiting += len(o.mailbox)
	}
	return waiting, w.holding
}

// tally counts workers, waiting and held jobs. The lock is held.
func (ws *workers) tally() (there, waiting, held int) {
	for _, w := range ws.byID {
		waiting += len(w.mailbox)
	}
	return len(ws.byID), waiting, len(ws.held)
}
