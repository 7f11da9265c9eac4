package ringlog

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
)

// snapshotSlots is the number of slots: one holds the newest snapshot while the other is written.
const snapshotSlots = 2

// SaveSnapshot writes a snapshot into the older of the two slots and syncs it, so that the newer slot
// stays intact even if the write fails. The log is unchanged. After an error it may be called again.
func (r *Ring) SaveSnapshot(snapshot replica.Snapshot) error {
	content, err := encodeSnapshot(snapshot)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	if err := r.writeSlot(content); err != nil {
		return err
	}
	r.nextSlot = 1 - r.nextSlot
	r.snapshotIndex, r.bytesSinceSnapshot = snapshot.Index, 0
	return nil
}

func (r *Ring) slotPath(slot int) string {
	return filepath.Join(r.folder, fmt.Sprintf("snapshot-%d", slot))
}

// writeSlot writes and syncs a snapshot's content into nextSlot. It does not truncate the file: the rest
// of an older and longer snapshot remains after the content.
func (r *Ring) writeSlot(content []byte) error {
	file, err := r.files.Open(r.slotPath(r.nextSlot))
	if err != nil {
		return errors.Wrap(err, "open snapshot slot")
	}
	defer closeFile(file)
	if _, err := file.WriteAt(content, 0); err != nil {
		return errors.Wrap(err, "write snapshot")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync snapshot")
	}
	return errors.Wrap(r.files.SyncDir(r.folder), "sync log folder")
}

// newestSnapshot returns the newest complete snapshot and its slot, and false if there is none.
func (r *Ring) newestSnapshot() (newest replica.Snapshot, slot int, ok bool) {
	for i := range snapshotSlots {
		content, err := r.files.ReadFile(r.slotPath(i))
		if err != nil { // a slot that can't be read is treated like one that was never written
			continue
		}
		snapshot, complete := decodeSnapshot(content)
		if complete && (!ok || snapshot.Index > newest.Index) {
			newest, slot, ok = snapshot, i, true
		}
	}
	return newest, slot, ok
}

func encodeSnapshot(snapshot replica.Snapshot) ([]byte, error) {
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(snapshot); err != nil {
		return nil, err
	}
	content := binary.LittleEndian.AppendUint32(nil, magic)
	content = binary.LittleEndian.AppendUint32(content, checksum(body.Bytes()))
	content = binary.LittleEndian.AppendUint64(content, uint64(body.Len()))
	return append(content, body.Bytes()...), nil
}

// decodeSnapshot returns the snapshot of a slot, and false if it is incomplete or damaged. The rest of an
// older and longer snapshot may follow it.
func decodeSnapshot(content []byte) (snapshot replica.Snapshot, ok bool) {
	if len(content) < snapshotHeaderBytes || binary.LittleEndian.Uint32(content) != magic {
		return snapshot, false
	}
	length := binary.LittleEndian.Uint64(content[contentOffset:])
	if length > uint64(len(content)-snapshotHeaderBytes) {
		return snapshot, false
	}
	body := content[snapshotHeaderBytes : snapshotHeaderBytes+length]
	if checksum(body) != binary.LittleEndian.Uint32(content[checksumOffset:]) {
		return snapshot, false
	}
	return snapshot, gob.NewDecoder(bytes.NewReader(body)).Decode(&snapshot) == nil
}
