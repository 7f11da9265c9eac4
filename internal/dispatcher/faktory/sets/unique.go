package sets

import (
	"time"
)

// uniqueLock prevents other jobs with the same unique key from being pushed.
type uniqueLock struct {
	jobID     string // the holder
	expiresAt time.Time
}

// LockRelease is the event that releases a unique job's lock before it expires.
type LockRelease uint8

// Events that release a lock.
const (
	ReleaseOnSuccess LockRelease = iota // the job succeeds, or ends without a further attempt
	ReleaseOnStart                      // its first attempt starts
)

// Lock takes the lock of a unique job; for other jobs it does nothing. It returns ErrNotUnique
// if another job holds the lock, or a FullError if too many locks are held.
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

// sweepLocks drops expired locks. It does so at most once a second, because it iterates over all
// locks.
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

// Started is called when an attempt of a job has started. It releases a lock that is held only
// until then.
func (s *Store) Started(j *Job) {
	if j.options().ReleaseOn == ReleaseOnStart {
		s.Unlock(j)
	}
}
