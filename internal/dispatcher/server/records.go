package server

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/fleet/coordinator"
	"basaltloft/internal/dispatcher/fleet/partition"
	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/fleet/spool"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/segment"
	"basaltloft/internal/dispatcher/settings"
)

// recorder is a pipeline.Ledger that also adds a record of each final answer to this process's spool,
// which ships the records to the fleet. It also serves the admin API's requests for the fleet's records.
type recorder struct {
	pipeline.Ledger
	s            *Service
	fleet        *fleet
	maxBodyBytes int          // a longer answer is recorded without its body
	spool        *spool.Spool // nil: this process records nothing
}

const (
	retentionInterval = time.Second     // between two prunes of records
	fenceInterval     = 2 * time.Second // between two saves of the fence
	recordsTimeout    = 3 * time.Second // for one prune, or one shipment of records
	spoolCloseTimeout = time.Second     // how long a shutdown waits until the last records are shipped
	maxPageRecords    = 1000
)

// newRecorder creates the recorder and, if the operator's file enables records, opens the spool.
func (s *Service) newRecorder(f *settings.Fleet, fl *fleet) (*recorder, error) {
	r := &recorder{Ledger: s.metrics, s: s, fleet: fl}
	if f.Records == nil {
		return r, nil
	}
	r.maxBodyBytes = f.Records.Body
	folder, err := segment.OpenDirectory(filepath.Join(f.DataDir, "spool"))
	if err != nil {
		return nil, fmt.Errorf("the spool of records: %w", err)
	}
	r.spool, err = spool.Open(folder, spool.Settings{
		Process: f.Name, QueueLength: 8192, BatchSize: 256, MaxBodyBytes: r.maxBodyBytes, SegmentBytes: 4 << 20, MaxBytes: 1 << 30,
		WriteDelay: 10 * time.Millisecond, SyncInterval: time.Second, RetryInterval: 250 * time.Millisecond,
	}, time.Now(), s.log.With("part", "spool"), r.ship)
	if err != nil {
		_ = folder.Close() // the error that matters is returned
		return nil, err
	}
	fl.components = append(fl.components, &component{
		name: "records",
		serve: func(ctx context.Context, _ net.Listener) error {
			<-ctx.Done()
			return r.spool.Close(ctx)
		},
		stop: func(ctx context.Context) error {
			ctx, cancel := context.WithDeadline(ctx, time.Now().Add(spoolCloseTimeout))
			defer cancel()
			if err := r.spool.Close(ctx); err != nil {
				s.log.Error("closing the spool of records", "error", err)
			}
			return nil
		},
	})
	return r, nil
}

// ship sends a batch of records to the fleet, and returns the number of the last record that the fleet
// has stored.
func (r *recorder) ship(ctx context.Context, batch records.Ship) (through uint64, err error) {
	s := r.fleet.agent.Session()
	if s == nil {
		return 0, coordinator.ErrNoSession
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(recordsTimeout))
	defer cancel()
	var done partition.RecordsShipped
	if err := s.Execute(ctx, partition.RecordsShip, batch, &done); err != nil {
		return 0, err
	}
	if done.Gap {
		return done.Through, records.ErrGap
	}
	return done.Through, nil
}

// JobEnded implements pipeline.Ledger. It never blocks: if the spool is full, the record is dropped and
// counted, and the client gets its answer all the same.
func (r *recorder) JobEnded(t *engine.Transaction, a engine.Answer, now time.Time) {
	r.Ledger.JobEnded(t, a, now)
	if r.spool == nil {
		return
	}
	record := records.Record{
		ID: t.ID, Key: t.Key, Tenant: t.Tenant, Class: t.Class, Plan: t.Plan, Stage: t.Stage, Outcome: a.Verdict.Outcome().String(), Reason: a.Reason.String(),
		Arrived: t.Arrived.UnixNano(), Ended: now.UnixNano(), Attempts: a.Attempts, Members: a.MembersTried,
	}
	if len(a.Body) <= r.maxBodyBytes {
		record.Body = a.Body
	}
	r.spool.Add(record)
}

// enforceRetention prunes the records that the retention rules no longer protect, while this process's
// Raft node is the leader, until the context ends.
func (r *recorder) enforceRetention(ctx context.Context) {
	ticker := time.NewTicker(retentionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		node, session := r.fleet.raftNode.Load(), r.fleet.agent.Session()
		if node == nil || session == nil || !node.IsLeader() {
			continue
		}
		for more := true; more; {
			var err error
			if more, err = r.enforceRetentionOnce(ctx, session); err != nil && ctx.Err() == nil {
				r.s.log.Debug("records could not be pruned", "error", err)
			}
		}
	}
}

// enforceRetentionOnce prunes a limited number of records, and reports whether there may be more.
func (r *recorder) enforceRetentionOnce(ctx context.Context, s *rpc.Session) (more bool, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(recordsTimeout))
	defer cancel()
	var p partition.RecordsPrunePlan
	if err := r.query(ctx, s, partition.RecordsPlanPrune, time.Now().UnixNano(), &p); err != nil || !p.Needed {
		return false, err
	}
	var done records.Pruned
	err = s.Execute(ctx, partition.RecordsPrune, p.Prune, &done)
	return err == nil && done.Removed > 0, err
}
