// Package simdisk is a disk in memory for tests. A loss of power keeps, loses or tears what was
// written after the last sync; writes can fail as on a full disk, and a process can be made to crash
// at any of its operations. Only tests import it.
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
	// ErrFull is the error of a full disk: nothing was written.
	ErrFull = errors.New("the simulated disk is full")
	// ErrCrashed is the error of a disk whose machine has crashed: a write may have been carried out.
	ErrCrashed = errors.New("the simulated machine has crashed")
)

// Disk holds files by path. It implements ringlog.FileSystem. Its methods may be called concurrently;
// its fields are for tests with one goroutine.
type Disk struct {
	mu     sync.Mutex
	files  map[string]*file
	random *rand.Rand

	// Full makes writes and syncs fail. SetFull sets it beside other goroutines.
	Full bool
	// IgnoreSync makes syncs succeed without making anything durable: a planted fault.
	IgnoreSync bool
	// LoseUnsynced makes a loss of power take all that was not synced.
	LoseUnsynced bool
	// CrashAtOperation makes the operation of that number and all after it fail; 0: none.
	CrashAtOperation int
	// OperationCount is the number of writes and syncs so far.
	OperationCount int
}

// file is the content of one file.
type file struct {
	synced  []byte
	pending []write // after the last sync, in order
	durable bool    // its name outlives a loss of power
}

// write is one write after the last sync.
type write struct {
	offset  int64
	content []byte
}

// New returns an empty disk. The seed decides what a loss of power leaves.
func New(seed uint64) *Disk {
	return &Disk{files: map[string]*file{}, random: rand.New(rand.NewPCG(seed, 77))}
}

// countOperation counts a write or sync and returns its planned error.
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

// MakeDir implements ringlog.FileSystem; a simulated disk has paths only.
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

// ReadFile implements ringlog.FileSystem. It reads also what is not synced.
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

// SetFull makes writes and syncs fail, or succeed again.
func (d *Disk) SetFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Full = full
}

// LosePower keeps of each file what was synced. Each later write is there, missing or torn, and a
// file whose name was not synced may be gone; with LoseUnsynced all of these are. The disk works
// again afterwards.
func (d *Disk) LosePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.CrashAtOperation, d.Full = 0, false
	for _, path := range slices.Sorted(maps.Keys(d.files)) { // in a fixed order, so that a run can be repeated
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

// persistPartially decides what a loss of power leaves of a write.
func (d *Disk) persistPartially(f *file, w write) {
	if d.LoseUnsynced {
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

// Wipe removes all files.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files = map[string]*file{}
}

// content returns what a process reads: all writes.
func (f *file) content() []byte {
	content := slices.Clone(f.synced)
	for _, w := range f.pending {
		content = overwrite(content, w)
	}
	return content
}

// overwrite carries a write out, extending the content where need be.
func overwrite(content []byte, w write) []byte {
	if need := int(w.offset) + len(w.content); need > len(content) {
		content = append(content, make([]byte, need-len(content))...)
	}
	copy(content[w.offset:], w.content)
	return content
}

// handle is an open file.
type handle struct {
	disk *Disk
	file *file
}

// WriteAt implements ringlog.File. A write that a crash interrupts may be carried out in part.
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
