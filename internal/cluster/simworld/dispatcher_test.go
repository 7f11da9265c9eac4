package simworld_test

import (
	"net/http"
	"time"

	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/router"
)

// Times of a dispatcher, as in package dataplane.
const (
	watchGrace     = 400 * time.Millisecond
	watchRetry     = 60 * time.Millisecond
	attemptTimeout = 350 * time.Millisecond
	retryPause     = 25 * time.Millisecond
	retryTime      = 1260 * time.Millisecond
)

// dispatcher is a dispatcher process: it drives a router.Watcher and clients' calls, as package
// dataplane does.
type dispatcher struct {
	*process
	watcher        *router.Watcher
	highestVersion int64 // highest version that this incarnation has used
}

// addDispatcher adds a dispatcher, which is not started yet.
func (w *world) addDispatcher(name string) *dispatcher {
	d := &dispatcher{process: w.addProcess(name)}
	d.start = func() {
		d.watcher = router.NewWatcher(name, w.seeds(), w.deployment.applyWithin, w.log)
		d.highestVersion = 0
		d.poll()
	}
	w.dispatchers = append(w.dispatchers, d)
	return d
}

// poll sends a watch request, and the next one after its response or timeout.
func (d *dispatcher) poll() {
	sentAt := d.readClock()
	target, watchRequest := d.watcher.NextRequest(sentAt)
	d.call(target, time.Duration(watchRequest.WaitMs)*time.Millisecond+watchGrace, func(reply func(any)) { d.sendTo(target, watchRequest, reply) }, func(answer any, ok bool) {
		got, _ := answer.(protocol.WatchResponse)
		pause := watchRetry
		switch {
		case !ok:
			d.watcher.RequestFailed(target, sentAt, d.readClock())
		case d.watcher.HandleResponse(target, sentAt, got):
			pause = 0
		}
		d.after(pause, d.poll)
	})
}

// sendTo delivers a message to the node with that address.
func (d *dispatcher) sendTo(target string, message any, reply func(any)) {
	if c := d.w.nodeNamed(target); c != nil {
		c.serve(message, reply)
	}
}

// current returns the view if it is valid, and checks that its version may be used for a request that
// was sent at the given time.
func (d *dispatcher) current(sent time.Duration) (*router.View, bool) {
	v, ok := d.watcher.Current(d.readClock())
	if !ok {
		return nil, false
	}
	d.w.config.checkVersionInUse(d, v.Config.Version, sent)
	return v, true
}

// request is a client's request at a dispatcher.
type request struct {
	queue    string
	sentAt   time.Duration // by the client
	deadline time.Duration // by the dispatcher's clock
	newCall  func(*router.View, *opconfig.Route) *router.Call
	reply    func(protocol.JobResponse)
}

// serve serves a client's request.
func (d *dispatcher) serve(r request) {
	r.deadline = d.readClock() + retryTime
	v, ok := d.current(r.sentAt)
	if !ok {
		r.reply(protocol.JobResponse{Status: http.StatusServiceUnavailable})
		return
	}
	route, ok := v.Config.Route(r.queue)
	if !ok {
		r.reply(protocol.JobResponse{Status: http.StatusNotFound})
		return
	}
	d.attempt(r, r.newCall(v, route), v)
}

// attempt sends the call's next request, and retries until the call has its response or the deadline
// has passed.
func (d *dispatcher) attempt(r request, call *router.Call, v *router.View) {
	now := d.readClock()
	if now >= r.deadline {
		r.reply(call.TimeoutResponse())
		return
	}
	shard, message := call.Next()
	target := d.watcher.LeaderOf(shard, now)
	d.call(target, min(attemptTimeout, r.deadline-now), func(reply func(any)) { d.sendTo(target, message, reply) }, func(answer any, ok bool) {
		got, _ := answer.(protocol.JobResponse)
		progress := router.Retry
		switch {
		case !ok:
			if d.w.planted != refusedAfterUnknown {
				call.NoResponse()
			}
			d.watcher.LeaderUnresponsive(shard, target, now, d.readClock())
		case got.Status == protocol.StatusNotLeader:
			d.watcher.UpdateLeader(shard, target, got.Owner)
		default:
			got, progress = call.HandleResponse(got)
		}
		switch progress {
		case router.Finished:
			r.reply(got)
		case router.ConfigOutdated:
			d.awaitNewerView(r, call, v, got.Moved)
		case router.Continue:
			d.attempt(r, call, v)
		default:
			d.after(retryPause, func() { d.attempt(r, call, v) })
		}
	})
}

// awaitNewerView waits for a view with the wanted version and replaces the call by one based on it.
func (d *dispatcher) awaitNewerView(r request, call *router.Call, v *router.View, wanted int64) {
	if d.readClock() >= r.deadline {
		r.reply(call.TimeoutResponse())
		return
	}
	newer, ok := d.current(r.sentAt)
	if !ok || newer.Config.Version <= v.Config.Version || newer.Config.Version < wanted {
		d.after(retryPause, func() { d.awaitNewerView(r, call, v, wanted) })
		return
	}
	route, ok := newer.Config.Route(r.queue)
	if !ok {
		r.reply(call.TimeoutResponse())
		return
	}
	again := r.newCall(newer, route)
	again.InheritOutcome(call)
	d.attempt(r, again, newer)
}
