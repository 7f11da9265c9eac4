package faktory

import (
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/faktory/sets"
	"basaltloft/internal/dispatcher/jsontext"

	"github.com/valyala/fastjson"
)

// handleFlush serves FLUSH, which drops all jobs that wait.
func (s *session) handleFlush(string) string {
	s.backlog.mu.Lock()
	defer s.backlog.mu.Unlock()
	s.log.Warn("FLUSH: all Faktory jobs that wait are dropped", "by", s.hello.describe())
	s.backlog.concludeDropped(s.backlog.store.Flush(), "flushed\n")
	return okReply
}

// handleQueue serves QUEUE PAUSE, RESUME, REMOVE and LATENCY, which take names of queues or *
// for all.
func (s *session) handleQueue(argument string) string {
	fields := strings.Fields(argument)
	if len(fields) < 2 {
		return errorReply("QUEUE takes PAUSE, RESUME, REMOVE or LATENCY, and names or *")
	}
	verb, names := fields[0], fields[1:]
	if len(names) > maxQueues {
		return errorReply("QUEUE takes the names of %d queues at most", maxQueues)
	}
	if slices.ContainsFunc(names, func(q string) bool { return q != "*" && isInvalidQueueName(q) }) {
		return errorReply("this is no name of a queue")
	}
	b := s.backlog
	b.mu.Lock()
	defer b.mu.Unlock()
	switch verb {
	case "PAUSE":
		b.store.Pause(names, true)
		b.workers.updateCapabilities()
	case "RESUME":
		names = b.store.Pause(names, false)
		b.workers.updateCapabilities()
		for _, q := range names {
			b.submitWanted(q)
			b.workers.satisfyAll(q)
		}
	case "REMOVE":
		s.log.Warn("queues are removed", "by", s.hello.describe(), "queues", names)
		b.concludeDropped(b.store.Remove(names), "its queue was removed\n")
	case "LATENCY":
		var a fastjson.Arena
		v := a.NewObject()
		for _, q := range b.store.Info(time.Now(), names...) {
			v.Set(q.Name, a.NewNumberFloat64(q.Latency.Seconds()))
		}
		return bulkReply(jsontext.Append(nil, v))
	default:
		return errorReply("QUEUE takes PAUSE, RESUME, REMOVE or LATENCY, not %q", verb)
	}
	return okReply
}

// handleMutate serves MUTATE, which changes a set:
// {"cmd":"requeue","target":"dead","filter":{...}}. A job that may have run is queued again
// only with the key known_not_run, whose text names the person who confirms that it has not.
func (s *session) handleMutate(text string) string {
	v, err := fastjson.Parse(text)
	if err != nil || v.Type() != fastjson.TypeObject {
		return errorReply("MUTATE takes a JSON object")
	}
	filter, ok := parseFilter(v.Get("filter"))
	if !ok {
		return errorReply("the filter of MUTATE is an object with jobtype and regexp as text, and jids as a list of text")
	}
	confirmedBy := string(v.GetStringBytes("known_not_run"))
	if confirmedBy != "" {
		confirmedBy = truncate(confirmedBy) + " by " + s.hello.describe()
	}
	if err := s.backlog.mutate(sets.Command(v.GetStringBytes("cmd")), string(v.GetStringBytes("target")), filter, confirmedBy); err != nil {
		return errorReply("%v", err)
	}
	return okReply
}

// parseFilter reads which jobs a MUTATE selects. It reports false for a part of the wrong kind,
// which must not be treated as an absent one, because that selects all jobs.
func parseFilter(v *fastjson.Value) (f sets.Filter, ok bool) {
	if isAbsent(v) {
		return f, true
	}
	jobType, pattern, ids := v.Get("jobtype"), v.Get("regexp"), v.Get("jids")
	if v.Type() != fastjson.TypeObject || !isAbsentOr(jobType, fastjson.TypeString) || !isAbsentOr(pattern, fastjson.TypeString) ||
		!isAbsentOr(ids, fastjson.TypeArray) {
		return f, false
	}
	f.JobType, f.Pattern = string(jobType.GetStringBytes()), string(pattern.GetStringBytes())
	for _, id := range ids.GetArray() {
		if id.Type() != fastjson.TypeString {
			return f, false
		}
		f.IDs = append(f.IDs, string(id.GetStringBytes()))
	}
	return f, true
}
