package faktory

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/faktory/sets"
	"basaltloft/internal/dispatcher/jsontext"

	"github.com/valyala/fastjson"
)

// maxShownEntries is how many entries one SHOW returns.
const maxShownEntries = 500

// handleShow serves SHOW scheduled|retries|dead|workers [FIRST], which lists the entries from the
// number FIRST on. Faktory has no such command: it shows the entries only on a web page.
func (s *session) handleShow(argument string) string {
	what, from, _ := strings.Cut(argument, " ")
	first, err := strconv.Atoi(strings.TrimSpace(from))
	if from != "" && (err != nil || first < 0) {
		return errorReply("SHOW takes a set's name and the number of an entry")
	}
	b := s.backlog
	b.mu.Lock()
	defer b.mu.Unlock()
	var a fastjson.Arena
	list := a.NewArray()
	if what == "workers" {
		for i, id := range page(slices.Sorted(maps.Keys(b.workers.byID)), first) {
			list.SetArrayItem(i, workerJSON(&a, b.workers.byID[id]))
		}
		return bulkReply(jsontext.Append(nil, list))
	}
	for _, set := range []*sets.Set{b.store.Scheduled, b.store.Retries, b.store.Dead} {
		if set.Name != what {
			continue
		}
		for i, j := range page(set.Sorted(), first) {
			list.SetArrayItem(i, storedJobJSON(&a, j))
		}
		return bulkReply(jsontext.Append(nil, list))
	}
	return errorReply("SHOW takes scheduled, retries, dead or workers, not %q", what)
}

// page returns at most maxShownEntries entries of a list, from the index first on, and none beyond
// the list's end.
func page[T any](all []T, first int) []T {
	rest := all[min(first, len(all)):]
	return rest[:min(maxShownEntries, len(rest))]
}

// storedJobJSON returns a job of a set as SHOW returns it.
func storedJobJSON(a *fastjson.Arena, j *sets.Job) *fastjson.Value {
	v := a.NewObject()
	v.Set("jid", a.NewString(j.ID))
	v.Set("jobtype", a.NewString(j.Type))
	v.Set("queue", a.NewString(j.Queue))
	v.Set("when", a.NewString(j.OrderTime().UTC().Format(time.RFC3339Nano)))
	if j.MayHaveRun {
		v.Set("may_have_run", a.NewTrue())
	}
	if j.Failure != nil {
		v.Set("failure", failureJSON(a, j.Failure))
	}
	return v
}

// workerJSON returns a worker as SHOW returns it.
func workerJSON(a *fastjson.Arena, w *worker) *fastjson.Value {
	v, queues := a.NewObject(), a.NewArray()
	v.Set("wid", a.NewString(w.id))
	v.Set("hostname", a.NewString(w.hello.host))
	v.Set("pid", a.NewNumberInt(w.hello.pid))
	v.Set("connections", a.NewNumberInt(w.connections))
	v.Set("holding", a.NewNumberInt(w.reservedJobs))
	if w.quiet {
		v.Set("quiet", a.NewTrue())
	}
	v.Set("beat", a.NewString(w.lastHeartbeat.UTC().Format(time.RFC3339Nano)))
	v.Set("rss_kb", a.NewNumberInt(int(w.rssKB)))
	for i, q := range slices.Sorted(maps.Keys(w.queues)) {
		queues.SetArrayItem(i, a.NewString(q))
	}
	v.Set("queues", queues)
	return v
}
