package faktory

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/settings"
)

const (
	// SourceName is the engine's name for the pool members that are Faktory workers.
	SourceName = "faktory"
	// memberIDPrefix is put before a wid, so that it differs from other pool members' ids.
	memberIDPrefix = "faktory/"
)

// Engine is the part of the dispatcher's engine that the front uses (engine.Engine documents the
// methods). Do waits for the engine's goroutine; the others don't.
type Engine interface {
	Submit(*engine.Transaction)
	Do(func())
	HasOtherSources(source string) bool
	EndFlow(f *engine.Flow, s policy.Status, result []byte)
	UpdateFlow(f *engine.Flow, kind policy.UpdateKind, progress float64)
	EndProbe(m *engine.Member, s policy.Status, r policy.Report, sentAt time.Time)
	UpdateMembers(source string, kind policy.ListKind, entries []*engine.Member)
}

// workers are the Faktory workers as pool members. It implements engine.Transport.
type workers struct {
	engine  Engine
	config  *settings.Faktory
	backlog *backlog
	mu      *sync.Mutex // the backlog's

	byID           map[string]*worker
	reserved       map[string]*delivery     // by jid: fetched and not ended
	waitingFetches map[string]int           // by queue: how many FETCHes wait; never 0
	submittedFor   map[string]*pendingFetch // by jid: the FETCH that a job was submitted for
}

// worker is the Faktory worker with one wid, over all of its connections.
type worker struct {
	id            string
	connections   int             // open ones
	queues        map[string]bool // that it has ever fetched from
	inPool        bool            // the engine lists it as a member
	quiet         bool            // it has announced that it fetches no more
	mailbox       []*delivery     // routed to it and not fetched yet
	fetches       []*pendingFetch // that wait
	reservedJobs  int             // how many jobs it has fetched and not ended
	lastHeartbeat time.Time
	rssKB         int64
	hello         hello
}

// newWorkers returns the workers of a backlog, whose lock they share.
func newWorkers(eng Engine, config *settings.Faktory, b *backlog) *workers {
	return &workers{
		engine: eng, config: config, backlog: b, mu: &b.mu, byID: make(map[string]*worker), reserved: make(map[string]*delivery),
		waitingFetches: make(map[string]int), submittedFor: make(map[string]*pendingFetch),
	}
}

// connect adds a connection of a worker. The worker keeps the reservations that it had when it lost
// its last connection.
func (ws *workers) connect(h hello) *worker {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := ws.byID[h.workerID]
	if w == nil {
		w = &worker{id: h.workerID, queues: make(map[string]bool), hello: h}
		ws.byID[h.workerID] = w
	}
	w.lastHeartbeat = time.Now()
	if w.connections++; w.connections == 1 && !w.quiet {
		w.inPool = false // its next FETCH lists it again
	}
	return w
}

// disconnect removes a connection of a worker. With the last one, jobs that were not fetched return to
// the engine: they can't have run. Those that were fetched stay reserved until they are
// acknowledged or their reservation ends.
func (ws *workers) disconnect(w *worker) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if w.connections--; w.connections > 0 {
		return
	}
	ws.returnUnfetched(w)
	if w.inPool {
		ws.updateMember(w, policy.Removed)
		w.inPool = false
	}
	ws.removeIfIdle(w)
}

// removeIfIdle forgets a worker that has neither a connection nor a reservation.
func (ws *workers) removeIfIdle(w *worker) {
	if w.connections > 0 || w.reservedJobs > 0 {
		return
	}
	if ws.byID[w.id] == w {
		delete(ws.byID, w.id)
	}
}

// stopFetching marks a worker as one that fetches no more. Nothing new may reach it while it
// drains, so the jobs that it has not fetched return to the engine at once.
func (ws *workers) stopFetching(w *worker) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if w.quiet {
		return
	}
	w.quiet = true
	if w.inPool {
		ws.updateMember(w, policy.Draining)
	}
	ws.returnUnfetched(w)
}

// returnUnfetched empties a worker's mailbox. The lock is held.
func (ws *workers) returnUnfetched(w *worker) {
	for _, d := range w.mailbox {
		ws.endDelivery(d)
		ws.engine.EndFlow(d.flow, policy.Rejected, nil)
	}
	w.mailbox = nil
}

// updateMember updates a worker's entry in the engine's pool. The lock is held.
func (ws *workers) updateMember(w *worker, state policy.MemberState) {
	ws.engine.UpdateMembers(SourceName, policy.ListDelta, []*engine.Member{{
		ID: memberIDPrefix + w.id, Kind: ws.config.Kind, Zone: ws.config.Zone, Cell: ws.dedupCell(w), State: state, Weight: 1, Transport: ws,
		Capabilities: ws.capabilities(w),
	}})
}

// capabilities returns the queues whose jobs a worker may get: those that it fetches from and
// that are not paused.
func (ws *workers) capabilities(w *worker) []string {
	queues := []string{}
	for q := range w.queues {
		if !ws.isPaused(q) {
			queues = append(queues, q)
		}
	}
	slices.Sort(queues)
	return queues
}

// isPaused reports whether an operator has paused a queue.
func (ws *workers) isPaused(queue string) bool {
	q := ws.backlog.store.FindQueue(queue)
	return q != nil && q.Paused
}

// updateCapabilities updates all workers' entries in the pool after a pause or its end.
func (ws *workers) updateCapabilities() {
	for _, w := range ws.byID {
		if w.inPool && !w.quiet {
			ws.updateMember(w, policy.Ready)
		}
	}
}

// dedupCell returns the number of the worker's deduplication group, whose pool members together
// drop repeats of a keyed job. Unless the operator's settings name a group whose deduplication the
// workers really share, each worker is a group of its own: a job that may have run must not go to
// another worker, which would run it again.
func (ws *workers) dedupCell(w *worker) int {
	if ws.config.Cell != 0 {
		return ws.config.Cell
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(w.id)) // a hash never fails
	return -1 - int(h.Sum32())
}

// heartbeat records a worker's BEAT; quiet is whether the worker announces that it fetches no more.
func (ws *workers) heartbeat(w *worker, quiet bool, rssKB int64) {
	ws.mu.Lock()
	w.lastHeartbeat, w.rssKB = time.Now(), rssKB
	ws.mu.Unlock()
	if quiet {
		ws.stopFetching(w)
	}
}

// remainingWork returns what a worker may still have to do while the dispatcher drains: the
// jobs in all mailboxes, and those that it has reserved.
func (ws *workers) remainingWork(w *worker) (inMailboxes, reserved int) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, other := range ws.byID {
		inMailboxes += len(other.mailbox)
	}
	return inMailboxes, w.reservedJobs
}

// counts returns the numbers of workers, of jobs in mailboxes, and of reserved jobs. The lock is held.
func (ws *workers) counts() (workers, inMailboxes, reserved int) {
	for _, w := range ws.byID {
		inMailboxes += len(w.mailbox)
	}
	return len(ws.byID), inMailboxes, len(ws.reserved)
}
