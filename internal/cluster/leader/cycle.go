package leader

import (
	"time"

	"basaltloft/coord/group"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/scheduler"
)

const (
	// maxBatchesInFlight limits the batches that are proposed and not yet committed. Commands that arrive
	// meanwhile go into the next batch, so that a shard writes few, large log entries.
	maxBatchesInFlight = 2
	// maxClientCommands limits the clients' commands that wait to be proposed.
	maxClientCommands = 2000
)

// clientCommand is a command for a client's request, with the callback for its outcome.
type clientCommand struct {
	command job.Command
	done    func(job.Outcome, error)
}

// CycleResult holds the orders that a run of the scheduler produced, to be sent to runners.
type CycleResult struct {
	Scheduler    *scheduler.Scheduler // that issued the orders; OrderReplied passes their replies to it
	Orders       []scheduler.Order
	CyclePending bool // the next RunCycle should follow soon
}

// RunCycle runs the scheduler once, proposes its commands together with the clients' waiting commands, and
// returns the orders to send. If this process does not lead the group, there are no orders, and the waiting
// clients' commands fail with group.ErrNotLeader.
func (s *Shard) RunCycle() CycleResult {
	current, output, clients := s.runScheduler()
	if current == nil {
		for _, client := range clients {
			client.done(0, group.ErrNotLeader)
		}
		return CycleResult{}
	}
	if len(output.Commands)+len(clients) > 0 {
		s.proposeBatch(current, output, clients)
	}
	return CycleResult{Scheduler: current, Orders: output.Orders, CyclePending: output.CyclePending}
}

// runScheduler runs the scheduler once. It returns the scheduler's output and the clients' waiting commands,
// and counts the batch of both as in flight. While maxBatchesInFlight batches are in flight, it returns no
// commands of either. If this process does not lead the group, the returned scheduler is nil.
func (s *Shard) runScheduler() (current *scheduler.Scheduler, output scheduler.Output, clients []clientCommand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current = s.scheduler
	if current == nil {
		return nil, scheduler.Output{}, s.takeClientCommandsLocked()
	}
	now := s.clocks.Monotonic()
	s.shedder.tick(now)
	current.Tick(now, s.clocks.UnixMs())
	mayPropose := s.batchesInFlight < maxBatchesInFlight
	output = current.TakeOutput(s.clocks.Monotonic(), mayPropose)
	if mayPropose {
		clients = s.takeClientCommandsLocked()
	}
	if len(output.Commands)+len(clients) > 0 {
		s.batchesInFlight++
	}
	return current, output, clients
}

func (s *Shard) takeClientCommandsLocked() []clientCommand {
	clients := s.clientCommands
	s.clientCommands = nil
	return clients
}

// proposeBatch proposes the scheduler's commands, followed by the clients', in one batch. If the leadership
// is lost, the scheduler is discarded with the commands that it proposed.
func (s *Shard) proposeBatch(proposer *scheduler.Scheduler, output scheduler.Output, clients []clientCommand) {
	batch := job.Batch{Commands: output.Commands}
	for _, client := range clients {
		batch.Commands = append(batch.Commands, client.command)
	}
	s.group.Propose(batch.Encode(), func(result any, err error) {
		outcomes, _ := result.([]job.Outcome) // nil after an error
		answerClients(clients, outcomes, len(output.Commands), err)
		s.batchCommitted(proposer, output, err)
	})
}

// answerClients calls each client's callback with the outcome of its command; first is the position
// of the first client's command in the batch. The outcome is 0 if it is not known.
func answerClients(clients []clientCommand, outcomes []job.Outcome, first int, err error) {
	for i, client := range clients {
		outcome := job.Outcome(0)
		if position := first + i; err == nil && position < len(outcomes) {
			outcome = outcomes[position]
		}
		client.done(outcome, err)
	}
}

// batchCommitted counts a batch as no longer in flight. If err is nil, it notifies the scheduler that proposed
// the batch that it is committed; an error means that this is not known. It does nothing if that scheduler
// was discarded meanwhile.
func (s *Shard) batchCommitted(proposer *scheduler.Scheduler, output scheduler.Output, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler != proposer {
		return
	}
	s.batchesInFlight--
	if err == nil && len(output.Commands) > 0 {
		proposer.Committed(s.clocks.Monotonic(), output.Batch)
	}
	s.wake()
}

// MaySend reports whether an order may be sent now: this process still holds the lease of the epoch in which
// the scheduler issued the order.
func (s *Shard) MaySend(order scheduler.Order) bool {
	epoch, _, held := s.group.Lease()
	return held && epoch == order.Token
}

// OrderReplied passes a reply to an order to the scheduler that issued it: it calls input with the
// current time, unless that scheduler was discarded meanwhile.
func (s *Shard) OrderReplied(issuer *scheduler.Scheduler, input func(now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler != issuer {
		return
	}
	input(s.clocks.Monotonic())
	s.wake()
}

// enqueue adds a client's command to the next batch. It calls done once, with the outcome, or with
// group.ErrBusy if too many commands are waiting.
func (s *Shard) enqueue(command job.Command, done func(job.Outcome, error)) {
	command.ProposedAtMs = s.clocks.UnixMs()
	s.mu.Lock()
	full := len(s.clientCommands) >= maxClientCommands
	if !full {
		s.clientCommands = append(s.clientCommands, clientCommand{command: command, done: done})
	}
	s.mu.Unlock()
	if full {
		done(0, group.ErrBusy)
		return
	}
	s.wake()
}
