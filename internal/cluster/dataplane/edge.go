package dataplane

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/internal/cluster/settings"
)

// Dispatcher is one edge process.
type Dispatcher struct {
	settings settings.Settings
	log      *slog.Logger
	started  time.Time
	follower *follower
	leaving  atomic.Bool
}

// New returns an edge process that does not serve yet.
func New(settings settings.Settings, log *slog.Logger) *Dispatcher {
	e := &Dispatcher{settings: settings, log: log, started: time.Now()}
	e.follower = newFollower(settings, log, e.now)
	return e
}

func (e *Dispatcher) now() time.Duration { return time.Since(e.started) + time.Hour }

const (
	headerWithin = 5 * time.Second
	idleTimeout  = 60 * time.Second
	leaveMargin  = 1500 * time.Millisecond // before the platform's kill
	finishMargin = 400 * time.Millisecond
	leastLeaving = 2500 * time.Millisecond // until new connections have stopped coming
	headerBytes  = 32 << 10
)

// Run serves until the context ends; then it takes no new connections once the platform
// sends none, and finishes what it has.
func (e *Dispatcher) Run(ctx context.Context) error {
	front := &http.Server{
		Addr: e.settings.Listen.HTTP, Handler: &ingress{follower: e.follower, clock: e.now, leaving: e.leaving.Load, pause: time.Sleep},
		ReadHeaderTimeout: headerWithin, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
	}
	ready := &http.Server{Addr: e.settings.Listen.Readiness, Handler: http.HandlerFunc(e.serveReady), ReadHeaderTimeout: headerWithin}
	failed := make(chan error, 2)
	for _, server := range []*http.Server{front, ready} {
		go func() { failed <- server.ListenAndServe() }()
	}
	go e.follower.run()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve: check the addresses under listen")
	case <-ctx.Done():
	}
	return e.leave(front, ready)
}

// leave ends the process in order, within the grace that the platform gives.
func (e *Dispatcher) leave(front, ready *http.Server) error {
	grace := e.settings.Bounds.Grace()
	e.leaving.Store(true)
	e.log.Info("leaves", "grace", grace)
	time.Sleep(max(grace-leaveMargin-time.Second, min(leastLeaving, grace/2)))
	ctx, cancel := context.WithTimeout(context.Background(), max(leaveMargin-finishMargin, finishMargin))
	defer cancel()
	err := front.Shutdown(ctx)
	ready.Close()
	close(e.follower.stop)
	return errors.Wrap(err, "finish what was under way")
}

// serveReady tells whether this process can serve: it has a configuration that it may act on,
// and does not leave.
func (e *Dispatcher) serveReady(w http.ResponseWriter, _ *http.Request) {
	if _, ok := e.follower.current(); !ok || e.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Reload takes in settings that have changed.
func (e *Dispatcher) Reload(settings settings.Settings) {
	e.follower.UpdateSeeds(settings.SeedAddresses())
}
