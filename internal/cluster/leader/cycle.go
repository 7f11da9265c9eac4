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

// Orders are what a scheduler wants to be sent to runners.
type Orders struct {
	Scheduler    *scheduler.Scheduler // whose orders they are; replies go to it by OrderReplied
	List         []scheduler.Order
	CyclePending bool // the next RunCycle should follow soon
}

// RunCycle runs the scheduler once and proposes the commands that it and the clients want. It
// returns the orders to send. Where this process does not lead the group, there are none, and the
// clients whose commands wait are answered.
func (s *Shard) RunCycle() Orders {
	s.mu.Lock()
	current := s.scheduler
	if current == nil {
		rejected := s.clientCommands
		s.clientCommands = nil
		s.mu.Unlock()
		for _, client := range rejected {
			client.done(0, group.ErrNotLeader)
		}
		return Orders{}
	}
	current.Tick(s.clocks.Monotonic(), s.clocks.UnixMs())
	mayPropose := s.batchesInFlight < maxBatchesInFlight
	output := current.TakeOutput(s.clocks.Monotonic(), mayPropose)
	var clients []clientCommand
	if mayPropose {
		clients = s.clientCommands
		s.clientCommands = nil
	}
	hasCommands := len(output.Commands)+len(clients) > 0
	if hasCommands {
		s.batchesInFlight++
	}
	s.mu.Unlock()
	if hasCommands {
		s.proposeBatch(current, output, clients)
	}
	return Orders{Scheduler: current, List: output.Orders, CyclePending: output.Again}
}

// proposeBatch proposes the scheduler's commands and then the clients'. Where the leadership is lost
// the scheduler is dropped, and with it what it wanted.
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
// of the first client's in the batch. The outcome is 0 where it is not known.
func answerClients(clients []clientCommand, outcomes []job.Outcome, first int, err error) {
	for i, client := range clients {
		outcome := job.Outcome(0)
		if position := first + i; err == nil && position < len(outcomes) {
			outcome = outcomes[position]
		}
		client.done(outcome, err)
	}
}

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

// MaySend tells whether an order may be sent at this moment: the lease under which the scheduler
// gave it is still held.
func (s *Shard) MaySend(order scheduler.Order) bool {
	epoch, _, held := s.group.Lease()
	return held && epoch == order.Token
}

// OrderReplied passes a reply to an order to the scheduler that gave it: it calls input with the
// time, unless that scheduler was dropped meanwhile.
func (s *Shard) OrderReplied(sender *scheduler.Scheduler, input func(now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler != sender {
		return
	}
	input(s.clocks.Monotonic())
	s.wake()
}

// enqueue puts a client's command into the next batch. It calls done once, with the outcome, or with
// group.ErrBusy where too many commands wait.
func (s *Shard) enqueue(c job.Command, done func(job.Outcome, error)) {
	c.ProposedAtMs = s.clocks.UnixMs()
	s.mu.Lock()
	full := len(s.clientCommands) >= maxClientCommands
	if !full {
		s.clientCommands = append(s.clientCommands, clientCommand{command: c, done: done})
	}
	s.mu.Unlock()
	if full {
		done(0, group.ErrBusy)
		return
	}
	s.wake()
}
