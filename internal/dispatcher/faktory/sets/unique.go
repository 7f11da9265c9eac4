package sets

import (
	"time"
)

// uniqueLock keeps other jobs of the same unique key out.
type uniqueLock struct {
	jobID     string // the holder
	expiresAt time.Time
}

// LockRelease is the event that releases a unique job's lock before it expires.
type LockRelease uint8

// Events that release a lock.
const (
	ReleaseOnSuccess LockRelease = iota // or its end for good
	ReleaseOnStart                      // of its first attempt
)

// Lock takes the lock of a unique job; for another job it does nothing. It returns ErrNotUnique
// if another job holds the lock, or a FullError.
func (s *Store) Lock(now time.Time, j *Job) error {
	now = s.monotonic(now)
	key := j.options().UniqueKey
	if key == 0 {
		return nil
	}
	if held, ok := s.locks[key]; ok && held.jobID != j.ID && now.Before(held.expiresAt) {
		return ErrNotUnique
	}
	if len(s.locks) >= s.limits.Jobs {
		s.sweepLocks(now)
		if len(s.locks) >= s.limits.Jobs {
			return FullError{"locks of unique jobs"}
		}
	}
	s.locks[key] = uniqueLock{j.ID, now.Add(j.UniqueTTL)}
	return nil
}

// sweepLocks drops expired locks, at most once a second: it walks over all.
func (s *Store) sweepLocks(now time.Time) {
	if now.Before(s.nextLockSweep) {
		return
	}
	s.nextLockSweep = now.Add(time.Second)
	for key, held := range s.locks {
		if !now.Before(held.expiresAt) {
			delete(s.locks, key)
		}
	}
}

// Unlock releases a job's lock, if it holds one.
func (s *Store) Unlock(j *Job) {
	key := j.options().UniqueKey
	if held, ok := s.locks[key]; ok && held.jobID == j.ID {
		delete(s.locks, key)
	}
}

// Started takes in that an attempt of a job has started.
func (s *Store) Started(j *Job) {
	if j.options().ReleaseOn == ReleaseOnStart {
		s.Unlock(j)
	}
}
