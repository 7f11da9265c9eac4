// Package discovery follows discovery's list of pool members.
package discovery

import (
	"context"
	"fmt"
	"io"
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

	"github.com/sirupsen/logrus"
)

// Source is the name of discovery's members in the core.
const Source = "discovery"

const (
	maxListBytes    = 8 << 20               // bytes of a list
	minCallInterval = 50 * time.Millisecond // calls of a watch begin so long apart; a gap of 200 ms would end it
)

// MembershipSink is told what discovery tells.
type MembershipSink interface {
	UpdateMembers(source string, kind policy.ListKind, entries []*engine.Member)
}

// Follower asks discovery. It implements core.Lister.
type Follower struct {
	ctx       context.Context
	schedule  CallSchedule
	sink      MembershipSink
	transport engine.Transport
	log       logrus.FieldLogger

	answered   chan struct{} // closed once a service has answered
	answerOnce sync.Once

	mu      sync.Mutex
	current *service
}

// service is one discovery service while it is followed. Its versions mean
// nothing to the next one. What is not constant is under the follower's lock.
type service struct {
	ctx       context.Context // ends with the follower, or when another is followed
	cancel    context.CancelFunc
	base      url.URL
	transport *http.Transport

	generation    int64
	hasGeneration bool               // generation is this service's own
	stopWatch     context.CancelFunc // of the watch, from its begin through all failures on; nil: none is wanted
	failures      int                // calls failed in a row
}

// New returns a follower of the discovery service at addr, which is called at a pace.
// Calls end with ctx.
func New(ctx context.Context, addr string, pace CallSchedule, lists MembershipSink, carrier engine.Transport, log logrus.FieldLogger) *Follower {
	f := &Follower{ctx: ctx, schedule: pace, sink: lists, transport: carrier, log: log, answered: make(chan struct{})}
	f.current = f.newService(addr)
	return f
}

func (f *Follower) newService(addr string) *service {
	// The transport lets a dial go on whose call was given up, since the next call
	// may use what comes up late. Those that never come up must not heap up.
	dialer := &net.Dialer{Timeout: f.schedule.MaxCallInterval}
	s := &service{
		base:      url.URL{Scheme: "http", Host: addr, Path: "/registry/instances"},
		transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true},
	}
	s.ctx, s.cancel = context.WithCancel(f.ctx)
	return s
}

// Restore starts from the list that the dispatcher last had.
func (f *Follower) Restore(l settings.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current.generation, f.current.hasGeneration = l.Generation, true
	f.sink.UpdateMembers(Source, policy.ListRestored, f.members(l))
}

// SwitchTo follows the service at another address from here on and asks it for its
// whole list. The old one's watch, connections and late answers are dropped:
// its versions are not the new one's, and it may be about to end. The members
// stay until the new list says otherwise.
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

// KeepWatching follows a list that is pushed to an agent on this machine rather than
// asked of a shared service: nobody else asks for it, so a watch is kept from
// now on until the follower ends, and one that fails or falls silent is begun
// anew after a short pause. Service goes on meanwhile with the members known.
// What the agent has counts as told from a process's first moment, however old
// the list that it was started with: so the whole list is asked for first, which
// comes at once, where a watch from that list's version would wait for news.
func (f *Follower) KeepWatching() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.stopWatch == nil {
		f.current.hasGeneration = false
		f.startWatch(f.current)
	}
}

// WaitFirstAnswer waits until a service has answered, but no longer than until the time
// given, and tells whether one has. A process that sends nothing before goes by no
// list older than its agent's, as long as that speaks.
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

// Watch implements core.Lister. Where a watch is kept, be it that its next call is yet
// to come, another is not begun.
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
	go f.watch(ctx, s)
}

// Fetch implements core.Lister.
func (f *Follower) Fetch() {
	f.mu.Lock()
	s := f.current
	f.mu.Unlock()
	go func() {
		_, until := f.schedule.Timeouts(time.Now(), false, false)
		l, err := s.call(s.ctx, nil, until)
		if err != nil {
			f.recordFailure(s.ctx, s, err)
			return
		}
		f.deliver(s.ctx, s, l, policy.ListSnapshot, true)
	}()
}

// watch calls again as soon as it is answered: a gap of over 200 ms would end the
// watch, and changes in it would count as told. A call that fails is told to the module
// and made anew from here, at the follower's pace, until the watch is stopped. A service
// of which no version is known is asked for its whole list first.
func (f *Follower) watch(ctx context.Context, s *service) {
	for goesOn := false; ctx.Err() == nil; {
		began, query := time.Now(), url.Values(nil)
		generation, known := f.generation(s)
		wait, until := f.schedule.Timeouts(began, known, goesOn)
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
			quiet := goesOn && kind == policy.ListDelta && len(l.Entries) == 0
			f.deliver(ctx, s, l, kind, !quiet)
			if !goesOn { // a watch ends the sooner the later it goes on
				next = began
			}
		}
		goesOn = err == nil
		if pause := time.Until(next); pause > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}
}

// recordFailure tells the module of a failed call, and returns how many have failed in a row.
// The log has it once for a run of failures. A call that was ended, with its watch or
// with its service, has not failed.
func (f *Follower) recordFailure(ctx context.Context, s *service, err error) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return 1
	}
	if s.failures++; s.failures == 1 {
		f.log.WithError(err).Warn("a call to discovery failed")
	}
	f.sink.UpdateMembers(Source, policy.ListFailed, nil)
	return s.failures
}

// deliver passes on what a service answered, unless the call was ended meanwhile: a list
// of a service that was left, under way then, must not undo what the new one has told.
// The module hears of one without news only where it may have heard of a failure.
func (f *Follower) deliver(ctx context.Context, s *service, l settings.List, kind policy.ListKind, news bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if s.failures > 0 {
		f.log.WithField("failed", s.failures).Info("discovery answers again")
	}
	// News up to a version older than the one that they follow are of another life of
	// the service: what came before them is not known.
	s.hasGeneration = kind == policy.ListSnapshot || l.Generation >= s.generation
	s.generation, s.failures = l.Generation, 0
	if news {
		f.sink.UpdateMembers(Source, kind, f.members(l))
	}
	f.answerOnce.Do(func() { close(f.answered) })
}

func (f *Follower) generation(s *service) (int64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.generation, s.hasGeneration
}

// call asks discovery. A malformed answer is a failed call: it changes nothing.
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
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return settings.List{}, fmt.Errorf("reading discovery's answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return settings.List{}, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return settings.DecodeList(text)
}

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
