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

// The world of the overload tests: a leader whose every cycle, order, reply, commit and submission costs
// processor time out of a quota, and is served in the order of its coming. Runners and dispatchers are
// elsewhere and cost nothing. Virtual time, one goroutine, no sleeping.

// What the leader's machine spends, and has.
const (
	quotaPeriod     = 100 * time.Millisecond
	quota           = 40 * time.Millisecond // a period: full speed until it is spent, then nothing
	cycleCost       = 300 * time.Microsecond
	receiveCost     = 100 * time.Microsecond // a submission, whatever becomes of it
	acceptCost      = 300 * time.Microsecond // to read a job and put it into a batch
	sendCost        = 200 * time.Microsecond
	replyCost       = 150 * time.Microsecond
	commitCost      = 200 * time.Microsecond
	commitEntryCost = 20 * time.Microsecond // each command of a batch
)

// Times of the deployment and of its drivers (packages controlplane and dataplane).
const (
	networkDelay    = 2 * time.Millisecond
	syncDelay       = 10 * time.Millisecond // a majority's disks
	idleTick        = 50 * time.Millisecond
	pendingTick     = 3 * time.Millisecond
	startTimeout    = 300 * time.Millisecond
	leaseReplyGrace = 900 * time.Millisecond
	attemptTimeout  = 350 * time.Millisecond
	retryPause      = 25 * time.Millisecond
	retryTime       = 1260 * time.Millisecond
	clientPause     = time.Second // of a client that was not answered
	clientTries     = 5
	resendPause     = 2 * time.Second // after which an accepted job is sent once more
)

// The one kind of job: its tasks, what they take, and what it is promised.
const (
	tasksPerJob = 4
	taskTime    = 620 * time.Millisecond
	targetMs    = 250
	extension   = 1.5
	objective   = targetMs*time.Millisecond + taskTime*3/2
	quotaBody   = `{"spec":"x","stages":[{"count":4,"cpu":4000,"mem_mb":100,"estimate_ms":620}]}`
)

type worldEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []worldEvent

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(worldEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// processorWork is a piece of work that waits for the leader's processor.
type processorWork struct {
	cost time.Duration
	do   func()
}

// quotaWorld is the whole of it. It implements leader.Group.
type quotaWorld struct {
	now    time.Duration
	events eventHeap
	serial int
	random *rand.Rand

	line   []processorWork // first come, first served
	busy   bool
	period int64
	spent  time.Duration // of the period's quota

	shard     *leader.Shard
	loopWaits bool          // a cycle waits in the line
	tick      time.Duration // when the loop's timer fires

	runners map[string]*quotaRunner
	clients []*quotaClient
	ended   map[string]time.Duration // when jobs were completed
	wasted  int                      // orders to start that started nothing
	started int
}

// quotaClient is one job of a client, and what it was told.
type quotaClient struct {
	id       string
	sentAt   time.Duration // first
	tries    int
	accepted bool
	resent   protocol.Status // the response to the same job, sent once more after its acceptance
	refusals int
	unclear  int // tries whose outcome is not known
	// refusedIn is the longest that it waited for a refusal.
	refusedIn time.Duration
	// leastRetryAfter is after how long it was told to come again, at the least.
	leastRetryAfter time.Duration
}

func newQuotaWorld(runners int) *quotaWorld {
	w := &quotaWorld{now: time.Hour, random: rand.New(rand.NewPCG(1, 2)), runners: map[string]*quotaRunner{}, ended: map[string]time.Duration{}}
	clocks := leader.Clocks{Monotonic: func() time.Duration { return w.now }, UnixMs: func() int64 { return w.now.Milliseconds() }}
	config := scheduler.Config{MaxLease: 6 * time.Second, RemoteSlowdown: 1, StatusRetention: 2 * time.Minute}
	w.shard = leader.NewShard(protocol.ShardOf("desk"), config, clocks, w.wake, slog.New(slog.DiscardHandler))
	w.shard.SetGroup(w)
	var list []protocol.Runner
	for i := range runners {
		r := &quotaRunner{w: w, id: fmt.Sprintf("i-%d", i), runs: map[job.TaskRef]scheduler.ReportedRun{}}
		w.runners[r.id] = r
		list = append(list, protocol.Runner{ID: r.id, Service: "desk", Address: r.id, Capacity: job.Resources{CPU: runnerCPU, MemMB: 64000}})
	}
	w.shard.UpdateRunners(list)
	w.shard.BecameLeader(1)
	return w
}

// Lease implements leader.Group: it is never lost.
func (w *quotaWorld) Lease() (uint64, time.Duration, bool) { return 1, w.now + time.Second, true }

// IsLeader implements leader.Group.
func (w *quotaWorld) IsLeader() bool { return true }

// Leader implements leader.Group.
func (w *quotaWorld) Leader() replica.Member { return replica.Member{Address: "leader"} }

// Propose implements leader.Group.
func (w *quotaWorld) Propose(entry []byte, done func(any, error)) {
	batch, err := job.DecodeBatch(entry)
	if err != nil {
		panic(err)
	}
	w.later(syncDelay, func() {
		w.work(commitCost+time.Duration(len(batch.Commands))*commitEntryCost, func() {
			result, err := w.shard.Apply(1, entry)
			w.noteCompleted(batch)
			done(result, err)
		})
	})
}

func (w *quotaWorld) noteCompleted(batch job.Batch) {
	for _, command := range batch.Commands {
		if command.Kind != job.EndRun || w.ended[command.Task.Job] > 0 {
			continue
		}
		if w.state(command.Task.Job).State == job.StateCompleted {
			w.ended[command.Task.Job] = w.now
		}
	}
}

// state reads a job's state, which costs no processor time here.
func (w *quotaWorld) state(id string) (response protocol.JobResponse) {
	w.shard.HandleJobRequest(protocol.JobRequest{Verb: protocol.GetJobState, Queue: "h/q/", ID: id, Version: 1}, func(r protocol.JobResponse) { response = r })
	return response
}

func (w *quotaWorld) later(in time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, worldEvent{at: w.now + in, seq: w.serial, do: do})
}

// run lets time pass.
func (w *quotaWorld) run(span time.Duration) {
	end := w.now + span
	for len(w.events) > 0 && w.events[0].at <= end {
		next := heap.Pop(&w.events).(worldEvent)
		w.now = next.at
		next.do()
	}
	w.now = end
}

// work puts a piece of work at the end of the line for the leader's processor.
func (w *quotaWorld) work(cost time.Duration, do func()) {
	w.line = append(w.line, processorWork{cost: cost, do: do})
	if !w.busy {
		w.busy = true
		w.workNext()
	}
}

func (w *quotaWorld) workNext() {
	next := w.line[0]
	w.line = w.line[1:]
	w.later(w.spend(next.cost), func() {
		next.do()
		if w.busy = len(w.line) > 0; w.busy {
			w.workNext()
		}
	})
}

// spend takes processor time from the quota and returns how long that takes.
func (w *quotaWorld) spend(cost time.Duration) time.Duration {
	at := w.now
	for {
		if period := int64(at / quotaPeriod); period != w.period {
			w.period, w.spent = period, 0
		}
		if left := quota - w.spent; cost > left {
			cost -= left
			w.spent = quota
			at = time.Duration(w.period+1) * quotaPeriod
			continue
		}
		w.spent += cost
		return at + cost - w.now
	}
}

// wake is the shard's wake callback.
func (w *quotaWorld) wake() {
	if !w.loopWaits {
		w.loopWaits = true
		w.work(cycleCost, w.cycle)
	}
}

// cycle is one turn of the shard's loop: each order is sent by a goroutine of its own.
func (w *quotaWorld) cycle() {
	w.loopWaits = false
	result := w.shard.RunCycle()
	for _, order := range result.Orders {
		w.work(sendCost, func() { w.send(result.Scheduler, order) })
	}
	pause := idleTick
	if result.CyclePending {
		pause = pendingTick
	}
	tick := w.now + pause
	w.tick = tick
	w.later(pause, func() {
		if w.tick == tick {
			w.wake()
		}
	})
}

// send sends an order to its runner; the reply waits in the line again.
func (w *quotaWorld) send(issuer *scheduler.Scheduler, order scheduler.Order) {
	if !w.shard.MaySend(order) {
		panic("the lease is never lost here")
	}
	timeout := startTimeout
	if order.Kind == scheduler.OrderRenewLease {
		timeout = leaseReplyGrace + time.Duration(order.WaitMs)*time.Millisecond
	}
	expires := w.now + timeout
	w.later(networkDelay, func() {
		w.runners[order.Runner].carryOut(order, func(tell func(now time.Duration, s *scheduler.Scheduler, late bool)) {
			w.later(networkDelay, func() {
				w.work(replyCost, func() {
					late := w.now > expires
					w.shard.OrderReplied(issuer, func(now time.Duration) { tell(now, issuer, late) })
				})
			})
		})
	})
}

// submit sends a client's job to a dispatcher, which asks the leader again and again until it has an answer.
func (w *quotaWorld) submit(c *quotaClient) {
	c.tries++
	w.attempt(c, w.now, w.now+retryTime)
}

func (w *quotaWorld) attempt(c *quotaClient, arrived, deadline time.Duration) {
	if w.now >= deadline {
		c.unclear++
		w.comeAgain(c, clientPause)
		return
	}
	request := w.request(c)
	answered := false
	unclear := c.unclear
	w.later(min(attemptTimeout, deadline-w.now), func() {
		if !answered {
			answered = true
			c.unclear = unclear + 1
			w.later(retryPause, func() { w.attempt(c, arrived, deadline) })
		}
	})
	w.later(networkDelay, func() {
		w.work(receiveCost, func() {
			enqueued := true
			defer func() {
				if enqueued {
					w.work(acceptCost, func() {})
				}
			}()
			w.shard.Submit(request, func(response protocol.JobResponse) {
				enqueued = false
				w.later(networkDelay, func() {
					if !answered {
						answered = true
						w.answered(c, arrived, response)
					}
				})
			})
		})
	})
}

func (w *quotaWorld) answered(c *quotaClient, arrived time.Duration, response protocol.JobResponse) {
	if response.Status == http.StatusOK {
		c.accepted = true
		if c.id[len(c.id)-1] == '0' { // one of sixteen
			w.later(resendPause, func() { w.resend(c) })
		}
		return
	}
	if response.Status != http.StatusServiceUnavailable {
		panic(fmt.Sprintf("a response that no submission here has: %+v", response))
	}
	retryAfter := time.Duration(response.RetryAfterMs) * time.Millisecond
	if c.unclear == 0 { // else its dispatcher says that the outcome is not known
		if c.refusals == 0 || retryAfter < c.leastRetryAfter {
			c.leastRetryAfter = retryAfter
		}
		c.refusals++
		c.refusedIn = max(c.refusedIn, w.now-arrived)
	}
	w.comeAgain(c, retryAfter)
}

// resend sends an accepted job once more, as clients now and then do: it may not be refused any more.
func (w *quotaWorld) resend(c *quotaClient) {
	w.later(networkDelay, func() {
		w.work(receiveCost, func() {
			w.shard.Submit(w.request(c), func(response protocol.JobResponse) { c.resent = response.Status })
		})
	})
}

// request is what a dispatcher asks the leader for a client.
func (w *quotaWorld) request(c *quotaClient) protocol.SubmitRequest {
	request := submitRequest(c.id, quotaBody, 1)
	request.Route = opconfig.Route{Host: "h", PathPrefix: "/q/", Backend: "desk", Retries: 3, TargetMs: targetMs, Extension: extension}
	return request
}

func (w *quotaWorld) comeAgain(c *quotaClient, pause time.Duration) {
	if c.tries < clientTries && !c.accepted {
		w.later(pause, func() { w.submit(c) })
	}
}

// offer lets clients hand in so many jobs a second, at random moments.
func (w *quotaWorld) offer(perSecond float64, span time.Duration) {
	for range int(perSecond * span.Seconds()) {
		w.later(time.Duration(w.random.Int64N(int64(span))), func() {
			c := &quotaClient{id: fmt.Sprintf("%016x", len(w.clients)+1), sentAt: w.now}
			w.clients = append(w.clients, c)
			w.submit(c)
		})
	}
}

// runnerCPU lets a runner take eight tasks.
const runnerCPU = 32000

// quotaRunner is a runner. Its clock is the world's.
type quotaRunner struct {
	w        *quotaWorld
	id       string
	runs     map[job.TaskRef]scheduler.ReportedRun
	begun    map[job.TaskRef]time.Duration
	finished []scheduler.ReportedEnd
	number   uint64
	polls    []func()
}

type orderReply func(tell func(now time.Duration, s *scheduler.Scheduler, late bool))

func (r *quotaRunner) carryOut(order scheduler.Order, reply orderReply) {
	switch order.Kind {
	case scheduler.OrderRenewLease:
		r.renewLease(order, reply)
	case scheduler.OrderStart:
		answer, clockMs := r.start(order), r.w.now.Milliseconds()
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
		clockMs := r.w.now.Milliseconds()
		reply(func(now time.Duration, s *scheduler.Scheduler, _ bool) {
			s.StopReplied(now, order, scheduler.StopConfirmed, clockMs)
		})
	}
}

func (r *quotaRunner) start(order scheduler.Order) scheduler.StartReply {
	w := r.w
	w.started++
	switch {
	case w.now.Milliseconds() > order.DeadlineMs:
		w.wasted++
		return scheduler.StartRefused
	case len(r.runs) == runnerCPU/4000:
		w.wasted++
		return scheduler.StartNoCapacity
	}
	r.runs[order.Task] = scheduler.ReportedRun{Task: order.Task, Attempt: order.Attempt}
	if r.begun == nil {
		r.begun = map[job.TaskRef]time.Duration{}
	}
	r.begun[order.Task] = w.now
	w.later(taskTime, func() {
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
	r.w.later(time.Duration(order.WaitMs)*time.Millisecond, answer)
}

func (r *quotaRunner) report() scheduler.RunnerReport {
	report := scheduler.RunnerReport{ClockMs: r.w.now.Milliseconds(), Finished: append([]scheduler.ReportedEnd(nil), r.finished...)}
	for task, run := range r.runs {
		run.Percent = int(100 * (r.w.now - r.begun[task]) / taskTime)
		report.Running = append(report.Running, run)
	}
	return report
}
