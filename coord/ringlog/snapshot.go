package ringlog

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"hash/crc32"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
)

// SaveSnapshot writes a snapshot into the older of the two slots and syncs it.
func (r *Ring) SaveSnapshot(snapshot replica.Snapshot) error {
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(snapshot); err != nil {
		return errors.Wrap(err, "encode a snapshot")
	}
	head := binary.LittleEndian.AppendUint32(nil, magic)
	head = binary.LittleEndian.AppendUint32(head, crc32.Checksum(body.Bytes(), table))
	head = binary.LittleEndian.AppendUint64(head, uint64(body.Len()))
	if err := r.writeSlot(append(head, body.Bytes()...)); err != nil {
		return err
	}
	r.slot = 1 - r.slot
	r.base, r.baseTerm, r.used = snapshot.Index, snapshot.Term, 0
	return nil
}

func (r *Ring) slotPath(slot int) string {
	return filepath.Join(r.folder, fmt.Sprintf("snapshot-%d", slot))
}

func (r *Ring) writeSlot(content []byte) error {
	file, err := r.files.Open(r.slotPath(r.slot))
	if err != nil {
		return errors.Wrap(err, "open a snapshot's slot")
	}
	defer file.Close()
	if _, err := file.WriteAt(content, 0); err != nil {
		return errors.Wrap(err, "write a snapshot")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync a snapshot")
	}
	return errors.Wrap(r.files.SyncDir(r.folder), "sync the log's folder")
}

// newestSnapshot returns the newer of the two slots that checks.
func (r *Ring) newestSnapshot() (newest replica.Snapshot, slot int, ok bool) {
	for at := range 2 {
		snapshot, checks := r.readSlot(at)
		if checks && (!ok || snapshot.Index > newest.Index) {
			newest, slot, ok = snapshot, at, true
		}
	}
	return newest, slot, ok
}

func (r *Ring) readSlot(slot int) (snapshot replica.Snapshot, ok bool) {
	content, err := r.files.ReadFile(r.slotPath(slot))
	if err != nil || len(content) < 16 || binary.LittleEndian.Uint32(content) != magic {
		return snapshot, false
	}
	length := binary.LittleEndian.Uint64(content[8:])
	if length > uint64(len(content)-16) {
		return snapshot, false
	}
	body := content[16 : 16+length]
	if crc32.Checksum(body, table) != binary.LittleEndian.Uint32(content[4:]) {
		return snapshot, false
	}
	return snapshot, gob.NewDecoder(bytes.NewReader(body)).Decode(&snapshot) == nil
}
