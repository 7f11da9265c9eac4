// Package ringlog keeps one replica's log and snapshots on disk: a ring of preallocated segment
// files, and two slots for snapshots that are written in turn.
//
// A segment begins with a header. Records follow, each with its length, a checksum and a number that
// rises by one from record to record, over all segments. What was written after the last sync may be
// missing or torn after a loss of power: reading ends at the first record whose checksum or number
// is wrong. All integers are little-endian; format.go has the layout.
//
// A Ring knows nothing of Raft beyond the indexes of entries: an entry replaces those of the same
// and higher indexes that were written before it.
package ringlog
