package leader

import (
	"hash/fnv"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/group"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/scheduler"
)

// Clocks are a process's clocks.
type Clocks struct {
	Monotonic func() time.Duration
	UnixMs    func() int64 // time of day, from 1970
}

// Shard is one shard's replica of the jobs and, where this process leads the group, their
// scheduler. It implements group.StateMachine. Its methods may be called concurrently.
type Shard struct {
	number int
	bounds scheduler.Config
	group  Group
	clocks Clocks
	log    *slog.Logger
	nudge  func() // Drive has something to do

	mu       sync.Mutex
	store    *job.Store
	owner    *scheduler.Scheduler // nil: another process owns the shard
	runners  []scheduler.Runner
	config   *opconfig.Config
	clients  []clientCommand // to go into the next batch
	inFlight int             // batches of this owner that wait for their commitment
}

// clientCommand is what a client asked for, and who waits for it.
type clientCommand struct {
	command job.Command
	done    func(job.Outcome, error)
}

const (
	// mostInFlight bounds the batches that wait for their commitment. What comes meanwhile
	// goes into the next one: a shard writes few and large entries.
	mostInFlight = 2
	// mostClients bounds the clients' commands that wait to be proposed.
	mostClients = 2000
	// retryAfterMs is when a client that was turned away for a moment may come back.
	retryAfterMs = 500
)

// NewShard returns a replica without jobs.
func NewShard(number int, bounds scheduler.Config, clocks Clocks, nudge func(), log *slog.Logger) *Shard {
	return &Shard{number: number, bounds: bounds, clocks: clocks, nudge: nudge, log: log.With("shard", number), store: job.NewStore()}
}

// SetGroup gives the replica its group, before it is used.
func (s *Shard) SetGroup(own Group) { s.group = own }

// Apply implements group.StateMachine.
func (s *Shard) Apply(_ uint64, command []byte) (any, error) {
	batch, err := job.DecodeBatch(command)
	if err != nil {
		return nil, err
	}
	outcomes := make([]job.Outcome, len(batch.Commands))
	s.mu.Lock()
	defer s.mu.Unlock()
	for at, c := range batch.Commands {
		outcomes[at] = s.store.Apply(c)
		if s.owner != nil {
			s.owner.Applied(s.clocks.Monotonic(), c, outcomes[at])
		}
	}
	s.nudge()
	return outcomes, nil
}

// Snapshot implements group.StateMachine.
func (s *Shard) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Snapshot()
}

// Restore implements group.StateMachine.
func (s *Shard) Restore(content []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Restore(content)
}

// Digest implements group.StateMachine.
func (s *Shard) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Digest()
}

// BecameLeader implements group.StateMachine.
func (s *Shard) BecameLeader(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = 0
	s.owner = scheduler.New(s.store, epoch, s.bounds, s.clocks.Monotonic(), s.clocks.UnixMs(), s.log)
	s.owner.UpdateRunners(s.clocks.Monotonic(), s.runners)
	s.nudge()
}

// LostLeadership implements group.StateMachine.
func (s *Shard) LostLeadership() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner = nil
	s.nudge()
}

// UpdateRunners takes in the platform's list, of which it keeps this shard's services.
func (s *Shard) UpdateRunners(list []protocol.Runner) {
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
		s.owner.UpdateRunners(s.clocks.Monotonic(), runners)
		s.nudge()
	}
}

// UpdateConfig takes in a newer configuration.
func (s *Shard) UpdateConfig(config *opconfig.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = config
}

// Orders are what the scheduler of one lead wants sent.
type Orders struct {
	Scheduler    *scheduler.Scheduler
	List         []scheduler.Order
	CyclePending bool // there is more to look at soon
}

// RunCycle lets the scheduler decide and proposes what it wants. It returns the orders to send;
// their answers come back by Answered.
func (s *Shard) RunCycle() Orders {
	s.mu.Lock()
	owner := s.owner
	if owner == nil {
		clients := s.clients
		s.clients = nil
		s.mu.Unlock()
		for _, client := range clients {
			client.done(0, group.ErrNotLeader)
		}
		return Orders{}
	}
	owner.Tick(s.clocks.Monotonic(), s.clocks.UnixMs())
	out := owner.TakeOutput(s.clocks.Monotonic(), s.inFlight < mostInFlight)
	var clients []clientCommand
	if s.inFlight < mostInFlight {
		clients, s.clients = s.clients, nil
	}
	wanted := len(out.Commands)+len(clients) > 0
	if wanted {
		s.inFlight++
	}
	s.mu.Unlock()
	if wanted {
		s.commit(owner, out, clients)
	}
	return Orders{Scheduler: owner, List: out.Orders, CyclePending: out.Again}
}

// commit proposes a batch: the scheduler's commands and then the clients'. Where the lead is
// lost the scheduler ends, and with it what it wanted.
func (s *Shard) commit(owner *scheduler.Scheduler, out scheduler.Output, clients []clientCommand) {
	batch := job.Batch{Commands: out.Commands}
	for _, client := range clients {
		batch.Commands = append(batch.Commands, client.command)
	}
	s.group.Propose(batch.Encode(), func(result any, err error) {
		outcomes, _ := result.([]job.Outcome)
		for at, client := range clients {
			outcome := job.Outcome(0)
			if own := len(out.Commands) + at; err == nil && own < len(outcomes) {
				outcome = outcomes[own]
			}
			client.done(outcome, err)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.owner != owner {
			return
		}
		s.inFlight--
		if err == nil && len(out.Commands) > 0 {
			owner.Committed(s.clocks.Monotonic(), out.Batch)
		}
		s.nudge()
	})
}

// MaySend tells whether an order may leave at this moment: its lead's lease lasts.
func (s *Shard) MaySend(order scheduler.Order) bool {
	epoch, _, leads := s.group.Lease()
	return leads && epoch == order.Token
}

// OrderReplied runs an input of the scheduler with the time, unless it is another one by now.
func (s *Shard) OrderReplied(owner *scheduler.Scheduler, input func(now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner != owner {
		return
	}
	input(s.clocks.Monotonic())
	s.nudge()
}

func (s *Shard) notOwner() protocol.JobResponse {
	return protocol.JobResponse{Owner: s.group.Leader().Address}
}

// ifOwner gives an answer that was read from the state, if the lease still lasts.
func (s *Shard) ifOwner(answer protocol.JobResponse) protocol.JobResponse {
	if !s.group.IsLeader() {
		return s.notOwner()
	}
	return answer
}

// Answers that need no further facts.
var (
	gone      = protocol.JobResponse{Status: http.StatusGone, Reason: "there is no such job"}
	otherJob  = protocol.JobResponse{Status: http.StatusConflict, Reason: "another job has this ID: choose a new one"}
	withdrawn = protocol.JobResponse{Status: http.StatusServiceUnavailable, Never: true, Reason: "the job was cancelled before it was handed in: it never runs"}
	accepted  = protocol.JobResponse{Status: http.StatusOK}
	unknown   = protocol.JobResponse{Status: http.StatusBadGateway, Unknown: true, Reason: "whether it was done is not known: send the same again"}
)

func moved(version int64) protocol.JobResponse {
	return protocol.JobResponse{Status: http.StatusServiceUnavailable, Moved: version, Reason: "a newer configuration sends the queue elsewhere"}
}

// route finds the route by which a job is handed in: by the newer of this process's
// configuration and the asking one's; with it comes that configuration's version. The job is
// accepted under the asking one's all the same: by that the asking dispatcher knew which
// shards had the queue before and asked their owners, and it may have missed that the queue
// was elsewhere and came back since.
func (s *Shard) route(request *protocol.SubmitRequest) (route opconfig.Route, version int64, ok bool) {
	if s.config == nil || s.config.Version <= request.Version {
		return request.Route, request.Version, true
	}
	newer, ok := s.config.Route(request.Queue)
	if !ok {
		return opconfig.Route{}, s.config.Version, false
	}
	return *newer, s.config.Version, true
}

// Submit takes a job in: it is answered once a majority has it on disk.
func (s *Shard) Submit(request protocol.SubmitRequest, reply func(protocol.JobResponse)) {
	if !s.group.IsLeader() {
		reply(s.notOwner())
		return
	}
	wanted, answer, clear := s.judge(&request)
	if clear {
		reply(s.ifOwner(answer))
		return
	}
	s.propose(job.Command{Kind: job.AcceptJob, Submission: &wanted}, func(outcome job.Outcome, err error) {
		reply(s.submitted(outcome, err, wanted.ConfigVersion))
	})
}

// BodyHash is what a job's body is told by.
func BodyHash(body []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// judge returns the job to be accepted, or the answer where that is clear already.
func (s *Shard) judge(request *protocol.SubmitRequest) (wanted job.Submission, answer protocol.JobResponse, clear bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hash := BodyHash(request.Body)
	if j := s.store.Jobs[request.ID]; j != nil {
		return wanted, again(j.Resubmitted(request.Queue, hash)), true
	}
	route, version, ok := s.route(request)
	if !ok {
		return wanted, protocol.JobResponse{Status: http.StatusNotFound, Reason: "there is no such queue any more"}, true
	}
	if protocol.ShardOf(route.Backend) != s.number {
		return wanted, moved(version), true
	}
	spec, err := job.ParseSpec(request.Body)
	if err != nil {
		return wanted, protocol.JobResponse{Status: http.StatusBadRequest, Reason: err.Error()}, true
	}
	wanted = job.Submission{ID: request.ID, Queue: request.Queue, Service: route.Backend, BodyHash: hash, Spec: spec, ConfigVersion: request.Version,
		Priority: route.Priority, Retries: route.Retries, TargetMs: int64(route.TargetMs), Extension: route.Extension}
	return wanted, protocol.JobResponse{}, false
}

// again answers another try to hand in a job whose ID is held.
func again(outcome job.Outcome) protocol.JobResponse {
	switch outcome {
	case job.AlreadyApplied:
		return accepted
	case job.CancelledBeforeAcceptance:
		return withdrawn
	}
	return otherJob
}

func (s *Shard) submitted(outcome job.Outcome, err error, version int64) protocol.JobResponse {
	if err != nil {
		return s.failed(err)
	}
	switch outcome {
	case job.Applied:
		return accepted
	case job.QueueMoved:
		return moved(version + 1)
	case job.AlreadyApplied, job.CancelledBeforeAcceptance, job.Rejected:
		return again(outcome)
	}
	return unknown
}

// failed answers for a command that was not seen to be committed.
func (s *Shard) failed(err error) protocol.JobResponse {
	switch {
	case errors.Is(err, group.ErrNotLeader):
		return s.notOwner()
	case errors.Is(err, group.ErrBusy):
		return protocol.JobResponse{Status: http.StatusServiceUnavailable, RetryAfterMs: retryAfterMs, Reason: err.Error()}
	}
	return unknown
}

// propose commits one client's command. done is called once.
func (s *Shard) propose(c job.Command, done func(job.Outcome, error)) {
	c.ProposedAtMs = s.clocks.UnixMs()
	s.mu.Lock()
	full := len(s.clients) >= mostClients
	if !full {
		s.clients = append(s.clients, clientCommand{command: c, done: done})
	}
	s.mu.Unlock()
	if full {
		done(0, group.ErrBusy)
		return
	}
	s.nudge()
}

// HandleJobRequest answers what a client asks of a job or a queue. That a job is not known is said by
// the owner only, while its lease lasts, and for a cancelling only once a late try to hand
// the job in can't be taken any more.
func (s *Shard) HandleJobRequest(request protocol.JobRequest, reply func(protocol.JobResponse)) {
	if !s.group.IsLeader() {
		reply(s.notOwner())
		return
	}
	switch request.Verb {
	case protocol.CancelJob:
		s.cancel(request, reply)
	case protocol.CheckFormerShard:
		s.checkEarlier(request, reply)
	default:
		reply(s.ifOwner(s.look(request)))
	}
}

// look reads a job's state or a queue's count.
func (s *Shard) look(request protocol.JobRequest) protocol.JobResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.Verb == protocol.CountPending {
		return protocol.JobResponse{Status: http.StatusOK, Pending: s.store.Pending[request.Queue]}
	}
	if j, known := s.store.Lookup(request.Queue, request.ID); known {
		return protocol.JobResponse{Status: http.StatusOK, State: j.State}
	}
	if sealed := s.store.Sealed[request.Queue]; request.Version < sealed {
		return moved(sealed)
	}
	return gone
}

func (s *Shard) cancel(request protocol.JobRequest, reply func(protocol.JobResponse)) {
	s.mu.Lock()
	j, known := s.store.Lookup(request.Queue, request.ID)
	over := known && j.State.Terminal()
	s.mu.Unlock()
	if over {
		reply(s.ifOwner(accepted))
		return
	}
	command := job.Command{Kind: job.CancelJob, Task: job.TaskRef{Job: request.ID}, Queue: request.Queue, ConfigVersion: request.Version}
	s.propose(command, func(outcome job.Outcome, err error) { reply(s.cancelled(outcome, err, request.Version)) })
}

func (s *Shard) cancelled(outcome job.Outcome, err error, version int64) protocol.JobResponse {
	if err != nil {
		return s.failed(err)
	}
	switch outcome {
	case job.Applied, job.AlreadyApplied:
		return accepted
	case job.UnknownJob:
		return gone
	case job.QueueMoved:
		return moved(version + 1)
	}
	return unknown
}

// checkEarlier tells whether an ID of a queue that has moved on is held here. Before it says
// that it is not, the queue is sealed: no older dispatcher can hand it in here afterwards.
func (s *Shard) checkEarlier(request protocol.JobRequest, reply func(protocol.JobResponse)) {
	s.mu.Lock()
	sealed := s.store.Sealed[request.Queue] >= request.Since
	s.mu.Unlock()
	if sealed {
		reply(s.ifOwner(s.held(request)))
		return
	}
	command := job.Command{Kind: job.SealQueue, Queue: request.Queue, ConfigVersion: request.Since}
	s.propose(command, func(outcome job.Outcome, err error) {
		if err != nil || outcome != job.Applied && outcome != job.AlreadyApplied {
			reply(s.failed(err))
			return
		}
		reply(s.ifOwner(s.held(request)))
	})
}

func (s *Shard) held(request protocol.JobRequest) protocol.JobResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.store.Jobs[request.ID]; j != nil {
		return again(j.Resubmitted(request.Queue, request.Hash))
	}
	return gone
}
