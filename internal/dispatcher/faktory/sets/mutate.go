package sets

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Filter picks jobs. What is empty picks all; a job must meet each part.
type Filter struct {
	JobType string
	IDs     []string
	Pattern string // of the job's JSON: * is any text, ? any character
}

// matcher compiles a filter.
func (f Filter) matcher() (func(*Job) bool, error) {
	ids := make(map[string]bool, len(f.IDs))
	for _, id := range f.IDs {
		ids[id] = true
	}
	var pattern *regexp.Regexp
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

// Command is what a mutation does.
type Command string

// Commands.
const (
	Kill    Command = "kill"
	Requeue Command = "requeue"
	Discard Command = "discard"
	Clear   Command = "clear"
)

// ErrMayHaveRun says that a job must not be run again.
var ErrMayHaveRun = errors.New("may have run already, and its class must not run twice")

// Mutate does something to the jobs of a set that a filter picks, all or none.
// A job that may have run is queued again only where the caller vouches that it
// has not. It returns the jobs.
func (b *Store) Mutate(now time.Time, c Command, target string, f Filter, vouched bool) ([]*Job, error) {
	now = b.monotonic(now)
	at := slices.IndexFunc([]*Set{b.Scheduled, b.Retries, b.Dead}, func(s *Set) bool { return s.Name == target })
	if at < 0 {
		return nil, fmt.Errorf("no set is called %q", target)
	}
	set := []*Set{b.Scheduled, b.Retries, b.Dead}[at]
	matches, err := f.matcher()
	if err != nil {
		return nil, err
	}
	if c == Clear {
		matches = func(*Job) bool { return true }
	}
	var picked []*Job
	for _, j := range set.Sorted() {
		if matches(j) {
			picked = append(picked, j)
		}
	}
	switch c {
	case Clear, Discard:
	case Kill:
	case Requeue:
		for _, j := range picked {
			if j.MayHaveRun && !vouched {
				return nil, fmt.Errorf("job %s %w", j.ID, ErrMayHaveRun)
			}
			if set == b.Dead {
				if err := b.checkCapacity(j); err != nil {
					return nil, err
				}
			}
		}
	default:
		return nil, fmt.Errorf("no mutation is called %q", c)
	}
	for i, j := range picked {
		b.remove(j)
		switch c {
		case Clear, Discard:
			b.Unlock(j)
		case Kill:
			b.MoveToDead(now, j)
		case Requeue:
			if set == b.Dead && b.checkCapacity(j) != nil { // those before it have taken what there was
				b.MoveToDead(now, j)
				return picked[:i], FullError{fmt.Sprintf("%d of %d jobs were queued", i, len(picked))}
			}
			j.MayHaveRun, j.IsRetry = false, true
			b.enqueue(now, j, false)
		}
	}
	return picked, nil
}

// resolveNames resolves * to all queues.
func (b *Store) resolveNames(names []string) []string {
	if !slices.Contains(names, "*") {
		return names
	}
	var all []string
	for name := range b.queues {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// Pause lets queues hand out nothing, also those that are not there yet. It
// returns their names.
func (b *Store) Pause(names []string, paused bool) []string {
	names = b.resolveNames(names)
	for _, name := range names {
		if q := b.queues[name]; q != nil || paused && len(b.queues) < b.limits.Queues {
			b.Queue(name).Paused = paused
		}
	}
	return names
}

// Remove drops queues with all that waits in them.
func (b *Store) Remove(names []string) (dropped []*Job) {
	for _, name := range b.resolveNames(names) {
		q := b.queues[name]
		if q == nil {
			continue
		}
		for q.first != nil {
			j := q.first
			b.remove(j)
			b.Unlock(j)
			dropped = append(dropped, j)
		}
		delete(b.queues, name)
	}
	return dropped
}

// QueueInfo is what is told of a queue.
type QueueInfo struct {
	Name    string
	Len     int
	Bytes   int
	Paused  bool
	Latency time.Duration // how long its first job has waited
}

// Info tells of queues, in the order of their names; no names are all.
func (b *Store) Info(now time.Time, names ...string) (infos []QueueInfo) {
	if len(names) == 0 {
		names = []string{"*"}
	}
	now = b.monotonic(now)
	for _, name := range b.resolveNames(names) {
		i := QueueInfo{Name: name}
		if q := b.queues[name]; q != nil {
			i = QueueInfo{name, q.count, q.bytes, q.Paused, q.latency(now)}
		}
		infos = append(infos, i)
	}
	return infos
}
