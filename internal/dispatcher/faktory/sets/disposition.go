package sets

import (
	"cmp"
	"math/rand/v2"
	"time"

	"basaltloft/internal/shared/saturating"
)

// Disposition is what happens next to a job whose attempt has ended without success.
type Disposition uint8

// Results of Store.Failed and Store.Rejected, which decide where the job goes next.
const (
	WillRetry   Disposition = iota // it waits for another attempt
	MovedToDead                    // it is in the dead set, where an operator may requeue it
	Discarded                      // it is dropped, as its client requested
)

// maxConsecutiveRejections is how many times in a row the engine may reject a job; a further
// rejection counts as a failure.
const maxConsecutiveRejections = 25

// Failed records a failed attempt of a job, puts the job into the retries or the dead set, or
// discards it, and returns which. The job is retried if it is idempotent, has retries left and
// fits the limits.
func (s *Store) Failed(now time.Time, j *Job, idempotent bool, errorType, message string, backtrace []string) Disposition {
	now = s.monotonic(now)
	if j.Failure == nil {
		j.Failure = new(Failure)
	} else {
		j.Failure.RetryCount++
	}
	f := j.Failure
	f.FailedAt, f.ErrorType, f.Message, f.Backtrace = now, errorType, message, backtrace
	f.Remaining = max(0, int(j.Retries)-f.RetryCount)
	j.ConsecutiveRejections = 0
	switch {
	case j.Retries < 0:
		s.Unlock(j)
		return Discarded
	case !idempotent || f.Remaining == 0 || s.pendingJobs >= s.limits.Jobs || s.pendingBytes+j.size() > s.limits.Bytes:
		s.MoveToDead(now, j)
		return MovedToDead
	}
	unit := cmp.Or(s.limits.BackoffUnit, time.Second)
	f.NextAt = now.Add(saturating.Duration(float64(Backoff(f.RetryCount, s.jitter)) * unit.Seconds()))
	j.IsRetry = true
	s.track(j)
	s.Retries.Add(j, f.NextAt)
	return WillRetry
}

// Rejected handles a job that the engine rejected, so that it has not run: the job waits until
// retryAt, and at least for a backoff that doubles with each rejection in a row.
func (s *Store) Rejected(now time.Time, j *Job, retryAt time.Time) Disposition {
	now = s.monotonic(now)
	if j.ConsecutiveRejections++; j.ConsecutiveRejections > maxConsecutiveRejections {
		return s.Failed(now, j, true, "Refused", "the decisions refused it each time", nil)
	}
	backoff := cmp.Or(s.limits.BackoffUnit, time.Second) << min(j.ConsecutiveRejections-1, 6)
	if retryAt.Before(now.Add(backoff)) {
		retryAt = now.Add(backoff)
	}
	j.IsRetry = true
	s.track(j) // without a check of the limits: the job counted against them until it was dequeued
	s.Retries.Add(j, retryAt)
	return WillRetry
}

// MoveToDead puts a job into the dead set. Where that exceeds its limits, the oldest dead jobs
// are dropped.
func (s *Store) MoveToDead(now time.Time, j *Job) {
	now = s.monotonic(now)
	s.Unlock(j)
	if known := s.jobs[j.ID]; known != nil {
		s.remove(known)
	}
	s.jobs[j.ID] = j
	s.Dead.Add(j, now)
	for s.Dead.Len() > s.limits.Dead || s.Dead.bytes > s.limits.DeadBytes {
		s.remove(s.Dead.Earliest())
		s.DeadDropped++
	}
}

// Backoff returns how long a failed job waits, by the protocol's formula: in seconds, the
// fourth power of the number of retries, plus 15, plus up to 29 at random for each attempt.
func Backoff(retries int, random *rand.Rand) time.Duration {
	n := min(retries, 100)
	return time.Duration(n*n*n*n+15+random.IntN(30)*(n+1)) * time.Second
}
