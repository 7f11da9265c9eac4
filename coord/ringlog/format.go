package ringlog

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"hash/crc32"

	"basaltloft/coord/replica"
)

// recordKind is the kind of a record. The numeric values are stored.
type recordKind uint8

const (
	recordHardState recordKind = iota + 1
	recordEntry
	// recordReset contains the index of a snapshot that replaces all entries written before the record.
	recordReset
)

const (
	// magic begins each segment and snapshot file.
	magic = 0x62736c31
	// checksumOffset is the offset of the checksum in segments, records and snapshots. In segments and
	// records contentOffset is the offset at which the checksummed content begins; the checksum of a
	// snapshot covers only its body, and contentOffset is the offset of the body's length.
	checksumOffset = 4
	contentOffset  = 8
	// entryTermOffset is the offset of the term in an entry's payload.
	entryTermOffset = 8
	// kindOffset is the offset of the kind in a record and in an entry's payload.
	kindOffset = 16
	// segmentHeaderBytes is the size of a segment's header: magic (4), checksum of the rest (4), number
	// of the first record (8).
	segmentHeaderBytes = 16
	// recordHeaderBytes is the size of a record's header: length of the payload (4), checksum of the
	// rest and the payload (4), number (8), kind (1).
	recordHeaderBytes = 17
	// entryHeaderBytes is the size of the header of an entry's payload: index (8), term (8), kind (1).
	// The entry's data follow, or the gob encoding of its membership.
	entryHeaderBytes = 17
	// termBytes is the size of the term at the beginning of a hard state's payload. The vote follows.
	termBytes = 8
	// snapshotHeaderBytes is the size of a snapshot's header: magic (4), checksum of the body (4),
	// length of the body (8). The body is the gob encoding of a replica.Snapshot.
	snapshotHeaderBytes = 16
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(content []byte) uint32 { return crc32.Checksum(content, checksumTable) }

// record is one record of a segment.
type record struct {
	number  uint64
	kind    recordKind
	payload []byte
}

// appendSegmentHeader appends the header of a segment whose first record has the number first.
func appendSegmentHeader(to []byte, first uint64) []byte {
	start := len(to)
	to = binary.LittleEndian.AppendUint32(to, magic)
	to = binary.LittleEndian.AppendUint32(to, 0)
	to = binary.LittleEndian.AppendUint64(to, first)
	binary.LittleEndian.PutUint32(to[start+checksumOffset:], checksum(to[start+contentOffset:]))
	return to
}

// readSegmentHeader returns the number of a segment's first record, and false if the segment has no
// valid header.
func readSegmentHeader(segment []byte) (first uint64, ok bool) {
	if len(segment) < segmentHeaderBytes || binary.LittleEndian.Uint32(segment) != magic {
		return 0, false
	}
	if binary.LittleEndian.Uint32(segment[checksumOffset:]) != checksum(segment[contentOffset:segmentHeaderBytes]) {
		return 0, false
	}
	return binary.LittleEndian.Uint64(segment[contentOffset:]), true
}

// appendRecord appends an encoded record to a buffer.
func appendRecord(to []byte, r record) []byte {
	start := len(to)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(r.payload)))
	to = binary.LittleEndian.AppendUint32(to, 0)
	to = binary.LittleEndian.AppendUint64(to, r.number)
	to = append(to, byte(r.kind))
	to = append(to, r.payload...)
	binary.LittleEndian.PutUint32(to[start+checksumOffset:], checksum(to[start+contentOffset:]))
	return to
}

// readRecord returns the first record of a buffer and the bytes after it. It returns false if there is
// no record with a valid checksum and the expected number.
func readRecord(from []byte, number uint64) (r record, remaining []byte, ok bool) {
	if len(from) < recordHeaderBytes {
		return record{}, nil, false
	}
	length := int(binary.LittleEndian.Uint32(from))
	if length < 0 || length > len(from)-recordHeaderBytes {
		return record{}, nil, false
	}
	end := recordHeaderBytes + length
	if binary.LittleEndian.Uint32(from[checksumOffset:]) != checksum(from[contentOffset:end]) {
		return record{}, nil, false
	}
	r = record{
		number:  binary.LittleEndian.Uint64(from[contentOffset:]),
		kind:    recordKind(from[kindOffset]),
		payload: from[recordHeaderBytes:end],
	}
	return r, from[end:], r.number == number
}

func encodeHardState(state replica.HardState) []byte {
	return append(binary.LittleEndian.AppendUint64(nil, state.Term), state.Vote...)
}

// decodeHardState is the inverse of encodeHardState. It returns false if the payload is too short.
func decodeHardState(payload []byte) (replica.HardState, bool) {
	if len(payload) < termBytes {
		return replica.HardState{}, false
	}
	return replica.HardState{Term: binary.LittleEndian.Uint64(payload), Vote: string(payload[termBytes:])}, true
}

// encodeEntry returns an entry as a record's payload.
func encodeEntry(entry replica.Entry) ([]byte, error) {
	to := binary.LittleEndian.AppendUint64(nil, entry.Index)
	to = binary.LittleEndian.AppendUint64(to, entry.Term)
	to = append(to, byte(entry.Kind))
	if entry.Kind != replica.EntryMembership {
		return append(to, entry.Data...), nil
	}
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(entry.Membership); err != nil {
		return nil, err
	}
	return append(to, body.Bytes()...), nil
}

// decodeEntry is the inverse of encodeEntry. It returns false if the payload can't be decoded. The entry's
// data are a copy.
func decodeEntry(payload []byte) (replica.Entry, bool) {
	if len(payload) < entryHeaderBytes {
		return replica.Entry{}, false
	}
	entry := replica.Entry{
		Index: binary.LittleEndian.Uint64(payload),
		Term:  binary.LittleEndian.Uint64(payload[entryTermOffset:]),
		Kind:  replica.EntryKind(payload[kindOffset]),
	}
	content := payload[entryHeaderBytes:]
	if entry.Kind != replica.EntryMembership {
		entry.Data = bytes.Clone(content)
		return entry, true
	}
	entry.Membership = &replica.Membership{}
	return entry, gob.NewDecoder(bytes.NewReader(content)).Decode(entry.Membership) == nil
}
