package opconfig

import (
	"bytes"
	"encoding/gob"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// snapshot is the stored form of a Register. It is encoded with gob, which stores the names of fields: snapshots
// on disk and from processes of other builds have these names, so that a field must never be renamed. The comment
// on a field names the corresponding field of Register. The name of the type is stored too, although nothing
// reads it. It has the same length as in the first build, so that a snapshot has the same size and is sent in the
// same number of chunks, which the recorded runs of the simulation depend on.
type snapshot struct {
	Version   int64
	Content   []byte
	Taken     map[int64]Digest    // AcceptedDigests
	Order     []int64             // AcceptedVersions
	Forgotten int64               // HighestForgotten
	Changes   uint64              // ChangeCount
	Backends  map[string][]string // ServicesByQueue
	Since     map[string]int64    // MovedAtVersion
	Removed   map[string]uint64   // RemovedAtChange
}

// Snapshot returns the encoded state.
func (r *Register) Snapshot() ([]byte, error) {
	stored := snapshot{
		Version:   r.Version,
		Content:   r.Content,
		Taken:     r.AcceptedDigests,
		Order:     r.AcceptedVersions,
		Forgotten: r.HighestForgotten,
		Changes:   r.ChangeCount,
		Backends:  r.ServicesByQueue,
		Since:     r.MovedAtVersion,
		Removed:   r.RemovedAtChange,
	}
	var body bytes.Buffer
	err := gob.NewEncoder(&body).Encode(&stored)
	return body.Bytes(), errors.Wrap(err, "encode the configuration")
}

// Restore replaces the state by that of a snapshot. If it returns an error, the state is unchanged.
func (r *Register) Restore(content []byte) error {
	stored := snapshot{Taken: map[int64]Digest{}, Backends: map[string][]string{}, Since: map[string]int64{}, Removed: map[string]uint64{}}
	if err := gob.NewDecoder(bytes.NewReader(content)).Decode(&stored); err != nil {
		return errors.Wrap(err, "decode the configuration")
	}
	next := Register{
		Version:          stored.Version,
		Content:          stored.Content,
		AcceptedDigests:  stored.Taken,
		AcceptedVersions: stored.Order,
		HighestForgotten: stored.Forgotten,
		ChangeCount:      stored.Changes,
		ServicesByQueue:  stored.Backends,
		MovedAtVersion:   stored.Since,
		RemovedAtChange:  stored.Removed,
	}
	if len(next.Content) > 0 {
		config, err := Decode(next.Content)
		if err != nil {
			return err
		}
		next.parsed = config
	}
	if next.AcceptedVersions == nil { // the snapshot is of a build that did not store the order
		next.AcceptedVersions = slices.Sorted(maps.Keys(next.AcceptedDigests))
	}
	*r = next
	return nil
}
