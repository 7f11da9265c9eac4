package leader_test

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"basaltloft/coord/replica"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/scheduler"
)

// This file has the simulation of the overload tests: a leader for which each cycle, order, reply, commit and
// submission costs processor time from a quota and is processed in the order of arrival. Runners and
// dispatchers are on other machines and cost nothing. The simulation uses virtual time and one goroutine and
// does not sleep.

// The processor quota of the leader's machine, and the cost of each kind of work.
const (
	quotaPeriod     = 100 * time.Millisecond
	quota           = 40 * time.Millisecond // per period: full speed until it is spent, then none until the next period
	cycleCost       = 300 * time.Microsecond
	receiveCost     = 100 * time.Microsecond // for each submission, whatever its outcome
	acceptCost      = 300 * time.Microsecond // to parse a job and add it to a batch
	sendCost        = 200 * time.Microsecond
	replyCost       = 150 * time.Microsecond
	commitCost      = 200 * time.Microsecond
	commitEntryCost = 20 * time.Microsecond // for each command of a batch
)

// Times of the deployment and of the packages controlplane and dataplane.
const (
	networkDelay    = 2 * time.Millisecond
	syncDelay       = 10 * time.Millisecond // of a majority's disks
	idleTick        = 50 * time.Millisecond
	pendingTick     = 3 * time.Millisecond
	startTimeout    = 300 * time.Millisecond
	leaseReplyGrace = 900 * time.Millisecond
	attemptTimeout  = 350 * time.Millisecond
	retryPause      = 25 * time.Millisecond
	retryTime       = 1260 * time.Millisecond
	clientPause     = time.Second // before a client retries after no response
	clientTries     = 5
	resendPause     = 2 * time.Second // after which an accepted job is sent again
)

// The one kind of job: its tasks, their run time and its objective.
const (
	tasksPerJob = 4
	taskTime    = 620 * time.Millisecond
	targetMs    = 250
	extension   = 1.5
	objective   = targetMs*time.Millisecond + taskTime*3/2
	quotaBody   = `{"spec":"x","stages":[{"count":4,"cpu":4000,"mem_mb":100,"estimate_ms":620}]}`
)

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// processorWork is a unit of work that waits for the leader's processor.
type processorWork struct {
	cost time.Duration
	do   func()
}

// quotaSimulation is the simulation. It implements leader.Group.
type quotaSimulation struct {
	now     time.Duration
	events  eventHeap
	lastSeq int
	random  *rand.Rand

	workQueue []processorWork // first in, first out
	busy      bool
	period    int64         // number of the current quota period
	spent     time.Duration // of the current period's quota

	shard       *leader.Shard
	cycleQueued bool          // a cycle is in workQueue
	nextTick    time.Duration // when the loop's timer fires

	runners      map[string]*quotaRunner
	clients      []*quotaClient
	ended        map[string]time.Duration // when jobs were completed
	wastedStarts int                      // start orders that started nothing
	startOrders  int                      // start orders that runners received
}

// quotaClient is one job of a client, with the responses to its submissions.
type quotaClient struct {
	id              string
	sentAt          time.Duration // when it was first sent
	tries           int
	accepted        bool
	resendStatus    protocol.Status // the response to the same job sent again after its acceptance
	refusals        int
	unknownOutcomes int // attempts whose outcome is not known
	// maxRefusalTime is the longest time until a refusal arrived.
	maxRefusalTime time.Duration
	// minRetryAfter is the shortest Retry-After of its refusals.
	minRetryAfter time.Duration
}

func newQuotaSimulation(runners int) *quotaSimulation {
	sim := &quotaSimulation{now: time.Hour, random: rand.New(rand.NewPCG(1, 2)), runners: map[string]*quotaRunner{}, ended: map[string]time.Duration{}}
	clocks := leader.Clocks{Monotonic: func() time.Duration { return sim.now }, UnixMs: func() int64 { return sim.now.Milliseconds() }}
	config := scheduler.Config{MaxLease: 6 * time.Second, RemoteSlowdown: 1, StatusRetention: 2 * time.Minute}
	sim.shard = leader.NewShard(protocol.ShardOf("desk"), config, clocks, sim.wake, slog.New(slog.DiscardHandler))
	sim.shard.SetGroup(sim)
	var list []protocol.Runner
	for i := range runners {
		r := &quotaRunner{sim: sim, id: fmt.Sprintf("i-%d", i), runs: map[job.TaskRef]scheduler.ReportedRun{}}
		sim.runners[r.id] = r
		list = append(list, protocol.Runner{ID: r.id, Service: "desk", Address: r.id, Capacity: job.Resources{CPU: runnerCPU, MemMB: 64000}})
	}
	sim.shard.UpdateRunners(list)
	sim.shard.BecameLeader(1)
	return sim
}

// Lease implements leader.Group. The lease is never lost.
func (sim *quotaSimulation) Lease() (uint64, time.Duration, bool) {
	return 1, sim.now + time.Second, true
}

// IsLeader implements leader.Group.
func (sim *quotaSimulation) IsLeader() bool { return true }

// Leader implements leader.Group.
func (sim *quotaSimulation) Leader() replica.Member { return replica.Member{Address: "leader"} }

// Propose implements leader.Group.
func (sim *quotaSimulation) Propose(entry []byte, done func(any, error)) {
	batch, err := job.DecodeBatch(entry)
	if err != nil {
		panic(err)
	}
	sim.later(syncDelay, func() {
		sim.enqueueWork(commitCost+time.Duration(len(batch.Commands))*commitEntryCost, func() {
			result, err := sim.shard.Apply(1, entry)
			sim.noteCompleted(batch)
			done(result, err)
		})
	})
}

func (sim *quotaSimulation) noteCompleted(batch job.Batch) {
	for _, command := range batch.Commands {
		if command.Kind != job.EndRun || sim.ended[command.Task.Job] > 0 {
			continue
		}
		if sim.state(command.Task.Job).State == job.StateCompleted {
			sim.ended[command.Task.Job] = sim.now
		}
	}
}

// state returns the response to a request for a job's state. It costs no processor time here.
func (sim *quotaSimulation) state(id string) (response protocol.JobResponse) {
	sim.shard.HandleJobRequest(protocol.JobRequest{Verb: protocol.GetJobState, Queue: "h/q/", ID: id, Version: 1}, func(r protocol.JobResponse) { response = r })
	return response
}

// later schedules do to be called after a delay.
func (sim *quotaSimulation) later(in time.Duration, do func()) {
	sim.lastSeq++
	heap.Push(&sim.events, simEvent{at: sim.now + in, seq: sim.lastSeq, do: do})
}

// run advances the virtual time by span and processes the events that fall due.
func (sim *quotaSimulation) run(span time.Duration) {
	end := sim.now + span
	for len(sim.events) > 0 && sim.events[0].at <= end {
		next := heap.Pop(&sim.events).(simEvent)
		sim.now = next.at
		next.do()
	}
	sim.now = end
}

// enqueueWork adds a unit of work to the end of the queue for the leader's processor.
func (sim *quotaSimulation) enqueueWork(cost time.Duration, do func()) {
	sim.workQueue = append(sim.workQueue, processorWork{cost: cost, do: do})
	if !sim.busy {
		sim.busy = true
		sim.processNext()
	}
}

func (sim *quotaSimulation) processNext() {
	next := sim.workQueue[0]
	sim.workQueue = sim.workQueue[1:]
	sim.later(sim.spend(next.cost), func() {
		next.do()
		if sim.busy = len(sim.workQueue) > 0; sim.busy {
			sim.processNext()
		}
	})
}

// spend takes processor time from the quota. It returns how long the work takes, including the time until the
// next period if the quota is spent.
func (sim *quotaSimulation) spend(cost time.Duration) time.Duration {
	at := sim.now
	for {
		if period := int64(at / quotaPeriod); period != sim.period {
			sim.period, sim.spent = period, 0
		}
		if left := quota - sim.spent; cost > left {
			cost -= left
			sim.spent = quota
			at = time.Duration(sim.period+1) * quotaPeriod
			continue
		}
		sim.spent += cost
		return at + cost - sim.now
	}
}

// wake is the shard's wake callback.
func (sim *quotaSimulation) wake() {
	if !sim.cycleQueued {
		sim.cycleQueued = true
		sim.enqueueWork(cycleCost, sim.cycle)
	}
}

// cycle is one iteration of the shard's loop. Sending an order is a separate unit of work, since the real loop
// sends each order from a separate goroutine.
func (sim *quotaSimulation) cycle() {
	sim.cycleQueued = false
	result := sim.shard.RunCycle()
	for _, order := range result.Orders {
		sim.enqueueWork(sendCost, func() { sim.send(result.Scheduler, order) })
	}
	pause := idleTick
	if result.CyclePending {
		pause = pendingTick
	}
	nextTick := sim.now + pause
	sim.nextTick = nextTick
	sim.later(pause, func() {
		if sim.nextTick == nextTick {
			sim.wake()
		}
	})
}

// send sends an order to its runner. Processing the reply is queued as work too.
func (sim *quotaSimulation) send(issuer *scheduler.Scheduler, order scheduler.Order) {
	if !sim.shard.MaySend(order) {
		panic("the lease is never lost here")
	}
	timeout := startTimeout
	if order.Kind == scheduler.OrderRenewLease {
		timeout = leaseReplyGrace + time.Duration(order.WaitMs)*time.Millisecond
	}
	expires := sim.now + timeout
	sim.later(networkDelay, func() {
		sim.runners[order.Runner].execute(order, func(deliver func(now time.Duration, s *scheduler.Scheduler, late bool)) {
			sim.later(networkDelay, func() {
				sim.enqueueWork(replyCost, func() {
					late := sim.now > expires
					sim.shard.OrderReplied(issuer, func(now time.Duration) { deliver(now, issuer, late) })
				})
			})
		})
	})
}

// submit sends a client's job to a dispatcher, which retries the request to the leader until it has a response
// or retryTime is over.
func (sim *quotaSimulation) submit(c *quotaClient) {
	c.tries++
	sim.attempt(c, sim.now, sim.now+retryTime)
}

func (sim *quotaSimulation) attempt(c *quotaClient, arrived, deadline time.Duration) {
	if sim.now >= deadline {
		c.unknownOutcomes++
		sim.retryLater(c, clientPause)
		return
	}
	request := sim.request(c)
	answered := false
	unknownOutcomes := c.unknownOutcomes
	sim.later(min(attemptTimeout, deadline-sim.now), func() {
		if !answered {
			answered = true
			c.unknownOutcomes = unknownOutcomes + 1
			sim.later(retryPause, func() { sim.attempt(c, arrived, deadline) })
		}
	})
	sim.later(networkDelay, func() {
		sim.enqueueWork(receiveCost, func() {
			enqueued := true
			defer func() {
				if enqueued {
					sim.enqueueWork(acceptCost, func() {})
				}
			}()
			sim.shard.Submit(request, func(response protocol.JobResponse) {
				enqueued = false
				sim.later(networkDelay, func() {
					if !answered {
						answered = true
						sim.answered(c, arrived, response)
					}
				})
			})
		})
	})
}

func (sim *quotaSimulation) answered(c *quotaClient, arrived time.Duration, response protocol.JobResponse) {
	if response.Status == http.StatusOK {
		c.accepted = true
		if c.id[len(c.id)-1] == '0' { // one in sixteen
			sim.later(resendPause, func() { sim.resend(c) })
		}
		return
	}
	if response.Status != http.StatusServiceUnavailable {
		panic(fmt.Sprintf("unexpected response to a submission: %+v", response))
	}
	retryAfter := time.Duration(response.RetryAfterMs) * time.Millisecond
	if c.unknownOutcomes == 0 { // otherwise its dispatcher replies that the outcome is unknown
		if c.refusals == 0 || retryAfter < c.minRetryAfter {
			c.minRetryAfter = retryAfter
		}
		c.refusals++
		c.maxRefusalTime = max(c.maxRefusalTime, sim.now-arrived)
	}
	sim.retryLater(c, retryAfter)
}

// resend sends an accepted job again, as clients sometimes do. It must not be refused any more.
func (sim *quotaSimulation) resend(c *quotaClient) {
	sim.later(networkDelay, func() {
		sim.enqueueWork(receiveCost, func() {
			sim.shard.Submit(sim.request(c), func(response protocol.JobResponse) { c.resendStatus = response.Status })
		})
	})
}

// request returns a dispatcher's request to the leader for a client's job.
func (sim *quotaSimulation) request(c *quotaClient) protocol.SubmitRequest {
	request := submitRequest(c.id, quotaBody, 1)
	request.Route = opconfig.Route{Host: "h", PathPrefix: "/q/", Backend: "desk", Retries: 3, TargetMs: targetMs, Extension: extension}
	return request
}

func (sim *quotaSimulation) retryLater(c *quotaClient, pause time.Duration) {
	if c.tries < clientTries && !c.accepted {
		sim.later(pause, func() { sim.submit(c) })
	}
}

// offer schedules submissions of perSecond jobs a second, at random times within span.
func (sim *quotaSimulation) offer(perSecond float64, span time.Duration) {
	for range int(perSecond * span.Seconds()) {
		sim.later(time.Duration(sim.random.Int64N(int64(span))), func() {
			c := &quotaClient{id: fmt.Sprintf("%016x", len(sim.clients)+1), sentAt: sim.now}
			sim.clients = append(sim.clients, c)
			sim.submit(c)
		})
	}
}

// runnerCPU is a runner's CPU capacity, in thousandths of a core: enough for eight tasks.
const runnerCPU = 32000

// quotaRunner is a simulated runner. Its clock is that of the simulation.
type quotaRunner struct {
	sim       *quotaSimulation
	id        string
	runs      map[job.TaskRef]scheduler.ReportedRun
	startedAt map[job.TaskRef]time.Duration
	finished  []scheduler.ReportedEnd
	number    uint64
	polls     []func()
}

type orderReply func(deliver func(now time.Duration, s *scheduler.Scheduler, late bool))

func (r *quotaRunner) execute(order scheduler.Order, reply orderReply) {
	switch order.Kind {
	case scheduler.OrderRenewLease:
		r.renewLease(order, reply)
	case scheduler.OrderStart:
		answer, clockMs := r.start(order), r.sim.now.Milliseconds()
		reply(func(now time.Duration, s *scheduler.Scheduler, late bool) {
			if late {
				answer, clockMs = scheduler.StartNoReply, 0
			}
			s.StartReplied(now, order, answer, clockMs)
		})
	case scheduler.OrderStop:
		if run, ok := r.runs[order.Task]; ok && run.Attempt == order.Attempt {
			r.end(order.Task, order.Attempt, job.EndStopped)
		}
		clockMs := r.sim.now.Milliseconds()
		reply(func(now time.Duration, s *scheduler.Scheduler, _ bool) {
			s.StopReplied(now, order, scheduler.StopConfirmed, clockMs)
		})
	}
}

func (r *quotaRunner) start(order scheduler.Order) scheduler.StartReply {
	sim := r.sim
	sim.startOrders++
	switch {
	case sim.now.Milliseconds() > order.DeadlineMs:
		sim.wastedStarts++
		return scheduler.StartRefused
	case len(r.runs) == runnerCPU/4000:
		sim.wastedStarts++
		return scheduler.StartNoCapacity
	}
	r.runs[order.Task] = scheduler.ReportedRun{Task: order.Task, Attempt: order.Attempt}
	if r.startedAt == nil {
		r.startedAt = map[job.TaskRef]time.Duration{}
	}
	r.startedAt[order.Task] = sim.now
	sim.later(taskTime, func() {
		if run, ok := r.runs[order.Task]; ok && run.Attempt == order.Attempt {
			r.end(order.Task, order.Attempt, job.EndDone)
		}
	})
	return scheduler.StartAccepted
}

func (r *quotaRunner) end(task job.TaskRef, attempt int, reason job.EndReason) {
	delete(r.runs, task)
	r.number++
	r.finished = append(r.finished, scheduler.ReportedEnd{Number: r.number, Task: task, Attempt: attempt, Reason: reason})
	polls := r.polls
	r.polls = nil
	for _, answer := range polls {
		answer()
	}
}

func (r *quotaRunner) renewLease(order scheduler.Order, reply orderReply) {
	kept := r.finished[:0]
	for _, end := range r.finished {
		if end.Number > order.AckedThrough {
			kept = append(kept, end)
		}
	}
	r.finished = kept
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered = true
		report := r.report()
		reply(func(now time.Duration, s *scheduler.Scheduler, late bool) {
			if late {
				s.LeaseReplied(now, order, scheduler.LeaseNoReply, scheduler.RunnerReport{})
				return
			}
			s.LeaseReplied(now, order, scheduler.LeaseRenewed, report)
		})
	}
	if order.WaitMs == 0 || len(r.finished) > 0 {
		answer()
		return
	}
	r.polls = append(r.polls, answer)
	r.sim.later(time.Duration(order.WaitMs)*time.Millisecond, answer)
}

func (r *quotaRunner) report() scheduler.RunnerReport {
	report := scheduler.RunnerReport{ClockMs: r.sim.now.Milliseconds(), Finished: append([]scheduler.ReportedEnd(nil), r.finished...)}
	for task, run := range r.runs {
		run.Percent = int(100 * (r.sim.now - r.startedAt[task]) / taskTime)
		report.Running = append(report.Running, run)
	}
	return report
}
