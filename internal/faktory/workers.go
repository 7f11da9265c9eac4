package faktory

import (
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"basaltloft"
	"basaltloft/internal/core"
	"basaltloft/internal/settings"
)

const (
	// Source is the name of Faktory's workers in the core.
	Source = "faktory"
	// prefix keeps a wid apart from the ids of other pool members.
	prefix = "faktory/"
)

// Hub is what the front needs of the core.
type Hub interface {
	Submit(*core.Transaction)
	Sync(func())
	End(f *core.Flow, s basaltloft.Status, result []byte)
	Note(f *core.Flow, topic basaltloft.NoteTopic, share float64)
	Probed(m *core.Member, s basaltloft.Status, sentAt time.Time)
	List(source string, kind basaltloft.ListKind, entries []*core.Member)
}

// workers are the Faktory workers as pool members. It implements core.Carrier.
type workers struct {
	hub Hub
	set *settings.Faktory

	mu   sync.Mutex
	byID map[string]*worker
	held map[string]*errand // fetched and not ended, by jid
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
}

// errand is a flow at a worker.
type errand struct {
	flow    *core.Flow
	worker  *worker
	queue   string
	fetched bool
	over    bool
	timer   *time.Timer // hands it back unfetched, or ends its reservation
}

// fetch is a FETCH that waits for a job.
type fetch struct {
	queues []string
	got    chan *errand // room for one
}

func newWorkers(hub Hub, set *settings.Faktory) *workers {
	return &workers{hub: hub, set: set, byID: make(map[string]*worker), held: make(map[string]*errand)}
}

// connect counts a connection of a worker. What the worker held before it
// lost its last one is still its own.
func (ws *workers) connect(id string) *worker {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := ws.byID[id]
	if w == nil {
		w = &worker{id: id, queues: make(map[string]bool)}
		ws.byID[id] = w
	}
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
		ws.list(w, basaltloft.Removed)
		w.listed = false
	}
	ws.forget(w)
}

// forget drops a worker that is not connected and holds nothing.
func (ws *workers) forget(w *worker) {
	if w.connections > 0 {
		return
	}
	for _, e := range ws.held {
		if e.worker == w {
			return
		}
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
		ws.list(w, basaltloft.Draining)
	}
	ws.handBack(w)
}

func (ws *workers) handBack(w *worker) {
	for _, e := range w.mailbox {
		ws.over(e)
		ws.hub.End(e.flow, basaltloft.Full, nil)
	}
	w.mailbox = nil
}

func (ws *workers) list(w *worker, state basaltloft.MemberState) {
	ws.hub.List(Source, basaltloft.ListChange, []*core.Member{{
		ID: prefix + w.id, Kind: ws.set.Kind, Zone: ws.set.Zone, Cell: ws.cell(w), State: state, Weight: 1, Carrier: ws,
	}})
}

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
		ws.forget(e.worker)
	}
	return true
}

// Start implements core.Carrier: the flow waits to be fetched.
func (ws *workers) Start(f *core.Flow) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	e := &errand{flow: f, queue: queueOf(f.Transaction, ws.set)}
	f.Carried = e
	w := ws.byID[strings.TrimPrefix(f.Member.ID, prefix)]
	if e.worker = w; w == nil || w.quiet || w.connections == 0 || !w.queues[e.queue] {
		e.over = true
		ws.hub.End(f, basaltloft.Full, nil) // it never reached the worker
		return
	}
	for i, waiting := range w.fetches {
		if slices.Contains(waiting.queues, e.queue) {
			w.fetches = slices.Delete(w.fetches, i, i+1)
			ws.hand(e)
			waiting.got <- e
			return
		}
	}
	w.mailbox = append(w.mailbox, e)
	// A worker that is busy or stuck does not fetch. What it has not fetched
	// has not run and may go elsewhere.
	e.timer = time.AfterFunc(ws.set.FetchIn, func() { ws.drop(e, false, basaltloft.Full) })
}

// hand marks an errand as fetched: its reservation runs from here.
func (ws *workers) hand(e *errand) {
	if e.timer != nil {
		e.timer.Stop()
	}
	e.fetched = true
	ws.held[e.flow.Transaction.ID] = e
	e.timer = time.AfterFunc(reservation(e.flow.Transaction, ws.set), func() { ws.drop(e, true, basaltloft.TimedOut) })
}

// drop ends an errand with a status, if it is still in that state.
func (ws *workers) drop(e *errand, fetched bool, s basaltloft.Status) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if e.fetched != fetched || !ws.over(e) {
		return
	}
	e.worker.mailbox = without(e.worker.mailbox, e)
	ws.hub.End(e.flow, s, nil)
}

func without(all []*errand, e *errand) []*errand {
	return slices.DeleteFunc(all, func(o *errand) bool { return o == e })
}

// Abandon implements core.Carrier. A worker can't be told: one that has
// fetched the job goes on, and its ACK counts nothing.
func (ws *workers) Abandon(f *core.Flow) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if e, ok := f.Carried.(*errand); ok && ws.over(e) && e.worker != nil {
		e.worker.mailbox = without(e.worker.mailbox, e)
	}
}

// Recall implements core.Carrier. What was not fetched has not run and comes
// back at once; a worker can't be told to stop, and its ACK counts.
func (ws *workers) Recall(f *core.Flow) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if e, ok := f.Carried.(*errand); ok && !e.fetched && ws.over(e) && e.worker != nil {
		e.worker.mailbox = without(e.worker.mailbox, e)
		ws.hub.End(f, basaltloft.Moot, nil)
	}
}

// Probe implements core.Carrier: a worker with a connection is there.
func (ws *workers) Probe(m *core.Member) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	s := basaltloft.ConnectFailed
	if w := ws.byID[strings.TrimPrefix(m.ID, prefix)]; w != nil && w.connections > 0 {
		s = basaltloft.OK
	}
	ws.hub.Probed(m, s, time.Now())
}

// fetch takes a job for a worker, or waits for one. A worker joins the pool by
// its first fetch, which says what it works on.
func (ws *workers) fetch(w *worker, queues []string) *fetch {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	f := &fetch{queues: queues, got: make(chan *errand, 1)}
	if w.quiet {
		return f
	}
	for _, q := range queues {
		w.queues[q] = true
	}
	if !w.listed {
		w.listed = true
		ws.list(w, basaltloft.Ready)
	}
	for i, e := range w.mailbox {
		if slices.Contains(queues, e.queue) {
			w.mailbox = slices.Delete(w.mailbox, i, i+1)
			ws.hand(e)
			f.got <- e
			return f
		}
	}
	w.fetches = append(w.fetches, f)
	return f
}

// unfetch ends a wait. It returns the job that came in the meantime, if any.
func (ws *workers) unfetch(w *worker, f *fetch) *errand {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w.fetches = slices.DeleteFunc(w.fetches, func(o *fetch) bool { return o == f })
	select {
	case e := <-f.got:
		return e
	default:
		return nil
	}
}

// started tells that a fetched job is on its way to its worker.
func (ws *workers) started(e *errand) { ws.hub.Note(e.flow, basaltloft.NoteStarted, 0) }

// undelivered takes back a job that did not reach its worker whole.
func (ws *workers) undelivered(e *errand) { ws.drop(e, true, basaltloft.ConnectFailed) }

// finish ends the errand of a worker that holds a jid. The first ACK or FAIL
// counts; it may come by any of the worker's connections, since one that lost
// its connection in the middle of a job acknowledges on another. Another
// worker, whose reservation has ended, can't end it.
func (ws *workers) finish(w *worker, jid string, s basaltloft.Status, result []byte) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	e := ws.held[jid]
	if e == nil || e.worker != w || !ws.over(e) {
		return false
	}
	ws.hub.End(e.flow, s, result)
	return true
}

// working tells whether a worker holds a jid.
func (ws *workers) working(jid string) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.held[jid] != nil
}

// tally counts workers, waiting and held jobs.
func (ws *workers) tally() (there, waiting, held int) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, w := range ws.byID {
		waiting += len(w.mailbox)
	}
	return len(ws.byID), waiting, len(ws.held)
}
