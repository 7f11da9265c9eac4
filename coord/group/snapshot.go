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

// snapshotIfDue takes a snapshot where the log has grown enough and none is being written; false: none
// is due, or the state machine returned an error.
func (e *Engine) snapshotIfDue() (snapshot replica.Snapshot, due bool) {
	if e.snapshotInFlight || !e.logNearlyFull || e.node.Applied() <= e.node.SnapshotIndex() {
		return snapshot, false
	}
	snapshot, err := e.takeSnapshot()
	e.snapshotInFlight = err == nil
	return snapshot, err == nil
}

// compact drops entries that a written snapshot covers. Those after a snapshot that is being sent stay:
// the receiver continues from there.
func (e *Engine) compact(snapshot replica.Snapshot) {
	retention := e.settings.LogRetention
	retention.AfterIndex = e.lowestSentSnapshotIndex()
	e.node.Compact(snapshot, retention)
}
