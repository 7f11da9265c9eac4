package recordstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/records"

	"github.com/cespare/xxhash/v2"
)

// storedFence is the stored form of a records.Fence, with the fleet that it belongs to.
type storedFence struct {
	Version int
	Fleet   string
	Fence   records.Fence
}

// ErrFleet is returned by LoadFence if the fence belongs to another fleet.
var ErrFleet = errors.New("of another fleet")

// SaveFence durably stores a fleet's fence in a directory. It outlasts the store, which Open
// empties.
func SaveFence(folder, fleet string, f records.Fence) error {
	text, err := codec.Encode(storedFence{snapshotVersion, fleet, f})
	if err != nil {
		return err
	}
	text = binary.LittleEndian.AppendUint64(text, xxhash.Sum64(text))
	path := filepath.Join(folder, "fence")
	file, err := os.Create(path + ".new")
	if err != nil {
		return fmt.Errorf("the fence of records: %w", err)
	}
	_, err = file.Write(text)
	err = errors.Join(err, file.Sync(), file.Close())
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err == nil {
		err = syncDir(folder)
	}
	if err != nil {
		return fmt.Errorf("the fence of records: %w", err)
	}
	return nil
}

// LoadFence returns the fence that SaveFence stored, or an empty one if there is none.
func LoadFence(folder, fleet string) (records.Fence, error) {
	text, err := os.ReadFile(filepath.Join(folder, "fence"))
	if errors.Is(err, os.ErrNotExist) {
		return records.Fence{}, nil
	}
	if err != nil {
		return records.Fence{}, fmt.Errorf("the fence of records: %w", err)
	}
	var f storedFence
	n := len(text) - 8
	if n < 0 || xxhash.Sum64(text[:n]) != binary.LittleEndian.Uint64(text[n:]) {
		return records.Fence{}, fmt.Errorf("the fence of records is damaged: %w", ErrSnapshot)
	}
	if err := codec.Decode(text[:n], &f); err != nil || f.Version != snapshotVersion {
		return records.Fence{}, fmt.Errorf("the fence of records, version %d: %w", f.Version, errors.Join(ErrNewerVersion, err))
	}
	if f.Fleet != fleet {
		return records.Fence{}, fmt.Errorf("the fence of records: fleet %q: %w", f.Fleet, ErrFleet)
	}
	return f.Fence, nil
}
