package simworld_test

import (
	"net/http"
	"time"

	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/router"
)

const (
	feedSlack  = 400 * time.Millisecond
	feedAgain  = 60 * time.Millisecond
	tryWithin  = 350 * time.Millisecond
	triesApart = 25 * time.Millisecond
	heldFor    = 1260 * time.Millisecond
)

// edge is a dispatcher: it drives a follower and clients' calls, as package dataplane does.
type edge struct {
	*process
	follower *router.Watcher
	highest  int64 // version that this life has acted on
}

func (w *world) addEdge(name string) *edge {
	e := &edge{process: w.addProcess(name)}
	e.start = func() {
		e.follower = router.NewWatcher(name, w.seeds(), w.bounds.applyWithin, w.log)
		e.highest = 0
		e.poll()
	}
	w.edges = append(w.edges, e)
	return e
}

func (e *edge) poll() {
	asked := e.steady()
	target, feed := e.follower.NextRequest(asked)
	e.call(target, time.Duration(feed.WaitMs)*time.Millisecond+feedSlack, func(reply func(any)) { e.serveAt(target, feed, reply) }, func(answer any, ok bool) {
		got, _ := answer.(protocol.WatchResponse)
		pause := feedAgain
		switch {
		case !ok:
			e.follower.RequestFailed(target, asked, e.steady())
		case e.follower.HandleResponse(target, asked, got):
			pause = 0
		}
		e.after(pause, e.poll)
	})
}

func (e *edge) serveAt(target string, message any, reply func(any)) {
	if c := e.w.coreNamed(target); c != nil {
		c.serve(message, reply)
	}
}

// current returns the view that may be acted on at this moment, and checks that it may be.
func (e *edge) current(sent time.Duration) (*router.View, bool) {
	v, ok := e.follower.Current(e.steady())
	if !ok {
		return nil, false
	}
	e.w.config.checkActedOn(e, v.Config.Version, sent)
	return v, true
}

// request is a client's request at an edge.
type request struct {
	queue    string
	sent     time.Duration // by the client
	deadline time.Duration // by the edge's clock
	build    func(*router.View, *opconfig.Route) *router.Call
	reply    func(protocol.JobResponse)
}

// take serves a client's request.
func (e *edge) take(r request) {
	r.deadline = e.steady() + heldFor
	v, ok := e.current(r.sent)
	if !ok {
		r.reply(protocol.JobResponse{Status: http.StatusServiceUnavailable})
		return
	}
	route, ok := v.Config.Route(r.queue)
	if !ok {
		r.reply(protocol.JobResponse{Status: http.StatusNotFound})
		return
	}
	e.pass(r, r.build(v, route), v)
}

// pass asks owners by turns until the call has its answer.
func (e *edge) pass(r request, call *router.Call, v *router.View) {
	now := e.steady()
	if now >= r.deadline {
		r.reply(call.TimeoutResponse())
		return
	}
	shard, message := call.Next()
	target := e.follower.LeaderOf(shard, now)
	e.call(target, min(tryWithin, r.deadline-now), func(reply func(any)) { e.serveAt(target, message, reply) }, func(answer any, ok bool) {
		got, _ := answer.(protocol.JobResponse)
		progress := router.Retry
		switch {
		case !ok:
			if e.w.mistake != refusedAfterUnknown {
				call.NoResponse()
			}
			e.follower.LeaderUnresponsive(shard, target, now, e.steady())
		case got.Status == 0:
			e.follower.UpdateLeader(shard, target, got.Owner)
		default:
			got, progress = call.HandleResponse(got)
		}
		switch progress {
		case router.Finished:
			r.reply(got)
		case router.ConfigOutdated:
			e.awaitNewer(r, call, v, got.Moved)
		case router.Continue:
			e.pass(r, call, v)
		default:
			e.after(triesApart, func() { e.pass(r, call, v) })
		}
	})
}

// awaitNewer begins a call anew once a newer configuration has come.
func (e *edge) awaitNewer(r request, call *router.Call, v *router.View, wanted int64) {
	if e.steady() >= r.deadline {
		r.reply(call.TimeoutResponse())
		return
	}
	newer, ok := e.current(r.sent)
	if !ok || newer.Config.Version <= v.Config.Version || newer.Config.Version < wanted {
		e.after(triesApart, func() { e.awaitNewer(r, call, v, wanted) })
		return
	}
	route, ok := newer.Config.Route(r.queue)
	if !ok {
		r.reply(call.TimeoutResponse())
		return
	}
	again := r.build(newer, route)
	again.InheritOutcome(call)
	e.pass(r, again, newer)
}
