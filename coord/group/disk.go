package group

import "time"

// writeRetryInterval is the wait before a failed write is retried.
const writeRetryInterval = 300 * time.Millisecond

// queueWrites queues writes for runDisk, in order.
func (g *Group) queueWrites(writes []DiskWrite) {
	g.mu.Lock()
	g.writes = append(g.writes, writes...)
	g.mu.Unlock()
	wake(g.writesReady)
}

// takeWrites returns the queued writes and empties the queue.
func (g *Group) takeWrites() []DiskWrite {
	g.mu.Lock()
	defer g.mu.Unlock()
	writes := g.writes
	g.writes = nil
	return writes
}

// runDisk executes the queued writes until the group is closed. Appends that are queued together share
// one sync.
func (g *Group) runDisk() {
	defer g.stopped.Done()
	for {
		select {
		case <-g.stop:
			return
		case <-g.writesReady:
		}
		for writes := g.takeWrites(); len(writes) > 0; {
			size := SyncBatchSize(writes)
			batch := writes[:size]
			if !g.persist(batch) {
				return
			}
			snapshotDue := g.ring.NearlyFull() || g.ring.BytesSinceSnapshot() > g.snapshotThreshold
			g.post(func(now time.Duration) { g.engine.Persisted(now, batch, snapshotDue) })
			writes = writes[size:]
		}
	}
}

// persist retries a batch of writes until it succeeds. It returns false if the group is closed first.
// Until the batch succeeds, this replica acknowledges nothing, and the other replicas work without it.
func (g *Group) persist(batch []DiskWrite) bool {
	for {
		err := PersistWrites(g.ring, batch)
		if err == nil {
			return true
		}
		g.logger.Warn("disk write failed: make room or replace the machine", "error", err)
		select {
		case <-g.stop:
			return false
		case <-time.After(writeRetryInterval):
		}
	}
}
