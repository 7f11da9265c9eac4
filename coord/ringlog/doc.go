// Package ringlog stores one replica's log and snapshots on disk, in a ring of preallocated segment
// files and two slots for snapshots that are written alternately.
//
// A segment begins with a header. Records follow, each with its length, a checksum and a number that
// increases by one from record to record, across all segments. Records that were written after the last
// sync may be missing or torn after a power failure: reading ends at the first record whose checksum or
// number is wrong. All integers are little-endian; format.go defines the layout.
//
// A Ring uses no property of Raft except the indexes of entries: an entry replaces those of the same
// and higher indexes that were written before it.
package ringlog
