package job

import (
	"fmt"
	"hash/fnv"
)

// Digest returns a hash of the whole state. Replicas with equal states have equal digests, no matter how they
// reached these states. Replicas of different builds compare their digests, so that each build must hash the
// same values in the same order: the order of the structs' fields matters, their names don't.
func (s *Store) Digest() uint64 {
	digest := digestOf(s.Pending, s.Sealed)
	for _, j := range s.Jobs {
		digest ^= j.digest()
	}
	return digest
}

func (j *Job) digest() uint64 {
	hash := fnv.New64a() // whose Write never returns an error
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
