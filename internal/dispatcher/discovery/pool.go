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
	mostList = 8 << 20               // bytes of a list
	breather = 50 * time.Millisecond // calls of a watch begin so long apart; a gap of 200 ms would end it
)

// MembershipSink is told what discovery tells.
type MembershipSink interface {
	UpdateMembers(source string, kind policy.ListKind, entries []*engine.Member)
}

// Follower asks discovery. It implements core.Lister.
type Follower struct {
	ctx     context.Context
	pace    CallSchedule
	lists   MembershipSink
	carrier engine.Transport
	log     logrus.FieldLogger

	heard chan struct{} // closed once a service has answered
	first sync.Once

	mu sync.Mutex
	at *service
}

// service is one discovery service while it is followed. Its versions mean
// nothing to the next one. What is not constant is under the follower's lock.
type service struct {
	ctx  context.Context // ends with the follower, or when another is followed
	end  context.CancelFunc
	base url.URL
	wire *http.Transport

	generation int64
	known      bool               // generation is this service's own
	stop       context.CancelFunc // of the watch, from its begin through all failures on; nil: none is wanted
	failures   int                // calls failed in a row
}

// New returns a follower of the discovery service at addr, which is called at a pace.
// Calls end with ctx.
func New(ctx context.Context, addr string, pace CallSchedule, lists MembershipSink, carrier engine.Transport, log logrus.FieldLogger) *Follower {
	f := &Follower{ctx: ctx, pace: pace, lists: lists, carrier: carrier, log: log, heard: make(chan struct{})}
	f.at = f.service(addr)
	return f
}

func (f *Follower) service(addr string) *service {
	// The transport lets a dial go on whose call was given up, since the next call
	// may use what comes up late. Those that never come up must not heap up.
	dialer := &net.Dialer{Timeout: f.pace.By}
	s := &service{
		base: url.URL{Scheme: "http", Host: addr, Path: "/registry/instances"},
		wire: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true},
	}
	s.ctx, s.end = context.WithCancel(f.ctx)
	return s
}

// Restore starts from the list that the dispatcher last had.
func (f *Follower) Restore(l settings.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at.generation, f.at.known = l.Generation, true
	f.lists.UpdateMembers(Source, policy.ListRestored, f.members(l))
}

// SwitchTo follows the service at another address from here on and asks it for its
// whole list. The old one's watch, connections and late answers are dropped:
// its versions are not the new one's, and it may be about to end. The members
// stay until the new list says otherwise.
func (f *Follower) SwitchTo(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.at
	if old.base.Host == addr {
		return
	}
	old.end()
	old.wire.CloseIdleConnections()
	f.at = f.service(addr)
	f.begin(f.at)
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
	if f.at.stop == nil {
		f.at.known = false
		f.begin(f.at)
	}
}

// WaitFirstAnswer waits until a service has answered, but no longer than until the time
// given, and tells whether one has. A process that sends nothing before goes by no
// list older than its agent's, as long as that speaks.
func (f *Follower) WaitFirstAnswer(until time.Time) bool {
	ctx, cancel := context.WithDeadline(f.ctx, until)
	defer cancel()
	select {
	case <-f.heard:
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
	switch s := f.at; {
	case on && s.stop == nil:
		f.begin(s)
	case !on && s.stop != nil:
		s.stop()
		s.stop = nil
	}
}

// begin starts a watch. The caller holds the lock.
func (f *Follower) begin(s *service) {
	ctx, stop := context.WithCancel(s.ctx)
	s.stop = stop
	go f.watch(ctx, s)
}

// Fetch implements core.Lister.
func (f *Follower) Fetch() {
	f.mu.Lock()
	s := f.at
	f.mu.Unlock()
	go func() {
		_, until := f.pace.Call(time.Now(), false, false)
		l, err := s.call(s.ctx, nil, until)
		if err != nil {
			f.failed(s.ctx, s, err)
			return
		}
		f.tell(s.ctx, s, l, policy.ListSnapshot, true)
	}()
}

// watch calls again as soon as it is answered: a gap of over 200 ms would end the
// watch, and changes in it would count as told. A call that fails is told to the module
// and made anew from here, at the follower's pace, until the watch is stopped. A service
// of which no version is known is asked for its whole list first.
func (f *Follower) watch(ctx context.Context, s *service) {
	for goesOn := false; ctx.Err() == nil; {
		began, query := time.Now(), url.Values(nil)
		generation, known := f.seen(s)
		wait, until := f.pace.Call(began, known, goesOn)
		kind := policy.ListSnapshot
		if known {
			kind = policy.ListDelta
			query = url.Values{
				"index": {strconv.FormatInt(generation, 10)}, "wait": {strconv.FormatInt(wait.Milliseconds(), 10)},
			}
		}
		l, err := s.call(ctx, query, until)
		next := began.Add(breather)
		if err != nil {
			next = f.pace.Again(began, time.Now(), f.failed(ctx, s, err), rand.Float64())
		} else {
			if l.Whole {
				kind = policy.ListSnapshot
			}
			quiet := goesOn && kind == policy.ListDelta && len(l.Entries) == 0
			f.tell(ctx, s, l, kind, !quiet)
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

// failed tells the module of a failed call, and returns how many have failed in a row.
// The log has it once for a run of failures. A call that was ended, with its watch or
// with its service, has not failed.
func (f *Follower) failed(ctx context.Context, s *service, err error) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return 1
	}
	if s.failures++; s.failures == 1 {
		f.log.WithError(err).Warn("a call to discovery failed")
	}
	f.lists.UpdateMembers(Source, policy.ListFailed, nil)
	return s.failures
}

// tell passes on what a service answered, unless the call was ended meanwhile: a list
// of a service that was left, under way then, must not undo what the new one has told.
// The module hears of one without news only where it may have heard of a failure.
func (f *Follower) tell(ctx context.Context, s *service, l settings.List, kind policy.ListKind, news bool) {
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
	s.known = kind == policy.ListSnapshot || l.Generation >= s.generation
	s.generation, s.failures = l.Generation, 0
	if news {
		f.lists.UpdateMembers(Source, kind, f.members(l))
	}
	f.first.Do(func() { close(f.heard) })
}

func (f *Follower) seen(s *service) (int64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.generation, s.known
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
	resp, err := s.wire.RoundTrip(req)
	if err != nil {
		return settings.List{}, fmt.Errorf("asking discovery: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, mostList))
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
			Started: e.Started, Transport: f.carrier, Group: group,
		})
	}
	return members
}
