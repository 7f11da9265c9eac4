package controlplane

import (
	"hash/fnv"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/group"
	"basaltloft/internal/job"
	"basaltloft/internal/opconfig"
	"basaltloft/internal/protocol"
	"basaltloft/internal/scheduler"
)

// shard is one shard's replica of the jobs and, where this process leads the group, their
// scheduler. It implements group.StateMachine.
type shard struct {
	number int
	bounds scheduler.Bounds
	group  *group.Group
	runner *runnerClient
	clock  func() time.Duration
	log    *slog.Logger
	wake   chan struct{}
	stop   chan struct{}

	mu      sync.Mutex
	store   *job.Store
	owner   *scheduler.Owner // nil: another process owns the shard
	runners []scheduler.Runner
	config  *opconfig.Config

	clients  []clientCommand // to go into the next batch
	inFlight int             // batches of this owner that wait for their commitment
}

func newShard(number int, bounds scheduler.Bounds, runner *runnerClient, clock func() time.Duration, stop chan struct{}, log *slog.Logger) *shard {
	return &shard{
		number: number, bounds: bounds, runner: runner, clock: clock, log: log.With("shard", number),
		wake: make(chan struct{}, 1), stop: stop, store: job.NewStore(),
	}
}

// Apply implements group.StateMachine.
func (s *shard) Apply(_ uint64, command []byte) any {
	batch, err := job.DecodeBatch(command)
	if err != nil {
		s.log.Error("a committed batch can't be read: this program is older than its writer", "error", err)
		return nil
	}
	outcomes := make([]job.Outcome, len(batch.Commands))
	s.mu.Lock()
	defer s.mu.Unlock()
	for at, c := range batch.Commands {
		outcomes[at] = s.store.Apply(c)
		if s.owner != nil {
			s.owner.Applied(s.clock(), c, outcomes[at])
		}
	}
	s.nudge()
	return outcomes
}

// Snapshot implements group.StateMachine.
func (s *shard) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Snapshot()
}

// Restore implements group.StateMachine.
func (s *shard) Restore(content []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Restore(content)
}

// Leading implements group.StateMachine.
func (s *shard) Leading(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = 0
	s.owner = scheduler.New(s.store, epoch, s.bounds, s.clock(), time.Now().UnixMilli(), s.log)
	s.owner.Listed(s.clock(), s.runners)
	s.nudge()
}

// Following implements group.StateMachine.
func (s *shard) Following() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner = nil
	s.nudge()
}

func (s *shard) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// takeRunners takes in the platform's list, of which it keeps this shard's services.
func (s *shard) takeRunners(list []protocol.Runner) {
	var runners []scheduler.Runner
	for _, r := range list {
		if protocol.ShardOf(r.Service) != s.number {
			continue
		}
		runners = append(runners, scheduler.Runner{ID: r.ID, Service: r.Service, Address: r.Address, Labels: r.Labels,
			Capacity: r.Capacity, Draining: r.Draining, RemainingMs: r.RemainingMs})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runners = runners
	if s.owner != nil {
		s.owner.Listed(s.clock(), runners)
		s.nudge()
	}
}

func (s *shard) takeConfig(config *opconfig.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = config
}

// idleTick is how often the scheduler looks at the time while nothing happens.
const idleTick = 50 * time.Millisecond

// soonTick is the pause where the scheduler has more to look at.
const soonTick = 3 * time.Millisecond

// run drives the scheduler until the process ends.
func (s *shard) run() {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-s.wake:
		case <-timer.C:
		}
		if s.drive() {
			timer.Reset(soonTick)
			continue
		}
		timer.Reset(idleTick)
	}
}

// mostInFlight bounds the batches that wait for their commitment. What comes meanwhile goes
// into the next one: a shard writes few and large entries.
const mostInFlight = 2

// drive lets the scheduler decide and carries out what it wants. It tells whether there is
// more to look at soon.
func (s *shard) drive() (again bool) {
	s.mu.Lock()
	owner := s.owner
	if owner == nil {
		clients := s.clients
		s.clients = nil
		s.mu.Unlock()
		s.turnAway(clients)
		return false
	}
	owner.Tick(s.clock(), time.Now().UnixMilli())
	out := owner.Take(s.clock(), s.inFlight < mostInFlight)
	var clients []clientCommand
	if s.inFlight < mostInFlight {
		clients, s.clients = s.clients, nil
	}
	if len(out.Commands)+len(clients) > 0 {
		s.inFlight++
	}
	s.mu.Unlock()
	if len(out.Commands)+len(clients) > 0 {
		s.commit(owner, out, clients)
	}
	for _, order := range out.Orders {
		go s.send(owner, order)
	}
	return out.Again
}

// clientCommand is what a client asked for, and who waits for it.
type clientCommand struct {
	command job.Command
	answer  chan protocol.Answer
}

func (s *shard) turnAway(clients []clientCommand) {
	for _, client := range clients {
		client.answer <- s.notOwner()
	}
}

// commit proposes a batch: the scheduler's commands and then the clients'. Where the lead is
// lost the scheduler ends, and with it what it wanted.
func (s *shard) commit(owner *scheduler.Owner, out scheduler.Output, clients []clientCommand) {
	batch := job.Batch{Commands: out.Commands}
	for _, client := range clients {
		batch.Commands = append(batch.Commands, client.command)
	}
	s.group.Propose(batch.Encode(), func(result any, err error) {
		outcomes, _ := result.([]job.Outcome)
		for at, client := range clients {
			client.answer <- s.verdict(outcomes, len(out.Commands)+at, err)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.owner != owner {
			return
		}
		s.inFlight--
		if err == nil && len(out.Commands) > 0 {
			owner.Committed(s.clock(), out.Batch)
		}
		s.nudge()
	})
}

// with runs an input of the scheduler, unless it is another one by now.
func (s *shard) with(owner *scheduler.Owner, input func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner != owner {
		return
	}
	input()
	s.nudge()
}

// send carries an order out while the lease lasts.
func (s *shard) send(owner *scheduler.Owner, order scheduler.Order) {
	epoch, _, leads := s.group.Lease()
	leads = leads && epoch == order.Token
	switch order.Kind {
	case scheduler.OrderHold:
		reply, look := scheduler.HoldUnknown, scheduler.Look{}
		if leads {
			reply, look = s.runner.hold(order)
		}
		s.with(owner, func() { owner.HoldAnswered(s.clock(), order, reply, look) })
	case scheduler.OrderStart:
		reply, clock := scheduler.StartUnknown, int64(0)
		if leads {
			reply, clock = s.runner.start(order)
		}
		s.with(owner, func() { owner.StartAnswered(s.clock(), order, reply, clock) })
	case scheduler.OrderStop:
		ok, otherLife, clock := false, false, int64(0)
		if leads {
			ok, otherLife, clock = s.runner.stop(order)
		}
		s.with(owner, func() { owner.StopAnswered(s.clock(), order, ok, otherLife, clock) })
	}
}

func (s *shard) notOwner() protocol.Answer { return protocol.Answer{Owner: s.group.Leader().Address} }

// refuse answers a request that was not carried out and may come again.
func refuse(reason string) protocol.Answer {
	return protocol.Answer{Status: http.StatusServiceUnavailable, RetryAfterMs: 500, Reason: reason}
}

// route finds the route by which a job is handed in: by the newer of this process's
// configuration and the asking one's.
func (s *shard) route(request *protocol.Submit) (opconfig.Route, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config == nil || s.config.Version <= request.Version {
		return request.Route, true
	}
	route, ok := s.config.Route(request.Queue)
	if !ok {
		return opconfig.Route{}, false
	}
	return *route, true
}

// submit takes a job in: it answers once a majority has it on disk.
func (s *shard) submit(request protocol.Submit) protocol.Answer {
	if !s.group.Leads() {
		return s.notOwner()
	}
	route, ok := s.route(&request)
	if !ok {
		return protocol.Answer{Status: http.StatusNotFound, Reason: "there is no such queue any more"}
	}
	if protocol.ShardOf(route.Backend) != s.number {
		return refuse("the queue has moved: send the job again")
	}
	spec, err := job.ParseSpec(request.Body)
	if err != nil {
		return protocol.Answer{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	hash := fnv.New64a()
	_, _ = hash.Write(request.Body)
	accepted := job.New{ID: request.ID, Queue: request.Queue, Service: route.Backend, Hash: hash.Sum64(), Spec: spec,
		Priority: route.Priority, Retries: route.Retries, TargetMs: int64(route.TargetMs), Stretch: route.Extension}
	if answer, known := s.known(&accepted); known {
		return answer
	}
	return s.propose(job.Command{Kind: job.Accept, New: &accepted})
}

// known answers for a job that was accepted before.
func (s *shard) known(accepted *job.New) (protocol.Answer, bool) {
	s.mu.Lock()
	j := s.store.Jobs[accepted.ID]
	s.mu.Unlock()
	if j == nil {
		return protocol.Answer{}, false
	}
	if j.Hash != accepted.Hash || j.Queue != accepted.Queue {
		return protocol.Answer{Status: http.StatusConflict, Reason: "another job has this ID: choose a new one"}, true
	}
	return protocol.Answer{Status: http.StatusOK}, true
}

// propose commits one client's command and answers for it.
func (s *shard) propose(c job.Command) protocol.Answer {
	c.AtMs = time.Now().UnixMilli()
	client := clientCommand{command: c, answer: make(chan protocol.Answer, 1)}
	s.mu.Lock()
	full := len(s.clients) >= mostClients
	if !full {
		s.clients = append(s.clients, client)
	}
	s.mu.Unlock()
	if full {
		return refuse("too much waits to be committed: try again later")
	}
	s.nudge()
	select {
	case got := <-client.answer:
		return got
	case <-s.stop:
		return protocol.Answer{Status: http.StatusBadGateway, Unknown: true}
	}
}

// mostClients bounds the clients' commands that wait to be proposed.
const mostClients = 2000

func (s *shard) verdict(outcomes []job.Outcome, at int, err error) protocol.Answer {
	switch {
	case errors.Is(err, group.ErrNotLeader):
		return s.notOwner()
	case errors.Is(err, group.ErrBusy):
		return refuse(err.Error())
	case err != nil:
		return protocol.Answer{Status: http.StatusBadGateway, Unknown: true, Reason: err.Error()}
	case at >= len(outcomes):
		return protocol.Answer{Status: http.StatusBadGateway, Unknown: true}
	case outcomes[at] == job.Rejected:
		return protocol.Answer{Status: http.StatusConflict, Reason: "another job has this ID: choose a new one"}
	}
	return protocol.Answer{Status: http.StatusOK}
}

// ask answers what a client asks of a job or a queue. That a job is not known is said by
// the owner only, while its lease lasts.
func (s *shard) ask(request protocol.Ask) protocol.Answer {
	s.mu.Lock()
	j, known := s.store.Lookup(request.Queue, request.ID)
	answer := protocol.Answer{Status: http.StatusOK, Pending: s.store.Pending[request.Queue]}
	if known {
		answer.State = j.State
	}
	s.mu.Unlock()
	if !s.group.Leads() {
		return s.notOwner()
	}
	switch {
	case request.Verb == protocol.CountPending:
		return answer
	case !known:
		return protocol.Answer{Status: http.StatusGone, Reason: "there is no such job"}
	case request.Verb == protocol.CancelJob && !answer.State.Over():
		return s.propose(job.Command{Kind: job.Cancel, Task: job.TaskRef{Job: request.ID}})
	}
	return answer
}
