package raftnode

import (
	"fmt"
	"io"
	"sync"

	"basaltloft/internal/dispatcher/fleet/state"

	"github.com/hashicorp/raft"
)

// fsm adapts the state to raft. Commands are applied by raft's single goroutine; other
// goroutines read.
type fsm struct {
	mu            sync.RWMutex
	state         *state.Machine
	onDigests     func(index uint64, byPartition map[string]uint64, err error)
	onPeerDigests func() // a replica's digests have been applied
}

// digestRequest is the body of a tick at which every replica computes its digests.
var digestRequest = []byte{1}

// Apply implements raft.FSM.
func (f *fsm) Apply(l *raft.Log) any {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.state.Apply(l.Index, l.Data)
	if c, err := state.Decode(l.Data); err == nil && f.onDigests != nil {
		switch {
		case c.Kind == state.Tick && len(c.Body) > 0:
			digests, err := f.state.Digests()
			f.onDigests(l.Index, digests, err)
		case c.Kind == state.ReportDigests:
			f.onPeerDigests()
		}
	}
	return r
}

// Snapshot implements raft.FSM.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now, err := f.state.Snapshot()
	return fsmSnapshot{now}, err
}

// Restore implements raft.FSM.
func (f *fsm) Restore(r io.ReadCloser) error {
	defer func() { _ = r.Close() }()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Restore(r)
}

func (f *fsm) replace(m *state.Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = m
}

// read calls a function with the state, which it must not change.
func (f *fsm) read(inspect func(*state.Machine)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	inspect(f.state)
}

type fsmSnapshot struct{ state.Snapshot }

// Persist implements raft.FSMSnapshot.
func (s fsmSnapshot) Persist(to raft.SnapshotSink) error {
	if err := s.Write(to); err != nil {
		_ = to.Cancel()
		return fmt.Errorf("writing a snapshot: %w", err)
	}
	return to.Close()
}

// Release implements raft.FSMSnapshot.
func (s fsmSnapshot) Release() { s.Discard() }
