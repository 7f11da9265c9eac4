package group

import (
	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
)

// DiskWrite is one write to the log or of a snapshot. A driver passes it to PersistWrites and then to
// Engine.Persisted; its content is opaque to the driver.
type DiskWrite struct {
	hardState *replica.HardState
	entries   []replica.Entry
	install   *replica.Snapshot // received from the leader; it replaces the log
	snapshot  *replica.Snapshot // of this replica's own state; the log is kept

	messagesAfterSync []replica.Message
	bytes             int // data size that was added to Engine.unsyncedBytes
}

// newWrite returns the write that a Ready requires. needed is false if it requires none.
func (e *Engine) newWrite(ready *replica.Ready) (write DiskWrite, needed bool) {
	if ready.HardState == nil && len(ready.Entries) == 0 && ready.Snapshot == nil && len(ready.MessagesAfterSync) == 0 {
		return DiskWrite{}, false
	}
	write = DiskWrite{hardState: ready.HardState, entries: ready.Entries, install: ready.Snapshot, messagesAfterSync: ready.MessagesAfterSync}
	for i := range write.entries {
		write.bytes += len(write.entries[i].Data)
	}
	if write.install != nil {
		write.bytes += len(write.install.Data)
	}
	e.unsyncedBytes += write.bytes
	return write, true
}

// onlyAppends reports whether a write only appends to the log, so that it can share a sync with other
// appends.
func (w *DiskWrite) onlyAppends() bool { return w.install == nil && w.snapshot == nil }

// SyncBatchSize returns how many writes at the front of the queue can share one sync. writes must not
// be empty.
func SyncBatchSize(writes []DiskWrite) int {
	size := 1
	for size < len(writes) && writes[size].onlyAppends() && writes[0].onlyAppends() {
		size++
	}
	return size
}

// PersistWrites writes and syncs a batch of the size that SyncBatchSize returned. After an error it may
// be called again with the same batch.
func PersistWrites(ring *ringlog.Ring, batch []DiskWrite) error {
	first := batch[0]
	if first.snapshot != nil {
		return ring.SaveSnapshot(*first.snapshot)
	}
	if first.install != nil {
		if err := ring.Reset(*first.install); err != nil {
			return err
		}
	}
	hardState, entries := merge(batch)
	if hardState == nil && len(entries) == 0 {
		return nil
	}
	return ring.Append(hardState, entries)
}

// merge combines the appends of a batch: it returns their last hard state and all their entries.
func merge(batch []DiskWrite) (hardState *replica.HardState, entries []replica.Entry) {
	if len(batch) == 1 {
		return batch[0].hardState, batch[0].entries
	}
	for _, write := range batch {
		if write.hardState != nil {
			hardState = write.hardState
		}
		entries = append(entries, write.entries...)
	}
	return hardState, entries
}
