// Package discovery keeps the list of pool members up to date from the platform's discovery service, by
// long polls (watches) and calls for the whole list. schedule.go decides when to call, follower.go calls.
package discovery

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/settings"
)

// Source is the name under which the engine keeps the members that discovery lists.
const Source = "discovery"

const (
	// maxListBytes is the maximum number of bytes read of an answer.
	maxListBytes = 8 << 20
	// minCallInterval is the minimum time between the starts of two calls of a watch. It must stay below
	// 200 ms, since the service ends a watch after a gap of that length.
	minCallInterval = 50 * time.Millisecond
)

// MembershipSink receives the lists of members and the failures of calls. engine.Engine implements it.
type MembershipSink interface {
	UpdateMembers(source string, kind policy.ListKind, entries []*engine.Member)
}

// Follower calls discovery and passes its lists to a MembershipSink. It implements engine.Lister. Its
// goroutines end with the context that New was given, and Wait waits for them.
type Follower struct {
	ctx       context.Context
	schedule  CallSchedule
	sink      MembershipSink
	transport engine.Transport
	log       *slog.Logger

	answered   chan struct{} // closed once a service has answered a call
	answerOnce sync.Once

	running sync.WaitGroup // counts the goroutines of calls and watches

	mu      sync.Mutex
	current *service
}

// service is the discovery service that the follower calls. Its list versions (generations) are not
// comparable with those of another service. The fields that change are guarded by Follower.mu.
type service struct {
	ctx       context.Context // ends with the follower, or when it switches to another service
	cancel    context.CancelFunc
	base      url.URL
	transport *http.Transport

	generation    int64
	hasGeneration bool               // generation is set: changes since that version can be requested
	stopWatch     context.CancelFunc // ends the watch; nil: there is no watch
	failures      int                // consecutive failed calls
}

// New returns a follower of the discovery service at addr. The engine reaches the listed members through
// transport. All calls end with ctx.
func New(
	ctx context.Context, addr string, schedule CallSchedule, sink MembershipSink, transport engine.Transport,
	log *slog.Logger,
) *Follower {
	f := &Follower{
		ctx: ctx, schedule: schedule, sink: sink, transport: transport, log: log,
		answered: make(chan struct{}),
	}
	f.current = f.newService(addr)
	return f
}

// newService returns the service at an address, without calling it.
func (f *Follower) newService(addr string) *service {
	// http.Transport continues a dial after its call was cancelled, since the next call may use the
	// connection. The timeout keeps dials that never succeed from accumulating.
	dialer := &net.Dialer{Timeout: f.schedule.MaxCallInterval}
	s := &service{
		base:      url.URL{Scheme: "http", Host: addr, Path: "/registry/instances"},
		transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true},
	}
	s.ctx, s.cancel = context.WithCancel(f.ctx)
	return s
}

// Restore passes on the last list of the previous process and continues from its version.
func (f *Follower) Restore(l settings.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current.generation, f.current.hasGeneration = l.Generation, true
	f.sink.UpdateMembers(Source, policy.ListRestored, f.members(l))
}

// SwitchTo switches to the service at another address and requests its whole list. The watch, connections
// and late answers of the old service are dropped: its versions are not comparable with those of the new
// service, and it may be about to stop. The members stay in use until the new list arrives.
func (f *Follower) SwitchTo(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.current
	if old.base.Host == addr {
		return
	}
	old.cancel()
	old.transport.CloseIdleConnections()
	f.current = f.newService(addr)
	f.startWatch(f.current)
}

// KeepWatching starts a watch that lasts until the follower ends. It is for a list that is pushed to an
// agent on this machine rather than polled at a shared service: the policy never calls Watch or Fetch then.
// A call that fails or is not answered is repeated after a short pause; meanwhile the known members stay in
// use. By the platform's rules, what the agent has counts as known to the dispatcher from the start of the
// process, however old the list that the process was started with. Therefore the first call requests the
// whole list, which is answered at once; a watch from the restored version would wait for changes.
func (f *Follower) KeepWatching() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.stopWatch == nil {
		f.current.hasGeneration = false
		f.startWatch(f.current)
	}
}

// WaitFirstAnswer waits for the first answer of a service, until the given time at the latest, and reports
// whether there was one. A process that sends nothing before it returns uses no list older than the one of
// its agent, provided that the agent answers.
func (f *Follower) WaitFirstAnswer(until time.Time) bool {
	ctx, cancel := context.WithDeadline(f.ctx, until)
	defer cancel()
	select {
	case <-f.answered:
		return true
	case <-ctx.Done():
		return false
	}
}

// Wait returns once all goroutines have ended. It must be called only after the context given to New has
// ended and the last call of another method has returned.
func (f *Follower) Wait() { f.running.Wait() }

// Watch implements engine.Lister. There is at most one watch at a time, which includes one that waits to
// repeat a failed call.
func (f *Follower) Watch(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch s := f.current; {
	case on && s.stopWatch == nil:
		f.startWatch(s)
	case !on && s.stopWatch != nil:
		s.stopWatch()
		s.stopWatch = nil
	}
}

// startWatch starts a watch. The caller must hold f.mu.
func (f *Follower) startWatch(s *service) {
	ctx, stop := context.WithCancel(s.ctx)
	s.stopWatch = stop
	f.running.Go(func() { f.watch(ctx, s) })
}

// Fetch implements engine.Lister.
func (f *Follower) Fetch() {
	f.mu.Lock()
	s := f.current
	f.mu.Unlock()
	f.running.Go(func() {
		_, until := f.schedule.Timeouts(time.Now(), false, false)
		l, err := s.call(s.ctx, nil, until)
		if err != nil {
			f.recordFailure(s.ctx, s, err)
			return
		}
		f.deliver(s.ctx, s, l, policy.ListSnapshot, true)
	})
}

// watch calls the service until ctx ends. It calls again as soon as it is answered: a gap of over 200 ms
// would end the watch, and changes during the gap would count as known to the dispatcher. A failed call is
// reported to the policy and repeated here, by the schedule. If no version of the service is known, the
// first call requests the whole list.
func (f *Follower) watch(ctx context.Context, s *service) {
	for continues := false; ctx.Err() == nil; {
		began, query := time.Now(), url.Values(nil)
		generation, known := f.generation(s)
		wait, until := f.schedule.Timeouts(began, known, continues)
		kind := policy.ListSnapshot
		if known {
			kind = policy.ListDelta
			query = url.Values{
				"index": {strconv.FormatInt(generation, 10)}, "wait": {strconv.FormatInt(wait.Milliseconds(), 10)},
			}
		}
		l, err := s.call(ctx, query, until)
		next := began.Add(minCallInterval)
		if err != nil {
			next = f.schedule.NextCall(began, time.Now(), f.recordFailure(ctx, s, err), rand.Float64())
		} else {
			if l.Complete {
				kind = policy.ListSnapshot
			}
			quiet := continues && kind == policy.ListDelta && len(l.Entries) == 0
			f.deliver(ctx, s, l, kind, !quiet)
			if !continues { // don't wait: the later a watch is continued, the sooner it ends
				next = began
			}
		}
		continues = err == nil
		if pause := time.Until(next); pause > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}
}

// recordFailure reports a failed call to the policy and returns the number of consecutive failures. Only
// the first of them is logged. A call that ended because its watch or service was dropped is no failure.
func (f *Follower) recordFailure(ctx context.Context, s *service, err error) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return 1
	}
	if s.failures++; s.failures == 1 {
		f.log.Warn("a call to discovery failed", "error", err)
	}
	f.sink.UpdateMembers(Source, policy.ListFailed, nil)
	return s.failures
}

// deliver passes the answer of a service to the sink, unless ctx has ended meanwhile: a late list of the
// service before a switch must not overwrite the list of the new one. news is false for an answer without
// changes that follows a successful call of the same watch; it is not passed on.
func (f *Follower) deliver(ctx context.Context, s *service, l settings.List, kind policy.ListKind, news bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if s.failures > 0 {
		f.log.Info("discovery answers again", "failed", s.failures)
	}
	// If changes end at a version older than the requested one, they come from another incarnation of
	// the service, whose earlier changes are not known: the next call requests the whole list.
	s.hasGeneration = kind == policy.ListSnapshot || l.Generation >= s.generation
	s.generation, s.failures = l.Generation, 0
	if news {
		f.sink.UpdateMembers(Source, kind, f.members(l))
	}
	f.answerOnce.Do(func() { close(f.answered) })
}

// generation returns the last known version of a service's list and whether there is one.
func (f *Follower) generation(s *service) (int64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.generation, s.hasGeneration
}

// call calls the service and returns its list. A malformed answer is an error.
func (s *service) call(ctx context.Context, query url.Values, until time.Time) (settings.List, error) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	u := s.base
	u.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return settings.List{}, fmt.Errorf("asking discovery: %w", err)
	}
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		return settings.List{}, fmt.Errorf("asking discovery: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // an error doesn't matter: the body has been read
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return settings.List{}, fmt.Errorf("reading discovery's answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return settings.List{}, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return settings.DecodeList(text)
}

// members converts the entries of a list to members of the engine. Each cell is a group of its own in the
// ledger.
func (f *Follower) members(l settings.List) []*engine.Member {
	members := make([]*engine.Member, 0, len(l.Entries))
	for _, e := range l.Entries {
		group := "no cell"
		if e.Cell >= 0 {
			group = "cell " + strconv.Itoa(e.Cell)
		}
		members = append(members, &engine.Member{
			ID: e.ID, Addr: e.Addr, Kind: e.Kind, Zone: e.Zone, Cell: e.Cell, State: e.State, Weight: e.Weight,
			Started: e.Started, Transport: f.transport, Group: group,
		})
	}
	return members
}
