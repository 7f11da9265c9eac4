// Package discovery follows the list of pool members of the platform's discovery service, by long polls
// (watches) and calls for the whole list. schedule.go decides when, follower.go calls.
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

// Source is the name of discovery's members in the engine.
const Source = "discovery"

const (
	// maxListBytes is the largest answer that is read.
	maxListBytes = 8 << 20
	// minCallInterval is the least time between the starts of two calls of a watch. A gap of 200 ms
	// would end the watch.
	minCallInterval = 50 * time.Millisecond
)

// MembershipSink is told what discovery tells; engine.Engine implements it.
type MembershipSink interface {
	UpdateMembers(source string, kind policy.ListKind, entries []*engine.Member)
}

// Follower calls discovery. It implements engine.Lister. Its goroutines end with the context of New, and Wait
// waits for them.
type Follower struct {
	ctx       context.Context
	schedule  CallSchedule
	sink      MembershipSink
	transport engine.Transport
	log       *slog.Logger

	answered   chan struct{} // closed once a service has answered
	answerOnce sync.Once

	running sync.WaitGroup // the goroutines of calls and watches

	mu      sync.Mutex
	current *service
}

// service is one discovery service while it is followed. Its versions (generations) mean nothing to the
// next service. What is not constant is under the follower's lock.
type service struct {
	ctx       context.Context // ends with the follower, or when another is followed
	cancel    context.CancelFunc
	base      url.URL
	transport *http.Transport

	generation    int64
	hasGeneration bool               // generation was told by this service
	stopWatch     context.CancelFunc // ends the watch; nil: none is wanted
	failures      int                // calls that failed in a row
}

// New returns a follower of the discovery service at addr. Its members are reached by the transport. All
// calls end with ctx.
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

// newService returns a service at an address that is not called yet.
func (f *Follower) newService(addr string) *service {
	// http.Transport continues a dial whose call was given up, since the next call may use the
	// connection. Those that never come up must not accumulate.
	dialer := &net.Dialer{Timeout: f.schedule.MaxCallInterval}
	s := &service{
		base:      url.URL{Scheme: "http", Host: addr, Path: "/registry/instances"},
		transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true},
	}
	s.ctx, s.cancel = context.WithCancel(f.ctx)
	return s
}

// Restore starts from the list that the dispatcher had last.
func (f *Follower) Restore(l settings.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current.generation, f.current.hasGeneration = l.Generation, true
	f.sink.UpdateMembers(Source, policy.ListRestored, f.members(l))
}

// SwitchTo follows the service at another address from now on and asks it for its whole list. The old
// one's watch, connections and late answers are dropped: its versions are not the new one's, and it may
// be about to stop. The members stay until the new list says otherwise.
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

// KeepWatching follows a list that is pushed to an agent on this machine rather than polled at a shared
// service: nobody else asks for it, so the watch is kept until the follower ends, and one that fails or
// is not answered is repeated after a short pause. Meanwhile the known members stay in service. By the
// platform's rules, what the agent has counts as told from a process's first moment, however old the list
// that the process was started with: so the whole list is asked for first, which comes at once, where a
// watch from that list's version would wait for changes.
func (f *Follower) KeepWatching() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.stopWatch == nil {
		f.current.hasGeneration = false
		f.startWatch(f.current)
	}
}

// WaitFirstAnswer waits until a service has answered, but no longer than until the given time, and
// reports whether one has. A process that sends nothing before uses no list older than that of its agent,
// if the agent answers.
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

// Wait returns once all goroutines have ended. It must be called once the context of New has ended and no
// other method is called any more.
func (f *Follower) Wait() { f.running.Wait() }

// Watch implements engine.Lister. There is one watch at a time, also while it waits to repeat a call.
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

// startWatch starts a watch. The caller holds the lock.
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

// watch calls again as soon as it is answered: a gap of over 200 ms would end the watch, and changes in it
// would count as told. A call that fails is told to the policy and repeated here, by the schedule, until
// the watch is stopped. A service of which no version is known is asked for its whole list first.
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
			if l.Whole {
				kind = policy.ListSnapshot
			}
			quiet := continues && kind == policy.ListDelta && len(l.Entries) == 0
			f.deliver(ctx, s, l, kind, !quiet)
			if !continues { // a watch ends the sooner the later it goes on
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

// recordFailure tells the policy of a failed call, and returns how many have failed in a row. The log has
// a run of failures once. A call that was ended, with its watch or its service, has not failed.
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

// deliver passes on what a service answered, unless the call was ended meanwhile: a late list of a
// service that is no longer followed must not undo what the new one has told. An answer without news is
// passed on only where a failure may have been.
func (f *Follower) deliver(ctx context.Context, s *service, l settings.List, kind policy.ListKind, news bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if s.failures > 0 {
		f.log.Info("discovery answers again", "failed", s.failures)
	}
	// Changes up to a version older than the one that they follow are of another incarnation of the
	// service: what came before them is not known.
	s.hasGeneration = kind == policy.ListSnapshot || l.Generation >= s.generation
	s.generation, s.failures = l.Generation, 0
	if news {
		f.sink.UpdateMembers(Source, kind, f.members(l))
	}
	f.answerOnce.Do(func() { close(f.answered) })
}

// generation returns the version of a service's list that is known, if one is.
func (f *Follower) generation(s *service) (int64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.generation, s.hasGeneration
}

// call calls discovery and returns its list. A malformed answer is an error.
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
	defer func() { _ = resp.Body.Close() }() // what is needed of it has been read
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return settings.List{}, fmt.Errorf("reading discovery's answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return settings.List{}, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return settings.DecodeList(text)
}

// members are the engine's members of a list. Each cell is a group of its own in the ledger.
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
