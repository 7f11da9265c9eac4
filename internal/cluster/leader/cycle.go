package leader

import (
	"time"

	"basaltloft/coord/group"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/scheduler"
)

const (
	// maxBatchesInFlight bounds the batches that were proposed and are not committed. Commands that
	// come meanwhile go into the next one: a shard writes few and large log entries.
	maxBatchesInFlight = 2
	// maxClientCommands bounds the clients' commands that wait to be proposed.
	maxClientCommands = 2000
)

// clientCommand is a command that a client's request needs, and the callback for its outcome.
type clientCommand struct {
	command job.Command
	done    func(job.Outcome, error)
}

// CycleResult is what a scheduler wants to be sent to runners after it has run.
type CycleResult struct {
	Scheduler    *scheduler.Scheduler // whose orders they are; replies go to it by OrderReplied
	Orders       []scheduler.Order
	CyclePending bool // the next RunCycle should follow soon
}

// RunCycle runs the scheduler once and proposes the commands that it and the clients want. It
// returns the orders to send. Where this process does not lead the group, there are none, and the
// clients whose commands wait are answered with group.ErrNotLeader.
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

// runScheduler runs the scheduler once. It returns its output with the clients' commands that wait, and
// counts the batch that they make as in flight. While maxBatchesInFlight are, neither has commands.
// Where this process does not lead the group, the scheduler is nil.
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

// proposeBatch proposes the scheduler's commands and then the clients', in one batch. Where the
// leadership is lost the scheduler is dropped with the commands that it proposed.
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
// of the first client's command in the batch. The outcome is 0 where it is not known.
func answerClients(clients []clientCommand, outcomes []job.Outcome, first int, err error) {
	for i, client := range clients {
		outcome := job.Outcome(0)
		if position := first + i; err == nil && position < len(outcomes) {
			outcome = outcomes[position]
		}
		client.done(outcome, err)
	}
}

// batchCommitted tells the scheduler that proposed a batch that it is committed, or by an error that this
// is not known; not one that was dropped meanwhile.
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

// MaySend reports whether an order may be sent at this moment: this process still holds the lease of the
// epoch in which the scheduler gave it.
func (s *Shard) MaySend(order scheduler.Order) bool {
	epoch, _, held := s.group.Lease()
	return held && epoch == order.Token
}

// OrderReplied passes a reply to an order to the scheduler that gave it: it calls input with the
// time, unless that scheduler was dropped meanwhile.
func (s *Shard) OrderReplied(issuer *scheduler.Scheduler, input func(now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler != issuer {
		return
	}
	input(s.clocks.Monotonic())
	s.wake()
}

// enqueue puts a client's command into the next batch. It calls done once, with the outcome, or with
// group.ErrBusy where too many commands wait.
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
