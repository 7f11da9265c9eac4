package group

import (
	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
)

// DiskWrite is what the disk is to do next, and what follows its sync.
type DiskWrite struct {
	state     *replica.HardState
	entries   []replica.Entry
	install   *replica.Snapshot
	snapshot  *replica.Snapshot
	afterSync []replica.Message
	size      int // bytes of data
}

// appends tells whether a write only appends, so that it can share a sync.
func (w *DiskWrite) appends() bool { return w.install == nil && w.snapshot == nil }

// SyncBatchSize returns how many of the first writes can share one sync; there is at least one.
func SyncBatchSize(writes []DiskWrite) int {
	n := 1
	for n < len(writes) && writes[n].appends() && writes[0].appends() {
		n++
	}
	return n
}

// PersistWrites carries out writes that go together. After an error the same call may be made
// again.
func PersistWrites(ring *ringlog.Ring, writes []DiskWrite) error {
	first := writes[0]
	if first.snapshot != nil {
		return ring.SaveSnapshot(*first.snapshot)
	}
	if first.install != nil {
		if err := ring.Reset(*first.install); err != nil {
			return err
		}
	}
	state, entries := merge(writes)
	if state == nil && len(entries) == 0 {
		return nil
	}
	return ring.Append(state, entries)
}

// merge joins appends into one.
func merge(writes []DiskWrite) (state *replica.HardState, entries []replica.Entry) {
	if len(writes) == 1 {
		return writes[0].state, writes[0].entries
	}
	for _, w := range writes {
		if w.state != nil {
			state = w.state
		}
		entries = append(entries, w.entries...)
	}
	return state, entries
}
