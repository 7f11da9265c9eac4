// Package simdisk is an in-memory disk with fault injection for tests. A loss of power keeps, loses or
// tears each write after the last sync. Writes can fail as on a full disk, and a crash can be simulated
// at any operation. Only tests import this package.
package simdisk

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/ringlog"
)

// Errors of a disk's operations.
var (
	// ErrFull is returned when the disk is full. Nothing was written or synced.
	ErrFull = errors.New("the simulated disk is full")
	// ErrCrashed is returned when the machine of the disk has crashed. A write may have been executed.
	ErrCrashed = errors.New("the simulated machine has crashed")
)

// Disk is a simulated disk. It implements ringlog.FileSystem. Its methods may be called concurrently; its
// exported fields may only be used while no other goroutine uses the disk.
type Disk struct {
	mu     sync.Mutex
	files  map[string]*file // by path
	random *rand.Rand

	// Full makes writes and syncs fail with ErrFull. SetFull sets it while other goroutines use the disk.
	Full bool
	// IgnoreSync makes file syncs succeed without making anything durable, as an injected fault.
	IgnoreSync bool
	// LoseUnsynced makes a loss of power discard everything that was not synced.
	LoseUnsynced bool
	// TornBySector makes a loss of power keep any subset of the sectors of writes that were not synced,
	// instead of whole writes and their beginnings.
	TornBySector bool
	// CrashAtOperation is the number of the first operation that fails with ErrCrashed; all later ones
	// fail too. 0 means that none fails.
	CrashAtOperation int
	// OperationCount is the number of writes and syncs so far.
	OperationCount int
}

// file is the content of one file.
type file struct {
	synced  []byte
	pending []write // writes after the last sync, in order
	durable bool    // whether its name survives a loss of power
}

// write is one write that is not synced yet.
type write struct {
	offset  int64
	content []byte
}

// New returns an empty disk. The seed determines which unsynced writes survive a loss of power.
func New(seed uint64) *Disk {
	return &Disk{files: map[string]*file{}, random: rand.New(rand.NewPCG(seed, 77))}
}

// countOperation counts a write or sync, and returns its injected error, if any.
func (d *Disk) countOperation() error {
	d.OperationCount++
	if d.CrashAtOperation > 0 && d.OperationCount >= d.CrashAtOperation {
		return ErrCrashed
	}
	if d.Full {
		return ErrFull
	}
	return nil
}

// MakeDir implements ringlog.FileSystem. It does nothing: a simulated disk has no directories.
func (d *Disk) MakeDir(string) error { return nil }

// Open implements ringlog.FileSystem.
func (d *Disk) Open(path string) (ringlog.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[path] == nil {
		d.files[path] = &file{}
	}
	return &handle{disk: d, file: d.files[path]}, nil
}

// ReadFile implements ringlog.FileSystem. The content includes writes that are not synced.
func (d *Disk) ReadFile(path string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[path]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return f.content(), nil
}

// SyncDir implements ringlog.FileSystem.
func (d *Disk) SyncDir(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countOperation(); err != nil {
		return err
	}
	for _, f := range d.files {
		f.durable = true
	}
	return nil
}

// SetFull sets Full: whether writes and syncs fail.
func (d *Disk) SetFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Full = full
}

// LosePower simulates a loss of power. Synced content stays. Each later write is kept, lost or torn at
// random, and a file whose name was not synced may be lost. With LoseUnsynced all of these are lost.
// Afterwards the disk works again, without a crash or a full disk.
func (d *Disk) LosePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.CrashAtOperation, d.Full = 0, false
	for _, path := range slices.Sorted(maps.Keys(d.files)) { // in a fixed order, so that runs are reproducible
		f := d.files[path]
		if !f.durable && (d.LoseUnsynced || d.random.IntN(2) == 0) {
			delete(d.files, path)
			continue
		}
		for _, w := range f.pending {
			d.persistPartially(f, w)
		}
		f.pending, f.durable = nil, true
	}
}

// persistPartially keeps an unsynced write, a part of it, or nothing after a loss of power.
func (d *Disk) persistPartially(f *file, w write) {
	if d.LoseUnsynced {
		return
	}
	if d.TornBySector {
		d.persistSectors(f, w)
		return
	}
	switch d.random.IntN(3) {
	case 0:
		f.synced = overwrite(f.synced, w)
	case 1:
		w.content = w.content[:d.random.IntN(len(w.content)+1)]
		f.synced = overwrite(f.synced, w)
	}
}

// sectorBytes is the size of the parts of a write that a disk writes as a whole.
const sectorBytes = 512

// persistSectors keeps a random subset of the sectors of an unsynced write.
func (d *Disk) persistSectors(f *file, w write) {
	for len(w.content) > 0 {
		size := min(len(w.content), sectorBytes-int(w.offset%sectorBytes))
		if d.random.IntN(2) == 0 {
			f.synced = overwrite(f.synced, write{offset: w.offset, content: w.content[:size]})
		}
		w.offset, w.content = w.offset+int64(size), w.content[size:]
	}
}

// Wipe removes all files.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files = map[string]*file{}
}

// content returns the content with all writes, synced or not.
func (f *file) content() []byte {
	content := slices.Clone(f.synced)
	for _, w := range f.pending {
		content = overwrite(content, w)
	}
	return content
}

// overwrite applies a write to the content, which it extends if necessary.
func overwrite(content []byte, w write) []byte {
	if size := int(w.offset) + len(w.content); size > len(content) {
		content = append(content, make([]byte, size-len(content))...)
	}
	copy(content[w.offset:], w.content)
	return content
}

// handle is an open file.
type handle struct {
	disk *Disk
	file *file
}

// WriteAt implements ringlog.File. A write that fails with ErrCrashed may be kept, lost or torn.
func (h *handle) WriteAt(p []byte, offset int64) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	err := h.disk.countOperation()
	if errors.Is(err, ErrFull) {
		return 0, err
	}
	h.file.pending = append(h.file.pending, write{offset: offset, content: slices.Clone(p)})
	return len(p), err
}

// Sync implements ringlog.File. It makes the file's name durable too.
func (h *handle) Sync() error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if err := h.disk.countOperation(); err != nil {
		return err
	}
	if h.disk.IgnoreSync {
		return nil
	}
	h.file.synced, h.file.pending, h.file.durable = h.file.content(), nil, true
	return nil
}

// Close implements ringlog.File.
func (h *handle) Close() error { return nil }
