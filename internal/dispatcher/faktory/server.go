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

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/settings"

	"github.com/sirupsen/logrus"
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
	NewTransaction(a pipeline.Submission, now time.Time, client engine.Client) (*engine.Transaction, error)
	Effect(class string) (policy.Effect, bool)
}

// Server is the Faktory front.
type Server struct {
	Desk    accounting.FrontCounters // its own book
	hub     Hub
	intake  Intake
	set     *settings.Faktory
	log     logrus.FieldLogger
	back    *backlog
	workers *workers
	started time.Time
	slots   chan struct{}

	draining atomic.Bool
	commands atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]time.Time // until HELLO since when, then zero
	by    map[string]int         // connections by client address
	all   sync.WaitGroup
}

// New returns a front that is not serving yet.
func New(hub Hub, intake Intake, set *settings.Faktory, log logrus.FieldLogger) *Server {
	s := &Server{
		Desk: accounting.FrontCounters{Front: Front}, hub: hub, intake: intake, set: set, log: log,
		started: time.Now(), slots: make(chan struct{}, set.Connections), conns: make(map[net.Conn]time.Time), by: make(map[string]int),
	}
	s.back = newBacklog(hub, intake, set, &s.Desk, log)
	s.workers = s.back.workers
	return s
}

// With lets jobs name a plan that they are run as. It is called before Serve.
func (s *Server) With(p Plans) { s.back.plans = p }

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
	s.all.Go(func() { s.back.run(ctx) })
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
		at, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		s.mu.Lock()
		tooMany := s.set.PerAddress > 0 && s.by[at] >= s.set.PerAddress
		if !tooMany {
			s.conns[c] = time.Now()
			s.by[at]++
		}
		s.mu.Unlock()
		if tooMany {
			<-s.slots
			c.SetWriteDeadline(time.Now().Add(writeFor))
			fmt.Fprint(c, fault("too many connections from one address, come back in %v", comeBack))
			c.Close()
			continue
		}
		s.all.Go(func() {
			defer func() {
				s.mu.Lock()
				delete(s.conns, c)
				if s.by[at]--; s.by[at] == 0 {
					delete(s.by, at)
				}
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
func (s *Server) Drain() {
	s.draining.Store(true)
	s.back.drain()
}

// session is one connection after its HELLO.
type session struct {
	*Server
	wire   *wire
	worker *worker // nil: a client that only pushes
	hello  hello
	from   string // the client's address, without its port
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
	at := &session{Server: s, wire: w, hello: h}
	at.from, _, _ = net.SplitHostPort(c.RemoteAddr().String())
	if h.worker != "" {
		at.worker = s.workers.connect(h)
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
			if !s.command(line) {
				return
			}
		}
	}
}
