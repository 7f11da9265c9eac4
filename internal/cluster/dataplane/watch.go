package dataplane

import (
	"context"
	"log/slog"
	"time"

	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/router"
	"basaltloft/internal/cluster/settings"
)

// configWatcher drives a router.Watcher: it sends the watch requests.
type configWatcher struct {
	*router.Watcher
	clock func() time.Duration
	nodes rpc.ClientPool // connections to the control-plane nodes
}

const (
	// watchGrace is how long a response may take beyond the requested wait.
	watchGrace = 400 * time.Millisecond
	// watchRetry is the pause after a request that the leader did not answer.
	watchRetry = 60 * time.Millisecond
)

func newConfigWatcher(settings settings.Settings, log *slog.Logger, clock func() time.Duration) *configWatcher {
	applyWithin := time.Duration(settings.Bounds.ConfigApplyMs) * time.Millisecond
	return &configWatcher{
		Watcher: router.NewWatcher(settings.NodeName, settings.SeedAddresses(), applyWithin, log),
		clock:   clock,
	}
}

// run watches the configuration until the context ends.
func (w *configWatcher) run(ctx context.Context) {
	for {
		pause := w.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// poll sends one watch request and returns how long to wait before the next.
func (w *configWatcher) poll(ctx context.Context) time.Duration {
	sentAt := w.clock()
	address, request := w.NextRequest(sentAt)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond+watchGrace)
	defer cancel()
	got, err := w.nodes.Call(ctx, address, request)
	response, ok := got.(protocol.WatchResponse)
	if err != nil || !ok {
		w.RequestFailed(address, sentAt, w.clock())
		return watchRetry
	}
	if isLeader := w.HandleResponse(address, sentAt, response); !isLeader {
		return watchRetry
	}
	return 0
}

// current returns the view and whether it is valid now.
func (w *configWatcher) current() (*router.View, bool) { return w.Current(w.clock()) }
