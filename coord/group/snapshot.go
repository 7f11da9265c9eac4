package group

import "basaltloft/coord/replica"

// takeSnapshot returns a snapshot of what is applied.
func (e *Engine) takeSnapshot() (replica.Snapshot, error) {
	data, err := e.stateMachine.Snapshot()
	if err != nil {
		e.logger.Error("snapshot failed", "error", err)
		return replica.Snapshot{}, err
	}
	snapshot := e.node.AppliedSnapshot()
	snapshot.Data = data
	return snapshot, nil
}

// snapshotIfDue takes a snapshot to be written where the log has grown enough; one at a time.
func (e *Engine) snapshotIfDue() (snapshot replica.Snapshot, due bool) {
	if e.snapshotInFlight || !e.logNearlyFull || e.node.Applied() <= e.node.SnapshotIndex() {
		return snapshot, false
	}
	snapshot, err := e.takeSnapshot()
	e.snapshotInFlight = err == nil
	return snapshot, err == nil
}

// compact drops entries that a written snapshot stands for. Those after a snapshot that is being
// sent stay: the receiver goes on from there.
func (e *Engine) compact(snapshot replica.Snapshot) {
	retention := e.settings.LogRetention
	retention.AfterIndex = e.lowestSentSnapshotIndex()
	e.node.Compact(snapshot, retention)
}
