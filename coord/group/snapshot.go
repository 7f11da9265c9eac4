package group

import "basaltloft/coord/replica"

// takeSnapshot returns a snapshot of the applied state.
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

// snapshotIfDue takes a snapshot if the log has grown enough and no snapshot is being written. due is
// false if none was taken, also if the state machine returned an error.
func (e *Engine) snapshotIfDue() (snapshot replica.Snapshot, due bool) {
	if e.snapshotInFlight || !e.snapshotDue || e.node.Applied() <= e.node.SnapshotIndex() {
		return snapshot, false
	}
	snapshot, err := e.takeSnapshot()
	e.snapshotInFlight = err == nil
	return snapshot, err == nil
}

// compact discards entries that a written snapshot covers. It keeps the entries after a snapshot that is
// being sent, because the receiver needs them next.
func (e *Engine) compact(snapshot replica.Snapshot) {
	retention := e.settings.LogRetention
	retention.AfterIndex = e.lowestSentSnapshotIndex()
	e.node.Compact(snapshot, retention)
}
