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

	"basaltloft/internal/cluster/httpdrain"
	"basaltloft/internal/cluster/settings"
)

// Dispatcher is one dispatcher process.
type Dispatcher struct {
	settings         settings.Settings
	log              *slog.Logger
	started          time.Time
	watcher          *configWatcher
	draining         atomic.Bool  // set when the drain begins
	responseDeadline atomic.Int64 // the time, on its clock, by which all requests must have a response; never until the drain
}

// New returns a dispatcher that does not serve yet.
func New(settings settings.Settings, log *slog.Logger) *Dispatcher {
	d := &Dispatcher{settings: settings, log: log, started: time.Now()}
	d.responseDeadline.Store(int64(never))
	d.watcher = newConfigWatcher(settings, log, d.now)
	return d
}

// never is a time that the dispatcher's clock does not reach.
const never = time.Duration(math.MaxInt64)

// clockStart is the reading of the dispatcher's clock at its start. It isn't 0, which stands for "never"
// in package router.
const clockStart = time.Hour

// now returns the time of the dispatcher's monotonic clock.
func (d *Dispatcher) now() time.Duration { return time.Since(d.started) + clockStart }

// Limits of HTTP connections.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 32 << 10
)

// Durations within the grace period, the time that the platform leaves between SIGTERM and SIGKILL.
const (
	// drainMargin is reserved at the end of the grace period for the requests in progress.
	drainMargin = 1500 * time.Millisecond
	// exitMargin is reserved for the exit of the process.
	exitMargin = 400 * time.Millisecond
	// responseMargin is reserved between the last responses and the close of the connections.
	responseMargin = 200 * time.Millisecond
	// platformDelay is how long the platform may still send new connections after SIGTERM.
	platformDelay = time.Second
	// minDrainTime is the least time for which new connections are served, if the grace period is at
	// least twice as long.
	minDrainTime = 2500 * time.Millisecond
)

// Run serves until the context ends. It then continues to serve until the platform sends no more new
// connections, finishes the requests in progress, and returns. It returns an error if it can't listen,
// or if requests are unfinished at the end of the grace period.
func (d *Dispatcher) Run(ctx context.Context) error {
	clientServer := httpdrain.New(&http.Server{
		Addr: d.settings.Listen.HTTP, Handler: d.newClientHandler(),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
	readyServer := &http.Server{Addr: d.settings.Listen.Readiness, Handler: http.HandlerFunc(d.serveReady), ReadHeaderTimeout: headerTimeout}
	watchCtx, stopWatching := context.WithCancel(context.WithoutCancel(ctx)) // the watch continues during the drain
	failed := make(chan error, 2)
	var background sync.WaitGroup
	defer background.Wait()
	defer stopWatching()
	for _, server := range []server{clientServer, readyServer} {
		defer func() { _ = server.Close() }() // closes its listener; nothing is left to close after drain
		background.Go(func() { failed <- server.ListenAndServe() })
	}
	background.Go(func() { d.watcher.run(watchCtx) })
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve: check the addresses under listen")
	case <-ctx.Done():
		return d.drain(clientServer)
	}
}

// server is an HTTP server.
type server interface {
	ListenAndServe() error
	Close() error
}

func (d *Dispatcher) newClientHandler() *clientHandler {
	return &clientHandler{
		watcher: d.watcher, clock: d.now, draining: d.draining.Load, pause: time.Sleep,
		responseDeadline: func() time.Duration { return time.Duration(d.responseDeadline.Load()) },
	}
}

// drainTimes are the durations of the two phases of the drain.
type drainTimes struct {
	serve  time.Duration // in which new connections are served
	finish time.Duration // in which the requests in progress are finished
}

func newDrainTimes(grace time.Duration) drainTimes {
	serve := max(grace-drainMargin-platformDelay, min(minDrainTime, grace/2))
	return drainTimes{serve: serve, finish: max(0, grace-exitMargin-serve)}
}

// drain shuts down the server of clients within the grace period: it serves new connections for a time,
// then finishes the requests in progress.
func (d *Dispatcher) drain(clientServer *httpdrain.Server) error {
	grace := d.settings.Bounds.Grace()
	times := newDrainTimes(grace)
	d.responseDeadline.Store(int64(d.now() + times.serve + times.finish - responseMargin))
	d.draining.Store(true)
	d.log.Info("stopping", "grace", grace)
	time.Sleep(times.serve)
	return errors.Wrap(clientServer.Drain(times.finish), "finish the requests in progress")
}

// serveReady answers the platform's readiness probe: 200 if this process has a valid configuration and
// is not draining, else 503.
func (d *Dispatcher) serveReady(w http.ResponseWriter, _ *http.Request) {
	if _, valid := d.watcher.current(); !valid || d.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Reload applies changed settings. Only the seeds can change while the dispatcher runs.
func (d *Dispatcher) Reload(settings settings.Settings) {
	d.watcher.UpdateSeeds(settings.SeedAddresses())
}
