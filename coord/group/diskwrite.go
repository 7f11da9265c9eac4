package group

import (
	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
)

// DiskWrite is one write of the log or of a snapshot. A driver passes it to PersistWrites, and then to
// Engine.Persisted; its content is of no concern to the driver.
type DiskWrite struct {
	hardState *replica.HardState
	entries   []replica.Entry
	install   *replica.Snapshot // from the leader: it replaces the log
	snapshot  *replica.Snapshot // of this replica's own state: the log stays

	messagesAfterSync []replica.Message
	bytes             int // of data, as counted in Engine.unsyncedBytes
}

// newWrite returns the write that a Ready asks for, if any.
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

// onlyAppends reports whether a write can share a sync with other appends.
func (w *DiskWrite) onlyAppends() bool { return w.install == nil && w.snapshot == nil }

// SyncBatchSize returns how many of the first writes can share one sync; there must be at least one.
func SyncBatchSize(writes []DiskWrite) int {
	size := 1
	for size < len(writes) && writes[size].onlyAppends() && writes[0].onlyAppends() {
		size++
	}
	return size
}

// PersistWrites writes and syncs a batch of SyncBatchSize. After an error it may be called again
// with the same batch.
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

// merge joins appends into one: the last hard state and all entries.
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
