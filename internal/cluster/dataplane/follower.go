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

// follower drives a dispatch.Follower: it asks core processes for the configuration.
type follower struct {
	*router.Watcher
	clock   func() time.Duration
	stop    chan struct{}
	clients rpc.ClientPool
}

const (
	feedSlack = 400 * time.Millisecond // beyond the wait that was asked for
	feedAgain = 60 * time.Millisecond
)

func newFollower(settings settings.Settings, log *slog.Logger, clock func() time.Duration) *follower {
	applyWithin := time.Duration(settings.Bounds.ConfigApplyMs) * time.Millisecond
	return &follower{
		Watcher: router.NewWatcher(settings.NodeName, settings.SeedAddresses(), applyWithin, log),
		clock:   clock, stop: make(chan struct{}),
	}
}

// run tails the feed until the process ends.
func (f *follower) run() {
	for {
		pause := f.poll()
		select {
		case <-f.stop:
			return
		case <-time.After(pause):
		}
	}
}

// poll asks once and returns how long to wait before the next time.
func (f *follower) poll() time.Duration {
	asked := f.clock()
	target, feed := f.NextRequest(asked)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(feed.WaitMs)*time.Millisecond+feedSlack)
	defer cancel()
	got, err := f.clients.Call(ctx, target, feed)
	answer, ok := got.(protocol.WatchResponse)
	if err != nil || !ok {
		f.RequestFailed(target, asked, f.clock())
		return feedAgain
	}
	if !f.HandleResponse(target, asked, answer) {
		return feedAgain
	}
	return 0
}

// current returns the view, if it may be acted on at this moment.
func (f *follower) current() (*router.View, bool) { return f.Current(f.clock()) }
