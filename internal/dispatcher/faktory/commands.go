package faktory

import (
	"errors"
	"runtime"
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/faktory/batch"
	"basaltloft/internal/dispatcher/faktory/sets"
	"basaltloft/internal/dispatcher/jsontext"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/policy"

	"github.com/valyala/fastjson"
)

// commands are all that a connection may say. Each gets what follows its name,
// and returns its reply. A handler reads and answers; what it does is done by
// the backlog and the workers. FETCH and END are the loop's own.
var commands = map[string]func(s *session, rest string) string{
	"PUSH": (*session).push, "PUSHB": (*session).pushAll,
	"ACK": (*session).ack, "FAIL": (*session).fail, "BEAT": (*session).beat,
	"INFO": (*session).info, "FLUSH": (*session).flush,
	"QUEUE": (*session).queue, "MUTATE": (*session).mutate,
	"TRACK": (*session).track, "BATCH": (*session).batch, "SHOW": (*session).show,
}

// command serves one command and reports whether the connection goes on.
func (s *session) command(line string) bool {
	name, rest, _ := strings.Cut(line, " ")
	rest = strings.TrimSpace(rest)
	switch name {
	case "FETCH":
		return s.fetch(strings.Fields(rest))
	case "END":
		s.wire.reply(ok)
		return false
	}
	handler := commands[name]
	if handler == nil {
		return s.wire.reply(fault("unknown command %q", name)) == nil
	}
	return s.wire.reply(handler(s, rest)) == nil
}

func (s *session) push(text string) string {
	v, err := fastjson.Parse(text)
	if err != nil {
		return fault("the job is no JSON")
	}
	if err := s.back.push(v, s.from, time.Now()); err != nil {
		return "-" + plainLine(err.Error()) + "\r\n"
	}
	return ok
}

// pushAll takes several jobs; its reply names those that were not taken.
func (s *session) pushAll(text string) string {
	v, err := fastjson.Parse(text)
	if err != nil || v.Type() != fastjson.TypeArray {
		return fault("PUSHB takes a list of jobs")
	}
	jobs := v.GetArray()
	if len(jobs) > mostBulk {
		return fault("PUSHB takes at most %d jobs", mostBulk)
	}
	var a fastjson.Arena
	problems := a.NewObject()
	for _, job := range jobs {
		if err := s.back.push(job, s.from, time.Now()); err != nil {
			problems.Set(string(job.GetStringBytes("jid")), a.NewString(strings.TrimPrefix(err.Error(), "ERR ")))
		}
	}
	return bulk(jsontext.Append(nil, problems))
}

// fetch gives a worker its next job, or nothing after a while. It reports
// whether the connection goes on.
func (s *session) fetch(queues []string) bool {
	if s.worker == nil {
		return s.wire.reply(fault("only a worker, which has a wid, fetches")) == nil
	}
	if len(queues) == 0 {
		queues = []string{workQueue}
	}
	if len(queues) > mostFetched || slices.ContainsFunc(queues, func(q string) bool { return len(q) > maxName || !nameable(q) }) {
		return s.wire.reply(fault("FETCH takes the names of %d queues at most", mostFetched)) == nil
	}
	f := s.workers.fetch(s.worker, queues)
	until := time.NewTimer(fetchFor)
	defer until.Stop()
	var e *errand
	select {
	case e = <-f.got:
	case <-until.C:
		e = s.workers.unfetch(s.worker, f)
	case <-s.wire.gone:
		if e = s.workers.unfetch(s.worker, f); e != nil {
			s.workers.undelivered(e) // nothing of it was written
		}
		return false
	}
	if e == nil {
		return s.wire.reply(bulk(nil)) == nil
	}
	select {
	case <-s.wire.gone: // it left while the job was on its way here
		s.workers.undelivered(e)
		return false
	default:
	}
	if err := s.wire.reply(bulk(e.job)); err != nil {
		s.workers.undelivered(e)
		return false
	}
	s.workers.started(e)
	return true
}

const mostFetched = 64

func (s *session) ack(text string) string { return s.end(text, policy.OK) }

func (s *session) fail(text string) string { return s.end(text, policy.Error) }

const (
	mostMessage = 1000 // characters of what a worker says of a failure
	mostTrace   = 50   // lines of it
)

// end takes an ACK or a FAIL. A second one is answered like the first and
// counts nothing.
func (s *session) end(text string, status policy.Status) string {
	v, err := fastjson.Parse(text)
	if err != nil || len(v.GetStringBytes("jid")) == 0 {
		return fault("a jid is missing")
	}
	if s.worker == nil {
		return fault("only a worker, which has a wid, ends jobs")
	}
	var result []byte
	switch at := v.Get("result"); {
	case status != policy.OK || at == nil:
	case at.Type() == fastjson.TypeString:
		result = append(result, at.GetStringBytes()...)
	default:
		result = jsontext.Append(nil, at)
	}
	if len(result) > pipeline.MaxBody {
		return fault("the result is too large")
	}
	var f *failure
	if status != policy.OK {
		f = &failure{kind: short(v, "errtype"), message: short(v, "message")}
		for i, line := range v.GetArray("backtrace") {
			if i == mostTrace {
				break
			}
			f.backtrace = append(f.backtrace, cut(string(line.GetStringBytes())))
		}
	}
	if s.back.finish(s.worker, string(v.GetStringBytes("jid")), status, result, f) {
		s.hub.Do(func() {}) // what is asked after the reply is told with it
	}
	return ok
}

func short(v *fastjson.Value, key string) string { return cut(string(v.GetStringBytes(key))) }

func cut(text string) string { return strings.ToValidUTF8(text[:min(len(text), mostMessage)], "") }

// beat takes a worker's heartbeat. A worker says here that it stops fetching,
// and is told so when this dispatcher ends and has nothing left for it.
func (s *session) beat(text string) string {
	v, err := fastjson.Parse(text)
	if err != nil || s.worker == nil {
		return fault("only a worker, which has a wid, beats")
	}
	if wid := string(v.GetStringBytes("wid")); wid != "" && wid != s.worker.id {
		return fault("this connection is worker %s", s.worker.id)
	}
	state := string(v.GetStringBytes("current_state"))
	switch state {
	case "", "quiet", "terminate":
	default:
		return fault("unknown state")
	}
	if s.workers.beat(s.worker, state != "", v.GetInt64("rss_kb")); !s.draining.Load() {
		return ok
	}
	switch waiting, held := s.workers.left(s.worker); {
	case waiting == 0 && held == 0:
		return bulk([]byte(`{"state":"terminate"}`))
	case waiting == 0:
		return bulk([]byte(`{"state":"quiet"}`))
	}
	return ok
}

func (s *session) flush(string) string {
	s.back.mu.Lock()
	defer s.back.mu.Unlock()
	s.log.WithField("by", s.hello.who()).Warn("FLUSH: all Faktory jobs that wait are dropped")
	s.back.drop(s.back.book.Flush(), "flushed\n")
	return ok
}

// queue pauses, resumes, removes queues, or tells how long their jobs wait.
func (s *session) queue(rest string) string {
	fields := strings.Fields(rest)
	if len(fields) < 2 {
		return fault("QUEUE takes PAUSE, RESUME, REMOVE or LATENCY, and names or *")
	}
	verb, names := fields[0], fields[1:]
	if slices.ContainsFunc(names, func(q string) bool { return q != "*" && (len(q) > maxName || !nameable(q)) }) {
		return fault("this is no name of a queue")
	}
	b := s.back
	b.mu.Lock()
	defer b.mu.Unlock()
	switch verb {
	case "PAUSE":
		b.book.Pause(names, true)
		b.workers.offer()
	case "RESUME":
		names = b.book.Pause(names, false)
		b.workers.offer()
		for _, q := range names {
			b.feed(q)
			b.workers.serveAll(q)
		}
	case "REMOVE":
		s.log.WithField("by", s.hello.who()).WithField("queues", names).Warn("queues are removed")
		b.drop(b.book.Remove(names), "its queue was removed\n")
	case "LATENCY":
		var a fastjson.Arena
		v := a.NewObject()
		for _, q := range b.book.Info(time.Now(), names...) {
			v.Set(q.Name, a.NewNumberFloat64(q.Latency.Seconds()))
		}
		return bulk(jsontext.Append(nil, v))
	default:
		return fault("QUEUE takes PAUSE, RESUME, REMOVE or LATENCY, not %q", verb)
	}
	return ok
}

// mutate changes a set: {"cmd":"requeue","target":"dead","filter":{...}}. A job
// that may have run is queued again only with known_not_run, which names who
// vouches for that.
func (s *session) mutate(text string) string {
	v, err := fastjson.Parse(text)
	if err != nil || v.Type() != fastjson.TypeObject {
		return fault("MUTATE takes a JSON object")
	}
	f := sets.Filter{JobType: string(v.GetStringBytes("filter", "jobtype")), Pattern: string(v.GetStringBytes("filter", "regexp"))}
	for _, id := range v.GetArray("filter", "jids") {
		f.IDs = append(f.IDs, string(id.GetStringBytes()))
	}
	voucher := string(v.GetStringBytes("known_not_run"))
	if voucher != "" {
		voucher = cut(voucher) + " by " + s.hello.who()
	}
	if err := s.back.mutate(sets.Command(v.GetStringBytes("cmd")), string(v.GetStringBytes("target")), f, voucher); err != nil {
		return fault("%v", err)
	}
	return ok
}

// track tells what became of a job, or takes what its worker says of it.
func (s *session) track(rest string) string {
	verb, text, _ := strings.Cut(rest, " ")
	text = strings.TrimSpace(text)
	switch {
	case verb == "GET" && text != "":
		s.back.mu.Lock()
		defer s.back.mu.Unlock()
		t := s.back.tasks[text]
		if t == nil {
			return bulk(nil)
		}
		return bulk(t.track())
	case verb == "SET":
		return s.trackSet(text)
	}
	return fault("TRACK takes GET jid or SET {...}")
}

func (s *session) trackSet(text string) string {
	v, err := fastjson.Parse(text)
	if err != nil || len(v.GetStringBytes("jid")) == 0 {
		return fault("a jid is missing")
	}
	until, err := timeOf(v, "reserve_until")
	if err != nil {
		return fault("%v", err)
	}
	s.back.mu.Lock()
	defer s.back.mu.Unlock()
	t := s.back.tasks[string(v.GetStringBytes("jid"))]
	if t == nil {
		return fault("no such job")
	}
	if t.said == nil {
		t.said = new(said)
	}
	if t.said.percent = min(max(v.GetInt("percent"), 0), 100); v.Exists("desc") {
		t.said.desc = short(v, "desc")
	}
	t.at = time.Now()
	if until.IsZero() {
		return ok
	}
	if s.worker == nil || !s.workers.extend(s.worker, t.id, until) {
		return fault("this worker does not hold the job")
	}
	return ok
}

// track is the answer to TRACK GET.
func (t *task) track() []byte {
	state := "enqueued"
	var a fastjson.Arena
	v := a.NewObject()
	v.Set("jid", a.NewString(t.id))
	when := func(key string, at time.Time) { v.Set(key, a.NewString(at.UTC().Format(time.RFC3339Nano))) }
	if t.job != nil && t.job.Failure != nil {
		v.Set("failure", failureJSON(&a, t.job.Failure))
	}
	switch {
	case t.state == isOut && (t.plan != nil || t.of.workers.held[t.id] != nil):
		state = "working"
	case t.state == waits && t.job != nil && t.job.Location() != sets.InQueue:
		when("retry_at", t.job.OrderTime())
	case t.state == final:
		switch t.answer.Verdict {
		case engine.Served:
			state = "success"
		case engine.Failed:
			state = "failed"
		default:
			state = "dead"
			if !t.answer.RetryAt.IsZero() {
				when("retry_at", t.answer.RetryAt)
			}
		}
		v.Set("outcome", a.NewString(t.answer.Verdict.String()))
		if len(t.answer.Body) > 0 {
			v.Set("result", a.NewString(string(t.answer.Body)))
		}
	}
	if t.said != nil {
		v.Set("percent", a.NewNumberInt(t.said.percent))
		v.Set("desc", a.NewString(t.said.desc))
	}
	v.Set("state", a.NewString(state))
	when("updated_at", t.at)
	return jsontext.Append(nil, v)
}

// batch begins, opens, commits batches, and tells how they are.
func (s *session) batch(rest string) string {
	verb, text, _ := strings.Cut(rest, " ")
	text = strings.TrimSpace(text)
	b := s.back
	b.mu.Lock()
	defer b.mu.Unlock()
	var err error
	switch verb {
	case "NEW":
		return s.batchNew(text)
	case "OPEN":
		if err = b.batches.Open(text); err == nil {
			return simple(text)
		}
	case "COMMIT":
		var due []batch.Callback
		if due, err = b.batches.Commit(text); err == nil {
			b.owe(due)
			return ok
		}
	case "STATUS":
		if at := b.batches.Find(text); at != nil {
			return bulk(status(at))
		}
		err = batch.ErrUnknownBatch
	default:
		return fault("BATCH takes NEW, OPEN, COMMIT or STATUS")
	}
	return fault("batch %s: %v", text, err)
}

func (s *session) batchNew(text string) string {
	v, err := fastjson.Parse(text)
	if err != nil || v.Type() != fastjson.TypeObject {
		return fault("BATCH NEW takes a JSON object")
	}
	d := batch.Definition{Parent: string(v.GetStringBytes("parent_bid")), Description: short(v, "description"), Callbacks: make(map[batch.Kind][]byte)}
	for _, kind := range []batch.Kind{batch.Success, batch.Complete} {
		at := v.Get(string(kind))
		if at == nil || at.Type() == fastjson.TypeNull {
			continue
		}
		if at.Type() == fastjson.TypeObject && len(at.GetStringBytes("jid")) == 0 {
			var a fastjson.Arena
			at.Set("jid", a.NewString(newID()))
		}
		if _, err := s.back.read(at, time.Now()); err != nil {
			return fault("%s: %v", kind, err)
		}
		d.Callbacks[kind] = jsontext.Append(nil, at)
	}
	id := "b-" + newID()
	if err := s.back.batches.New(time.Now(), id, d); err != nil {
		if errors.Is(err, batch.ErrFull) {
			return "-" + refused(engine.Answer{}).Error() + "\r\n"
		}
		return fault("%v", err)
	}
	return simple(id)
}

func status(at *batch.Batch) []byte {
	var a fastjson.Arena
	v := a.NewObject()
	v.Set("bid", a.NewString(at.ID))
	v.Set("parent_bid", a.NewString(at.Definition.Parent))
	v.Set("description", a.NewString(at.Definition.Description))
	v.Set("created_at", a.NewString(at.Created.UTC().Format(time.RFC3339Nano)))
	v.Set("total", a.NewNumberInt(at.Total))
	v.Set("pending", a.NewNumberInt(at.Pending))
	v.Set("failed", a.NewNumberInt(at.Failed()))
	v.Set("complete_st", a.NewString(string(at.States[batch.Complete])))
	v.Set("success_st", a.NewString(string(at.States[batch.Success])))
	return jsontext.Append(nil, v)
}

// info tells of the server in the shape that clients decode.
func (s *session) info(string) string {
	b := s.back
	now := time.Now()
	var a fastjson.Arena
	number := func(n int) *fastjson.Value { return a.NewNumberInt(n) }
	jobs, server, v, queues, paused, tasks := a.NewObject(), a.NewObject(), a.NewObject(), a.NewObject(), a.NewArray(), a.NewObject()
	b.mu.Lock()
	infos := b.book.Info(now)
	enqueued := 0
	for _, q := range infos {
		queues.Set(q.Name, number(q.Len))
		enqueued += q.Len
		if q.Paused {
			paused.SetArrayItem(len(paused.GetArray()), a.NewString(q.Name))
		}
	}
	there, waiting, held := b.workers.tally()
	for _, set := range []struct {
		name string
		of   *sets.Set
		gone int
	}{{"Scheduled", b.book.Scheduled, b.book.Promoted[0]}, {"Retries", b.book.Retries, b.book.Promoted[1]}, {"Dead", b.book.Dead, b.book.DeadDropped}} {
		o := a.NewObject()
		o.Set("size", number(set.of.Len()))
		o.Set("enqueued", number(set.gone))
		tasks.Set(set.name, o)
	}
	busy := a.NewObject()
	busy.Set("size", number(held))
	tasks.Set("Busy", busy)
	jobs.Set("queues", queues)
	jobs.Set("paused", paused)
	jobs.Set("tasks", tasks)
	jobs.Set("total_queues", number(len(infos)))
	jobs.Set("total_enqueued", number(enqueued+waiting))
	jobs.Set("total_working", number(held))
	jobs.Set("total_processed", number(int(b.processed)))
	jobs.Set("total_failures", number(int(b.failures)))
	jobs.Set("total_pushed", number(int(b.pushed)))
	jobs.Set("waiting_bytes", number(b.book.Bytes()))
	jobs.Set("batches", number(b.batches.Len()))
	b.mu.Unlock()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	server.Set("description", a.NewString("basaltloft"))
	server.Set("faktory_version", a.NewString("1.9.0"))
	server.Set("uptime", number(int(time.Since(s.started).Seconds())))
	server.Set("connections", number(len(s.slots)))
	server.Set("workers", number(there))
	server.Set("command_count", number(int(s.commands.Load())))
	server.Set("used_memory_mb", number(int(m.HeapAlloc>>20)))
	v.Set("now", a.NewString(now.UTC().Format(time.RFC3339Nano)))
	v.Set("server_utc_time", a.NewString(now.UTC().Format("15:04:05 UTC")))
	v.Set("faktory", jobs)
	v.Set("server", server)
	return bulk(jsontext.Append(nil, v))
}

func simple(text string) string { return "+" + plainLine(text) + "\r\n" }

func plainLine(text string) string { return strings.NewReplacer("\r", " ", "\n", " ").Replace(text) }
