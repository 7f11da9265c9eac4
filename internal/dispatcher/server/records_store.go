package server

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"basaltloft/internal/dispatcher/fleet/partition"
	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/fleet/recordstore"
	"basaltloft/internal/dispatcher/fleet/state"
	"basaltloft/internal/dispatcher/settings"
	"basaltloft/internal/shared/saturating"
)

// openStore closes the Raft node's store of records if it is open, and opens it again. It returns the
// partition with the store and the saved fence of pruned records.
func (f *fleet) openStore(folder string) (*partition.Records, error) {
	if f.store != nil {
		if err := f.store.Close(); err != nil {
			return nil, fmt.Errorf("the store of records: %w", err)
		}
	}
	var err error
	if f.store, err = recordstore.Open(filepath.Join(folder, "records")); err != nil {
		return nil, err
	}
	known, err := recordstore.LoadFence(folder, fenceOwner)
	if err != nil {
		f.log.Error("the fence of pruned records can't be read and is ignored", "error", err)
	}
	return partition.NewRecords(f.store, known), nil
}

// fenceOwner is the owner's name in a saved fence. It is constant, as a directory belongs to one fleet.
const fenceOwner = "fleet"

// persistFence saves this node's fence of pruned records whenever its edition has increased, until the
// context ends.
func (f *fleet) persistFence(ctx context.Context, folder string) {
	ticker := time.NewTicker(fenceInterval)
	defer ticker.Stop()
	var last uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		node := f.raftNode.Load()
		if node == nil {
			continue
		}
		var fence records.Fence
		node.Inspect(func(m *state.Machine) {
			if p, ok := m.Partition(partition.RecordsName).(*partition.Records); ok {
				fence = p.Fence()
			}
		})
		if fence.Edition <= last {
			continue
		}
		if err := recordstore.SaveFence(folder, fenceOwner, fence); err != nil {
			f.log.Error("the fence of pruned records can't be saved", "error", err)
			continue
		}
		last = fence.Edition
	}
}

// retentionRules translates the operator's file into the fleet's retention rules.
func retentionRules(f *settings.FleetRecords) records.SetRules {
	const day = float64(24 * time.Hour)
	var set records.SetRules
	for name, r := range f.Tenants {
		keep := records.Limits{MaxAge: saturating.Int64(r.Days * day), MaxCount: int64(r.Count), MaxBytes: int64(r.Megabytes) << 20}
		failed := keep
		if longer := saturating.Int64(r.FailureDays * day); keep.MaxAge > 0 && longer > keep.MaxAge {
			failed.MaxAge = longer
		}
		set.Rules = append(set.Rules, records.Rule{Tenant: name, Keep: keep, Failed: failed})
	}
	return set
}
