package faktory

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/faktory/sets"
	"basaltloft/internal/dispatcher/jsontext"

	"github.com/valyala/fastjson"
)

// mostShown is how many entries one SHOW tells.
const mostShown = 500

// show is this server's own command: SHOW scheduled|retries|dead|workers, and
// from which entry on. Faktory itself shows these only on a web page.
func (s *session) show(rest string) string {
	what, from, _ := strings.Cut(rest, " ")
	first, err := strconv.Atoi(strings.TrimSpace(from))
	if from != "" && (err != nil || first < 0) {
		return fault("SHOW takes a set's name and the number of an entry")
	}
	b := s.back
	b.mu.Lock()
	defer b.mu.Unlock()
	var a fastjson.Arena
	list := a.NewArray()
	if what == "workers" {
		ids := make([]string, 0, len(b.workers.byID))
		for id := range b.workers.byID {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for i, id := range ids[min(first, len(ids)):min(first+mostShown, len(ids))] {
			list.SetArrayItem(i, workerJSON(&a, b.workers.byID[id]))
		}
		return bulk(jsontext.Append(nil, list))
	}
	for _, set := range []*sets.Set{b.book.Scheduled, b.book.Retries, b.book.Dead} {
		if set.Name != what {
			continue
		}
		jobs := set.Sorted()
		for i, j := range jobs[min(first, len(jobs)):min(first+mostShown, len(jobs))] {
			v := a.NewObject()
			v.Set("jid", a.NewString(j.ID))
			v.Set("jobtype", a.NewString(j.Type))
			v.Set("queue", a.NewString(j.Queue))
			v.Set("when", a.NewString(j.OrderTime().UTC().Format(time.RFC3339Nano)))
			if j.MayHaveRun {
				v.Set("may_have_run", a.NewTrue())
			}
			if j.Failure != nil {
				v.Set("failure", failureJSON(&a, j.Failure))
			}
			list.SetArrayItem(i, v)
		}
		return bulk(jsontext.Append(nil, list))
	}
	return fault("SHOW takes scheduled, retries, dead or workers, not %q", what)
}

func workerJSON(a *fastjson.Arena, w *worker) *fastjson.Value {
	v, queues := a.NewObject(), a.NewArray()
	v.Set("wid", a.NewString(w.id))
	v.Set("hostname", a.NewString(w.hello.host))
	v.Set("pid", a.NewNumberInt(w.hello.pid))
	v.Set("connections", a.NewNumberInt(w.connections))
	v.Set("holding", a.NewNumberInt(w.holding))
	if w.quiet {
		v.Set("quiet", a.NewTrue())
	}
	v.Set("beat", a.NewString(w.beat.UTC().Format(time.RFC3339Nano)))
	v.Set("rss_kb", a.NewNumberInt(int(w.rssKB)))
	names := make([]string, 0, len(w.queues))
	for q := range w.queues {
		names = append(names, q)
	}
	slices.Sort(names)
	for i, q := range names {
		queues.SetArrayItem(i, a.NewString(q))
	}
	v.Set("queues", queues)
	return v
}
