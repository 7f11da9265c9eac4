package faktory

import (
	"log/slog"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/faktory/batch"
	"basaltloft/internal/dispatcher/faktory/sets"
	"basaltloft/internal/dispatcher/settings"
)

const (
	maxResultBytes     = 8 << 20 // of the results that are kept for TRACK
	maxOfferedToOthers = 64      // submitted jobs beyond those that a FETCH waits for
	maxBatches         = 10000   // that are not finished
	maxQueues          = 1000
)

// backlog connects the sets and the batches to the engine. A pushed job waits here until a
// FETCH waits for its queue, or pool members of other sources may run it; then it is
// submitted as a transaction like any other. The engine delivers its answer here:
// the job then has succeeded, is retried, or is dead.
//
// Its lock is the workers' too, so that a FETCH and a push can't miss each other. The
// engine's goroutine takes it to deliver answers and to start flows; calls of the engine
// never wait for that goroutine (except Do), so they are made with the lock held.
type backlog struct {
	engine       Engine
	transactions TransactionFactory
	config       *settings.Faktory
	log          *slog.Logger
	counters     *accounting.FrontCounters
	plans        PlanStarter // nil: no job may name a plan

	mu               sync.Mutex
	workers          *workers
	store            *sets.Store
	batches          *batch.Store
	tasks            map[string]*task // by jid: all that are known, including the finished ones
	finished         []*task          // oldest first
	resultBytes      int              // the size of the finished ones' results
	unfetched        map[string]int   // by queue: submitted and not fetched yet; never 0
	submitted        int              // how many jobs the engine has not answered yet
	promotionTimer   *time.Timer      // nil until runPromotions
	pendingCallbacks []batch.Callback // still to be pushed
	draining         bool             // no push is accepted any more

	pushed, processed, failures int64 // since the start, for INFO
}

// newBacklog returns an empty backlog with its workers.
func newBacklog(eng Engine, transactions TransactionFactory, config *settings.Faktory, counters *accounting.FrontCounters, log *slog.Logger) *backlog {
	b := &backlog{
		engine: eng, transactions: transactions, config: config, log: log, counters: counters,
		store:   sets.NewStore(storeLimits(config), uint64(time.Now().UnixNano())),
		batches: batch.NewStore(batch.Limits{Batches: maxBatches, Bytes: config.Waiting.Bytes}),
		tasks:   make(map[string]*task), unfetched: make(map[string]int),
	}
	b.workers = newWorkers(eng, config, b)
	return b
}

// storeLimits returns the limits that the settings give for the sets.
func storeLimits(config *settings.Faktory) sets.Limits {
	w := config.Waiting
	return sets.Limits{
		Jobs: w.Jobs, Bytes: w.Bytes, QueueJobs: w.QueueJobs, QueueBytes: w.QueueBytes,
		ClientJobs: w.ClientJobs, ClientBytes: w.ClientBytes, Queues: maxQueues,
		Dead: w.Dead, DeadBytes: w.DeadBytes, DeadRetention: w.DeadFor, BackoffUnit: config.BackoffUnit,
	}
}

// drain makes the backlog refuse further pushes, and logs how many waiting jobs will be lost when
// the process ends.
func (b *backlog) drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
	if n := b.store.Len(); n > 0 {
		b.log.Warn("waiting Faktory jobs will be lost when this process ends",
			"queued", n-b.store.Scheduled.Len()-b.store.Retries.Len(), "scheduled", b.store.Scheduled.Len(), "retries", b.store.Retries.Len())
	}
}
