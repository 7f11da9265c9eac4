package leader

import (
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/scheduler"
)

// The methods of this file implement group.StateMachine.

// Apply implements group.StateMachine. An entry is an encoded job.Batch; the result is a []job.Outcome with
// one outcome for each command.
func (s *Shard) Apply(_ uint64, entry []byte) (any, error) {
	batch, err := job.DecodeBatch(entry)
	if err != nil {
		return nil, err
	}
	outcomes := make([]job.Outcome, len(batch.Commands))
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, command := range batch.Commands {
		outcomes[i] = s.store.Apply(command)
		if s.scheduler != nil {
			now := s.clocks.Monotonic()
			s.scheduler.Applied(now, command, outcomes[i])
			s.shedder.applied(now, s.store, &batch.Commands[i], outcomes[i])
		}
	}
	s.wake()
	return outcomes, nil
}

// Snapshot implements group.StateMachine.
func (s *Shard) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Snapshot()
}

// Restore implements group.StateMachine.
func (s *Shard) Restore(snapshot []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Restore(snapshot)
}

// Digest implements group.StateMachine.
func (s *Shard) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Digest()
}

// BecameLeader implements group.StateMachine. It creates a new scheduler from the replicated state.
func (s *Shard) BecameLeader(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batchesInFlight = 0
	now := s.clocks.Monotonic()
	s.scheduler = scheduler.New(s.store, epoch, s.config, now, s.clocks.UnixMs(), s.log)
	s.shedder = newLoadShedder(now, s.store, s.log)
	s.scheduler.UpdateRunners(s.clocks.Monotonic(), s.runners)
	s.wake()
}

// LostLeadership implements group.StateMachine. It discards the scheduler. The next RunCycle answers the
// clients whose commands were not proposed yet.
func (s *Shard) LostLeadership() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler = nil
	s.wake()
}
