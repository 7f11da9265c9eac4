package faktory

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft"
	"basaltloft/internal/account"
	"basaltloft/internal/core"
	"basaltloft/internal/settings"
	"basaltloft/internal/stage"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fastjson"
)

const (
	fetchFor = 2 * time.Second        // a FETCH waits so long for a job
	patience = 250 * time.Millisecond // a connection is left to say HELLO at least
	comeBack = time.Second            // advice with a refusal that has none
)

// Front is what this front's jobs are counted under.
const Front = "faktory"

// Intake makes transactions of arrivals.
type Intake interface {
	TakeIn(a stage.Arrival, now time.Time, client core.Client) (*core.Transaction, error)
}

// Server is the Faktory front.
type Server struct {
	Desk     account.Desk // its own book
	hub      Hub
	intake   Intake
	set      *settings.Faktory
	log      logrus.FieldLogger
	workers  *workers
	outcomes *outcomes
	started  time.Time
	slots    chan struct{}

	draining  atomic.Bool
	commands  atomic.Int64
	pushed    atomic.Int64
	processed atomic.Int64
	failures  atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]time.Time // until HELLO since when, then zero
	all   sync.WaitGroup
}

// New returns a front that is not serving yet.
func New(hub Hub, intake Intake, set *settings.Faktory, log logrus.FieldLogger) *Server {
	s := &Server{
		Desk: account.Desk{Front: Front}, hub: hub, intake: intake, set: set, log: log, workers: newWorkers(hub, set),
		started: time.Now(), slots: make(chan struct{}, set.Connections), conns: make(map[net.Conn]time.Time),
	}
	s.outcomes = newOutcomes(set.Jobs, &s.Desk)
	return s
}

// Serve serves connections until the context ends or the listener fails.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.Close()
		}
	})
	defer stop()
	defer s.all.Wait()
	for {
		c, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return fmt.Errorf("serving %s: %w", l.Addr(), err)
		}
		select {
		case s.slots <- struct{}{}:
		default:
			if s.makeRoom(time.Now()) {
				s.slots <- struct{}{}
				break
			}
			c.SetWriteDeadline(time.Now().Add(writeFor))
			fmt.Fprint(c, fault("too many connections, come back in %v", comeBack))
			c.Close()
			continue
		}
		s.mu.Lock()
		s.conns[c] = time.Now()
		s.mu.Unlock()
		s.all.Go(func() {
			defer func() {
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
				<-s.slots
			}()
			s.serve(ctx, c)
		})
	}
}

// makeRoom closes the connection that has been longest without saying who it
// is, if a usual client would have by now: those that only connect must not
// shut out the others. It reports whether there was one.
func (s *Server) makeRoom(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var silent net.Conn
	for c, since := range s.conns {
		if !since.IsZero() && now.Sub(since) >= patience && (silent == nil || since.Before(s.conns[silent])) {
			silent = c
		}
	}
	if silent == nil {
		return false
	}
	s.conns[silent] = time.Time{} // it makes room once
	silent.Close()
	return true
}

// Drain takes no more pushes. Workers go on fetching what was taken.
func (s *Server) Drain() { s.draining.Store(true) }

// session is one connection after its HELLO.
type session struct {
	*Server
	wire   *wire
	worker *worker // nil: a client that only pushes
}

func (s *Server) serve(ctx context.Context, c net.Conn) {
	w := newWire(c)
	defer w.close()
	salt := nonce()
	if w.reply(greeting(s.set.Password, salt)) != nil {
		return
	}
	var first string
	select {
	case first = <-w.lines:
	case <-w.gone:
		return
	}
	name, rest, _ := strings.Cut(first, " ")
	h, err := hello{}, errors.New("say HELLO first")
	if name == "HELLO" {
		h, err = readHello(rest, s.set.Password, salt)
	}
	if err != nil {
		w.reply(fault("%v", err))
		return
	}
	s.mu.Lock()
	s.conns[c] = time.Time{}
	s.mu.Unlock()
	at := &session{Server: s, wire: w}
	if h.worker != "" {
		at.worker = s.workers.connect(h.worker)
		defer s.workers.disconnect(at.worker)
	}
	if w.reply(ok) == nil {
		at.loop(ctx)
	}
}

// loop serves one command after the other until the connection ends.
func (s *session) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wire.gone:
			if errors.Is(s.wire.err, errTooLong) {
				s.wire.reply(fault("%v", errTooLong))
			}
			return
		case line := <-s.wire.lines:
			s.commands.Add(1)
			if name, rest, _ := strings.Cut(line, " "); !s.command(name, strings.TrimSpace(rest)) {
				return
			}
		}
	}
}

// command serves one command and reports whether the connection goes on.
func (s *session) command(name, rest string) bool {
	var reply string
	switch name {
	case "PUSH":
		reply = s.push(rest)
	case "PUSHB":
		reply = s.pushAll(rest)
	case "FETCH":
		return s.fetch(strings.Fields(rest))
	case "ACK":
		reply = s.end(rest, basaltloft.OK)
	case "FAIL":
		reply = s.end(rest, basaltloft.Error)
	case "BEAT":
		reply = s.beat(rest)
	case "INFO":
		reply = bulk(s.info())
	case "TRACK":
		reply = s.track(rest)
	case "END":
		s.wire.reply(ok)
		return false
	default:
		reply = fault("unknown command %q", name)
	}
	return s.wire.reply(reply) == nil
}

func (s *session) push(text string) string {
	v, err := fastjson.Parse(text)
	if err != nil {
		return fault("the job is no JSON")
	}
	if problem := s.take(v); problem != "" {
		return fault("%s", problem)
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
		if problem := s.take(job); problem != "" {
			problems.Set(string(job.GetStringBytes("jid")), a.NewString(problem))
		}
	}
	return bulk(problems.MarshalTo(nil))
}

// take submits a job. It waits until the core has seen it: a push that the
// decisions refuse there and then is not taken, and its client is told when
// to come back.
func (s *session) take(v *fastjson.Value) (problem string) {
	now := time.Now()
	j, err := readJob(v, s.set, now)
	if err != nil {
		return err.Error()
	}
	if s.draining.Load() {
		return refusal(core.Answer{})
	}
	mine, joined := s.outcomes.begin(j.id)
	if joined {
		return ""
	}
	t, err := s.intake.TakeIn(j.arrival, now, mine)
	if err != nil {
		mine.settle(core.Answer{Verdict: core.Denied}) // the core never saw it
		return err.Error()
	}
	s.pushed.Add(1)
	s.Desk.Begin()
	s.hub.Submit(t)
	s.Desk.Handed()
	s.hub.Sync(func() {})
	switch a, final := mine.state(); {
	case !final || a.Verdict == core.Served:
		return ""
	case a.Verdict == core.Refused:
		return refusal(a)
	default:
		return "the job failed: " + strings.TrimSpace(string(a.Body))
	}
}

// refusal tells when to come back: the word is the one of HTTP's header.
func refusal(a core.Answer) string {
	wait := comeBack
	if !a.RetryAt.IsZero() {
		wait = max(0, time.Until(a.RetryAt))
	}
	return fmt.Sprintf("refused, retry-after %.3f", wait.Seconds())
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
	if err := s.wire.reply(bulk(forWorker(e.flow.Transaction, e.queue))); err != nil {
		s.workers.undelivered(e)
		return false
	}
	s.workers.started(e)
	return true
}

// end takes an ACK or a FAIL. A second one is answered like the first and
// counts nothing.
func (s *session) end(text string, status basaltloft.Status) string {
	v, err := fastjson.Parse(text)
	if err != nil || len(v.GetStringBytes("jid")) == 0 {
		return fault("a jid is missing")
	}
	if s.worker == nil {
		return fault("only a worker, which has a wid, ends jobs")
	}
	var result []byte
	switch at := v.Get("result"); {
	case status != basaltloft.OK || at == nil:
	case at.Type() == fastjson.TypeString:
		result = append(result, at.GetStringBytes()...)
	default:
		result = at.MarshalTo(nil)
	}
	if len(result) > stage.MaxBody {
		return fault("the result is too large")
	}
	if s.workers.finish(s.worker, string(v.GetStringBytes("jid")), status, result) {
		s.processed.Add(1)
		if status != basaltloft.OK {
			s.failures.Add(1)
		}
	}
	return ok
}

// beat takes a worker's heartbeat. A worker says here that it stops fetching,
// and is told so when this dispatcher ends and has nothing left for it.
func (s *session) beat(text string) string {
	v, err := fastjson.Parse(text)
	if err != nil || s.worker == nil {
		return fault("only a worker, which has a wid, beats")
	}
	switch string(v.GetStringBytes("current_state")) {
	case "":
	case "quiet", "terminate":
		s.workers.calm(s.worker)
	default:
		return fault("unknown state")
	}
	if _, waiting, _ := s.workers.tally(); s.draining.Load() && waiting == 0 {
		return bulk([]byte(`{"state":"quiet"}`))
	}
	return ok
}

func (s *session) track(rest string) string {
	verb, jid, _ := strings.Cut(rest, " ")
	if verb != "GET" || jid == "" {
		return fault("only TRACK GET jid is offered")
	}
	known := s.outcomes.find(strings.TrimSpace(jid))
	if known == nil {
		return bulk(nil)
	}
	return bulk(known.track(s.workers.working(known.id)))
}

func (s *Server) info() []byte {
	there, waiting, held := s.workers.tally()
	var a fastjson.Arena
	number := func(n int) *fastjson.Value { return a.NewNumberInt(n) }
	jobs, server, v := a.NewObject(), a.NewObject(), a.NewObject()
	jobs.Set("total_enqueued", number(waiting))
	jobs.Set("total_working", number(held))
	jobs.Set("total_processed", number(int(s.processed.Load())))
	jobs.Set("total_failures", number(int(s.failures.Load())))
	jobs.Set("total_pushed", number(int(s.pushed.Load())))
	server.Set("description", a.NewString("basaltloft"))
	server.Set("uptime", number(int(time.Since(s.started).Seconds())))
	server.Set("connections", number(len(s.slots)))
	server.Set("workers", number(there))
	server.Set("command_count", number(int(s.commands.Load())))
	v.Set("now", a.NewString(time.Now().UTC().Format(time.RFC3339Nano)))
	v.Set("server_utc_time", a.NewString(time.Now().UTC().Format("15:04:05 UTC")))
	v.Set("faktory", jobs)
	v.Set("server", server)
	return v.MarshalTo(nil)
}
