package group

import (
	"time"

	"basaltloft/coord/replica"
)

// write is what the disk is to do next, and what follows its sync.
type write struct {
	state     *replica.HardState
	entries   []replica.Entry
	install   *replica.Snapshot
	snapshot  *replica.Snapshot
	afterSync []replica.Message
}

// retryDisk is the pause before a refused write is tried again.
const retryDisk = 300 * time.Millisecond

func (g *Group) queueWrite(w write) {
	g.mu.Lock()
	g.pending = append(g.pending, w)
	g.mu.Unlock()
	select {
	case g.writes <- struct{}{}:
	default:
	}
}

func (g *Group) takenWrites() []write {
	g.mu.Lock()
	defer g.mu.Unlock()
	writes := g.pending
	g.pending = nil
	return writes
}

// writeLoop writes what waits. All appends that wait together share one sync.
func (g *Group) writeLoop() {
	defer g.stopped.Done()
	for {
		select {
		case <-g.stop:
			return
		case <-g.writes:
		}
		for writes := g.takenWrites(); len(writes) > 0; {
			n := 1
			for n < len(writes) && writes[n].plain() && writes[0].plain() {
				n++
			}
			if !g.retry(func() error { return g.writeOut(writes[:n]) }) {
				return
			}
			g.synced(writes[:n])
			writes = writes[n:]
		}
	}
}

// plain tells whether a write only appends, so that it can share a sync.
func (w *write) plain() bool { return w.install == nil && w.snapshot == nil }

// retry repeats a write until it succeeds; false: the replica ends. A disk that refuses
// makes this replica fall silent, and the others go on without it.
func (g *Group) retry(do func() error) bool {
	for {
		err := do()
		if err == nil {
			return true
		}
		g.log.Warn("the disk refuses: make room, or replace the machine", "error", err)
		select {
		case <-g.stop:
			return false
		case <-time.After(retryDisk):
		}
	}
}

func (g *Group) writeOut(writes []write) error {
	first := writes[0]
	if first.snapshot != nil {
		return g.ring.SaveSnapshot(*first.snapshot)
	}
	if first.install != nil {
		if err := g.ring.Reset(*first.install); err != nil {
			return err
		}
	}
	state, entries := merge(writes)
	if state == nil && len(entries) == 0 {
		return nil
	}
	return g.ring.Append(state, entries)
}

// merge joins appends into one.
func merge(writes []write) (state *replica.HardState, entries []replica.Entry) {
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

// synced tells the machine what is on disk, and sends what waited for it.
func (g *Group) synced(writes []write) {
	g.crowded.Store(g.ring.Crowded() || g.ring.Used() > g.settings.Snapshot)
	g.post(func(now time.Duration) {
		for _, w := range writes {
			if w.install != nil {
				g.machine.Synced(now, w.install.Index, w.install.Term)
			}
			if len(w.entries) > 0 {
				last := w.entries[len(w.entries)-1]
				g.machine.Synced(now, last.Index, last.Term)
			}
			if w.snapshot != nil {
				g.snapshotting = false
				g.machine.Compact(*w.snapshot, keepEntries)
			}
			for _, message := range w.afterSync {
				g.send(message)
			}
		}
	})
}
