package job

import (
	"fmt"
	"hash/fnv"
)

// Digest returns a hash of the whole state: equal on replicas whose states are equal, however they
// came about. Builds that run beside each other compare it, so that it must cover the same values
// in the same order in each: the order of the structs' fields is part of it, their names are not.
func (s *Store) Digest() uint64 {
	digest := digestOf(s.Pending, s.Sealed)
	for _, j := range s.Jobs {
		digest ^= j.digest()
	}
	return digest
}

func (j *Job) digest() uint64 {
	hash := fnv.New64a() // which never returns an error
	_, _ = fmt.Fprintln(hash, j.Submission, j.State, j.OpenOccurrences, j.ActiveRuns, j.AcceptedMs, j.EndedMs, j.CancelledBeforeAcceptance, len(j.Occurrences))
	for _, occurrence := range j.Occurrences {
		_, _ = fmt.Fprintln(hash, *occurrence)
	}
	return hash.Sum64()
}

// digestOf returns a hash of values as fmt prints them.
func digestOf(parts ...any) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintln(hash, parts...) // fmt sorts maps by their keys
	return hash.Sum64()
}
