package dataplane

import (
	"context"
	"log/slog"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/internal/cluster/settings"
)

// Dispatcher is one dispatcher process.
type Dispatcher struct {
	settings settings.Settings
	log      *slog.Logger
	started  time.Time
	watcher  *configWatcher
	draining atomic.Bool  // it has been told to stop
	answerBy atomic.Int64 // on its clock: when each request has to be answered; never until it is to stop
}

// New returns a dispatcher that does not serve yet.
func New(settings settings.Settings, log *slog.Logger) *Dispatcher {
	d := &Dispatcher{settings: settings, log: log, started: time.Now()}
	d.answerBy.Store(int64(never))
	d.watcher = newConfigWatcher(settings, log, d.now)
	return d
}

// never is a time that the dispatcher's clock does not reach.
const never = time.Duration(math.MaxInt64)

// clockStart is what the dispatcher's clock shows at its start; 0 stands for "never" in router.
const clockStart = time.Hour

// now returns the time of the dispatcher's monotonic clock.
func (d *Dispatcher) now() time.Duration { return time.Since(d.started) + clockStart }

// Limits of HTTP connections.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 32 << 10
)

// Times of a stop, within the grace that the platform gives until it kills the process.
const (
	// drainMargin is kept free at the end of the grace for the requests under way.
	drainMargin = 1500 * time.Millisecond
	// exitMargin is kept free for the exit itself.
	exitMargin = 400 * time.Millisecond
	// answerMargin is kept free between the last answers and the end of the connections.
	answerMargin = 200 * time.Millisecond
	// platformDelay is how long the platform may go on sending new connections.
	platformDelay = time.Second
	// minDrainTime is how long new connections are served at least, on a grace of twice that.
	minDrainTime = 2500 * time.Millisecond
)

// Run serves until the context ends. Then it goes on serving until the platform sends no new
// connections any more, finishes the requests under way, and returns. It returns an error where
// it can't listen or where requests are left when the grace is over.
func (d *Dispatcher) Run(ctx context.Context) error {
	front := &http.Server{
		Addr: d.settings.Listen.HTTP, Handler: d.newClientHandler(),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	ready := &http.Server{Addr: d.settings.Listen.Readiness, Handler: http.HandlerFunc(d.serveReady), ReadHeaderTimeout: headerTimeout}
	watchCtx, stopWatching := context.WithCancel(context.WithoutCancel(ctx)) // it goes on while this process leaves
	failed := make(chan error, 2)
	var background sync.WaitGroup
	defer background.Wait()
	defer stopWatching()
	for _, server := range []*http.Server{front, ready} {
		defer func() { _ = server.Close() }() // its listener; after leave there is nothing to close
		background.Go(func() { failed <- server.ListenAndServe() })
	}
	background.Go(func() { d.watcher.run(watchCtx) })
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve: check the addresses under listen")
	case <-ctx.Done():
		return d.drain(front)
	}
}

func (d *Dispatcher) newClientHandler() *clientHandler {
	return &clientHandler{
		watcher: d.watcher, clock: d.now, draining: d.draining.Load, pause: time.Sleep,
		answerBy: func() time.Duration { return time.Duration(d.answerBy.Load()) },
	}
}

// drainTimes are the spans of a stop.
type drainTimes struct {
	serve  time.Duration // new connections are served
	finish time.Duration // requests under way are finished
}

func newDrainTimes(grace time.Duration) drainTimes {
	serve := max(grace-drainMargin-platformDelay, min(minDrainTime, grace/2))
	return drainTimes{serve: serve, finish: max(0, grace-exitMargin-serve)}
}

// drain stops the server of clients in order, within the grace that the platform gives.
func (d *Dispatcher) drain(front *http.Server) error {
	grace := d.settings.Bounds.Grace()
	times := newDrainTimes(grace)
	d.answerBy.Store(int64(d.now() + times.serve + times.finish - answerMargin))
	d.draining.Store(true)
	d.log.Info("stopping", "grace", grace)
	time.Sleep(times.serve)
	ctx, cancel := context.WithTimeout(context.Background(), times.finish)
	defer cancel()
	return errors.Wrap(front.Shutdown(ctx), "finish what was under way")
}

// serveReady tells the platform whether this process can serve: it has a configuration that it
// may act on, and has not been told to stop.
func (d *Dispatcher) serveReady(w http.ResponseWriter, _ *http.Request) {
	if _, valid := d.watcher.current(); !valid || d.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Reload applies settings that have changed: the seeds alone may change while it runs.
func (d *Dispatcher) Reload(settings settings.Settings) {
	d.watcher.UpdateSeeds(settings.SeedAddresses())
}
