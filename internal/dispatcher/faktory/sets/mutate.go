package sets

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"
)

// Filter selects the jobs that match all of its fields. An empty field matches every job.
type Filter struct {
	JobType string
	IDs     []string
	Pattern string // matches the job's whole JSON; * matches any text, ? any character
}

// MaxPatternBytes limits the length of a Filter's pattern: matching takes time in proportion to
// that length and to the length of the jobs.
const MaxPatternBytes = 1000

// matcher returns a function that reports whether a job matches the filter. It returns an error
// if the pattern is too long or does not compile.
func (f Filter) matcher() (func(*Job) bool, error) {
	ids := make(map[string]bool, len(f.IDs))
	for _, id := range f.IDs {
		ids[id] = true
	}
	var pattern *regexp.Regexp
	if len(f.Pattern) > MaxPatternBytes {
		return nil, fmt.Errorf("regexp: the pattern has more than %d bytes", MaxPatternBytes)
	}
	if f.Pattern != "" {
		text := strings.NewReplacer(`\*`, ".*", `\?`, ".").Replace(regexp.QuoteMeta(f.Pattern))
		var err error
		if pattern, err = regexp.Compile("(?s)^" + text + "$"); err != nil {
			return nil, fmt.Errorf("regexp: %w", err)
		}
	}
	return func(j *Job) bool {
		return (f.JobType == "" || j.Type == f.JobType) && (len(ids) == 0 || ids[j.ID]) && (pattern == nil || pattern.Match(j.Body))
	}, nil
}

// Command is what a mutation does to the jobs that it selects.
type Command string

// Values of the field cmd in a Faktory client's MUTATE command.
const (
	Kill    Command = "kill"    // move them to the dead set
	Requeue Command = "requeue" // put them into their queues
	Discard Command = "discard" // drop them
	Clear   Command = "clear"   // drop all jobs of the set, regardless of the filter
)

// ErrMayHaveRun is returned when a job to requeue may have run and the caller has not confirmed
// that it has not.
var ErrMayHaveRun = errors.New("may have run already, and its class must not run twice")

// Mutate applies a command to the jobs of a set that a filter selects, and returns them. On an
// error it applies the command to none of them, with one exception: if the dead jobs to requeue
// together exceed a limit, it returns a FullError and the jobs that were requeued before. A job
// that may have run is requeued only if the caller confirms that it has not (confirmedNotRun).
func (s *Store) Mutate(now time.Time, c Command, target string, f Filter, confirmedNotRun bool) ([]*Job, error) {
	now = s.monotonic(now)
	set := s.findSet(target)
	if set == nil {
		return nil, fmt.Errorf("no set is called %q", target)
	}
	matches, err := f.matcher()
	if err != nil {
		return nil, err
	}
	var selected []*Job
	for _, j := range set.Sorted() {
		if c == Clear || matches(j) {
			selected = append(selected, j)
		}
	}
	switch c {
	case Clear, Discard:
		for _, j := range selected {
			s.remove(j)
			s.Unlock(j)
		}
	case Kill:
		for _, j := range selected {
			s.remove(j)
			s.MoveToDead(now, j)
		}
	case Requeue:
		return s.requeue(now, set, selected, confirmedNotRun)
	default:
		return nil, fmt.Errorf("no mutation is called %q", c)
	}
	return selected, nil
}

// findSet returns a set by name, or nil.
func (s *Store) findSet(name string) *Set {
	for _, set := range []*Set{s.Scheduled, s.Retries, s.Dead} {
		if set.Name == name {
			return set
		}
	}
	return nil
}

// requeue moves jobs of a set into their queues, if each of them may run again and fits the
// limits. Only dead jobs can exceed the limits: the others count against them already.
func (s *Store) requeue(now time.Time, set *Set, selected []*Job, confirmedNotRun bool) ([]*Job, error) {
	for _, j := range selected {
		if j.MayHaveRun && !confirmedNotRun {
			return nil, fmt.Errorf("job %s %w", j.ID, ErrMayHaveRun)
		}
		if set != s.Dead {
			continue
		}
		if err := s.checkCapacity(j); err != nil {
			return nil, err
		}
	}
	for i, j := range selected {
		s.remove(j)
		if set == s.Dead && s.checkCapacity(j) != nil { // the jobs before it have used up the limit
			s.MoveToDead(now, j)
			return selected[:i], FullError{fmt.Sprintf("%d of %d jobs were queued", i, len(selected))}
		}
		j.MayHaveRun, j.IsRetry = false, true
		s.enqueue(now, j)
	}
	return selected, nil
}
