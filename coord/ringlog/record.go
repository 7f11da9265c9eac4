// Package ringlog keeps one replica's log and snapshots on disk: a ring of preallocated
// segment files, and two slots for snapshots that are written by turns. This file has the
// format of segments, without I/O; ring.go has the files.
//
// A segment begins with a header. Records follow, each with its length, a checksum and a
// number that rises by one from record to record, over all segments. What follows the last
// sync may be missing or torn after a loss of power; reading ends at the first record that
// does not check.
package ringlog

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"hash/crc32"

	"basaltloft/coord/replica"
)

// recordKind tells what a record holds.
type recordKind uint8

const (
	recordState recordKind = iota + 1
	recordEntry
	recordBase // entries up to this index are in a snapshot; the log begins anew after it
)

const (
	magic        = 0x62736c31
	headerBytes  = 16 // magic, checksum, number of the segment's first record
	framingBytes = 17 // length, checksum, number, kind
)

var table = crc32.MakeTable(crc32.Castagnoli)

// record is one record as it stands in a segment.
type record struct {
	number  uint64
	kind    recordKind
	payload []byte
}

func appendHeader(to []byte, first uint64) []byte {
	start := len(to)
	to = binary.LittleEndian.AppendUint32(to, magic)
	to = binary.LittleEndian.AppendUint32(to, 0)
	to = binary.LittleEndian.AppendUint64(to, first)
	binary.LittleEndian.PutUint32(to[start+4:], crc32.Checksum(to[start+8:], table))
	return to
}

// readHeader returns the number of a segment's first record; false: it was never begun.
func readHeader(segment []byte) (first uint64, ok bool) {
	if len(segment) < headerBytes || binary.LittleEndian.Uint32(segment) != magic {
		return 0, false
	}
	if binary.LittleEndian.Uint32(segment[4:]) != crc32.Checksum(segment[8:headerBytes], table) {
		return 0, false
	}
	return binary.LittleEndian.Uint64(segment[8:]), true
}

func appendRecord(to []byte, r record) []byte {
	start := len(to)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(r.payload)))
	to = binary.LittleEndian.AppendUint32(to, 0)
	to = binary.LittleEndian.AppendUint64(to, r.number)
	to = append(to, byte(r.kind))
	to = append(to, r.payload...)
	binary.LittleEndian.PutUint32(to[start+4:], crc32.Checksum(to[start+8:], table))
	return to
}

// readRecord returns the first record and what follows it; false: there is none that checks
// and has the wanted number.
func readRecord(from []byte, number uint64) (r record, rest []byte, ok bool) {
	if len(from) < framingBytes {
		return record{}, nil, false
	}
	length := int(binary.LittleEndian.Uint32(from))
	if length < 0 || length > len(from)-framingBytes {
		return record{}, nil, false
	}
	end := framingBytes + length
	if binary.LittleEndian.Uint32(from[4:]) != crc32.Checksum(from[8:end], table) {
		return record{}, nil, false
	}
	r = record{number: binary.LittleEndian.Uint64(from[8:]), kind: recordKind(from[16]), payload: from[framingBytes:end]}
	return r, from[end:], r.number == number
}

func encodeState(state replica.HardState) []byte {
	return append(binary.LittleEndian.AppendUint64(nil, state.Term), state.Vote...)
}

func decodeState(payload []byte) (replica.HardState, bool) {
	if len(payload) < 8 {
		return replica.HardState{}, false
	}
	return replica.HardState{Term: binary.LittleEndian.Uint64(payload), Vote: string(payload[8:])}, true
}

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

func decodeEntry(payload []byte) (replica.Entry, bool) {
	if len(payload) < 17 {
		return replica.Entry{}, false
	}
	entry := replica.Entry{
		Index: binary.LittleEndian.Uint64(payload),
		Term:  binary.LittleEndian.Uint64(payload[8:]),
		Kind:  replica.EntryKind(payload[16]),
	}
	body := payload[17:]
	if entry.Kind != replica.EntryMembership {
		entry.Data = bytes.Clone(body)
		return entry, true
	}
	entry.Membership = &replica.Membership{}
	return entry, gob.NewDecoder(bytes.NewReader(body)).Decode(entry.Membership) == nil
}
