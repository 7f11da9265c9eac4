package lab

import (
	"math/rand/v2"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// gate is the admission control of Elnikety, Nahum, Tracey and Zwaenepoel, "A Method for
// Transparent Admission Control and Request Scheduling in E-Commerce Web Sites" (WWW 2004),
// as a baseline: a request is admitted if the expected time of its class fits the free part
// of a capacity that was measured beforehand, and waits in an admission queue otherwise.
// The expected time of a class is a moving average of the times from admission to the end.
type gate struct {
	basicPolicy
	// maxDelay limits overtaking: later requests may delay a waiting one by at most as many
	// times its own expected time. 0 means first in, first out.
	maxDelay  float64
	capacity  float64 // largest sum of the admitted requests' expected times, in nanoseconds
	load      float64 // sum of the admitted requests' expected times
	queue     []*gateEntry
	latencies map[string]*movingAverage // by class
	admitted  map[string]*gateEntry     // by request ID
}

// gateEntry is a request that waits or is admitted. Times are in nanoseconds.
type gateEntry struct {
	job        *basicJob
	expected   float64
	delayed    float64 // sum of the expected times of the requests that overtook it
	admittedAt time.Duration
}

// movingAverage is the mean of the last averageWindow values.
type movingAverage struct {
	sum  float64
	last []float64
	next int
}

const averageWindow = 50

// queueCheckInterval is the interval at which expired requests are removed from the queue.
const queueCheckInterval = 50 * time.Millisecond

func (a *movingAverage) add(value float64) {
	if len(a.last) < averageWindow {
		a.last = append(a.last, value)
	} else {
		a.sum -= a.last[a.next]
		a.last[a.next] = value
		a.next = (a.next + 1) % averageWindow
	}
	a.sum += value
}

func (a *movingAverage) mean() float64 { return a.sum / float64(max(1, len(a.last))) }

// newGate returns a maker of gates with the experiment's capacity; see gate.maxDelay.
func newGate(delayLimit float64) PolicyMaker {
	return func(w *World, h policy.Host, _ int, seed uint64) (Policy, error) {
		g := &gate{maxDelay: delayLimit, capacity: float64(w.experiment.Capacity), latencies: make(map[string]*movingAverage), admitted: make(map[string]*gateEntry)}
		g.basicPolicy = basicPolicy{world: w, host: h, random: rand.New(rand.NewPCG(seed, 37)), jobs: make(map[string]*basicJob), pick: func(p *basicPolicy, from []*memberView, _ float64) *memberView {
			return least(p, from, func(m *memberView) float64 { return float64(m.inFlight) })
		}}
		return g, nil
	}
}

// expectedTime returns the moving average of a class, or its mean work as long as none of its
// requests has ended.
func (g *gate) expectedTime(c *Class) float64 {
	if a := g.latencies[c.Name]; a != nil {
		return a.mean()
	}
	return float64(c.MeanWork)
}

// HandleRequest implements Policy.
func (g *gate) HandleRequest(now time.Duration, r policy.Request) {
	j := &basicJob{Request: r, class: g.classOf(r.Class)}
	g.jobs[r.ID] = j
	entry := &gateEntry{job: j, expected: g.expectedTime(j.class)}
	i := len(g.queue)
	for i > 0 && g.queue[i-1].expected > entry.expected && g.queue[i-1].delayed+entry.expected <= g.maxDelay*g.queue[i-1].expected {
		i--
	}
	g.queue = append(g.queue, nil)
	copy(g.queue[i+1:], g.queue[i:])
	g.queue[i] = entry
	for _, overtaken := range g.queue[i+1:] {
		overtaken.delayed += entry.expected
	}
	g.admit(now)
}

// tooLate reports whether a waiting request must end now because it could no longer be sent
// in time at the next check of the queue.
func (g *gate) tooLate(now time.Duration, entry *gateEntry) bool {
	return now >= entry.job.Deadline-queueCheckInterval-sendMargin
}

// admit admits requests from the head of the queue as long as they fit the capacity. If no
// request is admitted, the head is admitted regardless of its expected time.
func (g *gate) admit(now time.Duration) {
	for len(g.queue) > 0 {
		entry := g.queue[0]
		if entry.expected = g.expectedTime(entry.job.class); g.load > 0 && g.load+entry.expected > g.capacity {
			return
		}
		g.queue = g.queue[1:]
		if g.jobs[entry.job.ID] != entry.job {
			continue // its client is gone
		}
		if g.tooLate(now, entry) {
			g.finishWithoutResult(entry.job)
			continue
		}
		entry.admittedAt = now
		g.load += entry.expected
		g.admitted[entry.job.ID] = entry
		g.send(now, entry.job)
	}
}

// HandleAttemptResult implements Policy.
func (g *gate) HandleAttemptResult(now time.Duration, o policy.AttemptResult) {
	if entry := g.admitted[o.Request]; entry != nil {
		if o.Status == policy.OK {
			a := g.latencies[entry.job.Class]
			if a == nil {
				a = &movingAverage{}
				g.latencies[entry.job.Class] = a
			}
			a.add(float64(now - entry.admittedAt))
		}
		g.basicPolicy.HandleAttemptResult(now, o)
		if g.jobs[o.Request] == nil { // it was not sent again
			delete(g.admitted, o.Request)
			if g.load -= entry.expected; len(g.admitted) == 0 {
				g.load = 0
			}
		}
	}
	g.admit(now)
}

// HandleTimer implements Policy.
func (g *gate) HandleTimer(now time.Duration, _ string) {
	waiting := g.queue[:0]
	for _, entry := range g.queue {
		if g.tooLate(now, entry) {
			g.finishWithoutResult(entry.job)
			continue
		}
		waiting = append(waiting, entry)
	}
	clear(g.queue[len(waiting):])
	g.queue = waiting
	g.host.Timer(queueCheckInterval, "queue")
}

// HandleMembers implements Policy.
func (g *gate) HandleMembers(now time.Duration, kind policy.ListKind, entries []policy.Member) {
	if g.started == 0 {
		g.started = now
		g.host.Timer(queueCheckInterval, "queue")
	}
	g.basicPolicy.HandleMembers(now, kind, entries)
}
