package faktory

import (
	"runtime"
	"time"

	"basaltloft/internal/dispatcher/faktory/sets"
	"basaltloft/internal/dispatcher/jsontext"
	"basaltloft/internal/shared/saturating"

	"github.com/valyala/fastjson"
)

// faktoryVersion is the version of the Faktory server whose INFO this one resembles.
const faktoryVersion = "1.9.0"

// handleInfo replies with the server's counts, in the shape that Faktory's clients decode.
func (s *session) handleInfo(string) string {
	now := time.Now()
	var a fastjson.Arena
	info := a.NewObject()
	info.Set("now", a.NewString(now.UTC().Format(time.RFC3339Nano)))
	info.Set("server_utc_time", a.NewString(now.UTC().Format("15:04:05 UTC")))
	jobs, workers := s.backlog.infoJSON(&a, now)
	info.Set("faktory", jobs)
	info.Set("server", s.infoJSON(&a, workers))
	return bulkReply(jsontext.Append(nil, info))
}

// infoJSON returns a description of the jobs, and the number of workers.
func (b *backlog) infoJSON(a *fastjson.Arena, now time.Time) (jobs *fastjson.Value, workers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	queues, paused := a.NewObject(), a.NewArray()
	infos := b.store.Info(now)
	enqueued := 0
	for _, q := range infos {
		queues.Set(q.Name, a.NewNumberInt(q.Len))
		enqueued += q.Len
		if q.Paused {
			paused.SetArrayItem(len(paused.GetArray()), a.NewString(q.Name))
		}
	}
	workers, inMailboxes, reserved := b.workers.counts()
	jobs = a.NewObject()
	jobs.Set("queues", queues)
	jobs.Set("paused", paused)
	jobs.Set("tasks", b.setsJSON(a, reserved))
	jobs.Set("total_queues", a.NewNumberInt(len(infos)))
	jobs.Set("total_enqueued", a.NewNumberInt(enqueued+inMailboxes))
	jobs.Set("total_working", a.NewNumberInt(reserved))
	jobs.Set("total_processed", a.NewNumberInt(int(b.processed)))
	jobs.Set("total_failures", a.NewNumberInt(int(b.failures)))
	jobs.Set("total_pushed", a.NewNumberInt(int(b.pushed)))
	jobs.Set("waiting_bytes", a.NewNumberInt(b.store.Bytes()))
	jobs.Set("batches", a.NewNumberInt(b.batches.Len()))
	return jobs, workers
}

// setsJSON returns a description of the sets. The key enqueued holds how many jobs have left a set
// since the start: to a queue, or, of the dead set, because they were dropped.
func (b *backlog) setsJSON(a *fastjson.Arena, reserved int) *fastjson.Value {
	all := a.NewObject()
	for _, s := range []struct {
		name string
		set  *sets.Set
		left int
	}{
		{"Scheduled", b.store.Scheduled, b.store.Promoted[0]},
		{"Retries", b.store.Retries, b.store.Promoted[1]},
		{"Dead", b.store.Dead, b.store.DeadDropped},
	} {
		described := a.NewObject()
		described.Set("size", a.NewNumberInt(s.set.Len()))
		described.Set("enqueued", a.NewNumberInt(s.left))
		all.Set(s.name, described)
	}
	busy := a.NewObject()
	busy.Set("size", a.NewNumberInt(reserved))
	all.Set("Busy", busy)
	return all
}

// infoJSON returns a description of the server itself.
func (s *Server) infoJSON(a *fastjson.Arena, workers int) *fastjson.Value {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	server := a.NewObject()
	server.Set("description", a.NewString("basaltloft"))
	server.Set("faktory_version", a.NewString(faktoryVersion))
	server.Set("uptime", a.NewNumberInt(saturating.Int(time.Since(s.startedAt).Seconds())))
	server.Set("connections", a.NewNumberInt(len(s.connectionSlots)))
	server.Set("workers", a.NewNumberInt(workers))
	server.Set("command_count", a.NewNumberInt(int(s.commandCount.Load())))
	server.Set("used_memory_mb", a.NewNumberInt(int(memory.HeapAlloc>>20)))
	return server
}
