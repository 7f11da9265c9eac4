// Package pool follows discovery's list of pool members.
package pool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"basaltloft"
	"basaltloft/internal/core"
	"basaltloft/internal/settings"

	"github.com/sirupsen/logrus"
)

// Source is the name of discovery's members in the core.
const Source = "discovery"

const (
	// Discovery holds a watch so long when nothing changes. A connection that has
	// fallen silent looks just like one on which nothing changes, so this is also
	// how long the pool may be followed blindly.
	watchFor = 2 * time.Second
	grace    = 2 * time.Second        // a call fails so long after its answer was due
	mostList = 8 << 20                // bytes of a list
	breather = 100 * time.Millisecond // between watches that come back at once with nothing; 200 ms would end the watch

	// A pushed list is read from an agent on this machine, which answers at once
	// and at no cost and is silent while discovery is down. Its watch is short,
	// so that a silent call is given up and the agent asked anew well within
	// the 2 s in which a drain must bind, and a failed call is renewed after a
	// pause that grows from pauseLeast to pauseMost: never at once, never long.
	keptWait   = time.Second
	keptGrace  = 250 * time.Millisecond
	pauseLeast = 25 * time.Millisecond
	pauseMost  = 200 * time.Millisecond

	// Where discovery is asked, what a silent call misses counts as told 6 s after
	// the silence began, and a drain binds 2 s after that. Silent calls are asked
	// anew by chance between their end and so long after their wait is over, since
	// many fall silent together and the service takes calls one after another.
	againBy = 3 * time.Second
)

// Lists is told what discovery tells.
type Lists interface {
	List(source string, kind basaltloft.ListKind, entries []*core.Member)
}

// Follower asks discovery. It implements core.Lister.
type Follower struct {
	ctx     context.Context
	lists   Lists
	carrier core.Carrier
	log     logrus.FieldLogger

	heard chan struct{} // closed once a service has answered
	first sync.Once

	mu       sync.Mutex
	at       *service
	on       bool // a watch is wanted
	kept     bool // lists are pushed: the follower watches by itself, always
	failures int  // calls failed in a row while kept
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
	stop       context.CancelFunc // of the watch that runs
}

// New returns a follower of the discovery service at addr. Calls end with ctx.
func New(ctx context.Context, addr string, lists Lists, carrier core.Carrier, log logrus.FieldLogger) *Follower {
	f := &Follower{ctx: ctx, lists: lists, carrier: carrier, log: log, heard: make(chan struct{})}
	f.at = f.service(addr)
	return f
}

func (f *Follower) service(addr string) *service {
	s := &service{
		base: url.URL{Scheme: "http", Host: addr, Path: "/registry/instances"},
		wire: &http.Transport{DisableCompression: true},
	}
	s.ctx, s.end = context.WithCancel(f.ctx)
	return s
}

// Restore starts from the list that the dispatcher last had.
func (f *Follower) Restore(l settings.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at.generation, f.at.known = l.Generation, true
	f.lists.List(Source, basaltloft.ListRestored, f.members(l))
}

// Move follows the service at another address from here on and asks it for its
// whole list. The old one's watch, connections and late answers are dropped:
// its versions are not the new one's, and it may be about to end. The members
// stay until the new list says otherwise.
func (f *Follower) Move(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.at
	if old.base.Host == addr {
		return
	}
	old.end()
	old.wire.CloseIdleConnections()
	f.at, f.on = f.service(addr), true
	f.begin(f.at)
}

// Keep follows a list that is pushed to an agent on this machine rather than
// asked of a shared service: nobody else asks for it, so a watch is kept from
// now on until the follower ends, and one that fails or falls silent is begun
// anew after a short pause. Service goes on meanwhile with the members known.
// What the agent has counts as told from a process's first moment, however old
// the list that it was started with: so the whole list is asked for first, which
// comes at once, where a watch from that list's version would wait for news.
func (f *Follower) Keep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kept, f.on = true, true
	if f.at.stop == nil {
		f.at.known = false
		f.begin(f.at)
	}
}

// Heard waits until a service has answered, but no longer than until the time
// given, and tells whether one has. A process that sends nothing before goes by no
// list older than its agent's, as long as that speaks.
func (f *Follower) Heard(until time.Time) bool {
	ctx, cancel := context.WithDeadline(f.ctx, until)
	defer cancel()
	select {
	case <-f.heard:
		return true
	case <-ctx.Done():
		return false
	}
}

// Watch implements core.Lister. While one watch runs, another is not begun.
func (f *Follower) Watch(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.on = on
	switch s := f.at; {
	case on && s.stop == nil:
		f.begin(s)
	case !on && s.stop != nil:
		s.stop()
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
		l, err := s.call(s.ctx, nil, time.Now().Add(grace))
		if err != nil {
			f.failed(s, err)
			return
		}
		f.tell(s, l.Generation, func() { f.lists.List(Source, basaltloft.ListWhole, f.members(l)) })
	}()
}

// watch calls again as soon as it is answered: a gap of over 200 ms would end
// the watch, and changes in it would count as told. A call that fails is told to
// the module, which asks anew when the service can bear it; one that falls silent
// has not burdened it, and is asked anew from here, in time for what it may have
// missed. A service of which no version is known is asked for its whole list first.
func (f *Follower) watch(ctx context.Context, s *service) {
	for first := true; ; first = false {
		wait, late := f.span()
		began, query := time.Now(), url.Values(nil)
		due := began // when the answer is due
		if generation, known := f.seen(s); known {
			query = url.Values{
				"index": {strconv.FormatInt(generation, 10)}, "wait": {strconv.FormatInt(wait.Milliseconds(), 10)},
			}
			due = due.Add(wait)
		}
		l, err := s.call(ctx, query, due.Add(late))
		if err != nil {
			wanted := ctx.Err() == nil // asked before the watch's own end, which would hide a failure
			f.mu.Lock()
			s.stop()
			s.stop = nil
			f.mu.Unlock()
			if !wanted {
				return
			}
			if errors.Is(err, context.DeadlineExceeded) && f.again(s) {
				f.renew(s, Spread(time.Now(), due.Add(againBy), rand.Float64()))
			} else if failures := f.failed(s, err); failures > 0 {
				f.renew(s, time.Now().Add(Pause(failures)))
			}
			return
		}
		kind := basaltloft.ListChange
		if l.Whole || query == nil {
			kind = basaltloft.ListWhole
		}
		quiet := !first && kind == basaltloft.ListChange && len(l.Entries) == 0
		f.tell(s, l.Generation, func() {
			if !quiet {
				f.lists.List(Source, kind, f.members(l))
			}
		})
		if quiet && time.Since(began) < breather {
			select {
			case <-ctx.Done():
			case <-time.After(breather):
			}
		}
	}
}

// span is how long a watch may wait, and how long after that its answer is due.
func (f *Follower) span() (wait, late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.kept {
		return keptWait, keptGrace
	}
	return watchFor, grace
}

// again tells whether a silent call is the follower's own to make anew: it is where
// discovery is asked. A kept watch has a pace of its own.
func (f *Follower) again(s *service) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.kept {
		return false
	}
	if f.at == s {
		f.log.Info("discovery fell silent and is asked anew")
	}
	return true
}

// failed tells the module of a failed call. Where the watch is kept, it returns how
// many have failed in a row, since the follower is to make the call anew; it then says
// so in the log once for a run of failures, not for each renewal.
func (f *Follower) failed(s *service, err error) (kept int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at != s {
		return 0
	}
	if f.failures++; !f.kept || f.failures == 1 {
		f.log.WithError(err).Warn("a call to discovery failed")
	}
	f.lists.List(Source, basaltloft.ListFailed, nil)
	if !f.kept {
		return 0
	}
	return f.failures
}

// renew begins a watch anew at a time, unless the service was left, a watch runs
// or none is wanted any more.
func (f *Follower) renew(s *service, at time.Time) {
	select {
	case <-s.ctx.Done():
		return
	case <-time.After(time.Until(at)):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at == s && f.on && s.stop == nil {
		f.begin(s)
	}
}

// Spread is when a silent call is made anew: by chance, of which share (0 to 1) is
// the draw, between now and the time by which it has to be, and now once that is over.
func Spread(now, by time.Time, share float64) time.Time {
	return now.Add(time.Duration(share * float64(max(0, by.Sub(now)))))
}

// Pause is how long a kept watch waits before it is begun anew after the given
// number of failures in a row (one or more): pauseLeast, doubled for each
// further failure, at most pauseMost.
func Pause(failures int) time.Duration {
	return min(pauseMost, pauseLeast<<min(max(0, failures-1), 8)) // the shift bounded, never past pauseMost
}

// tell passes on what a service answered, unless another has been followed
// since: a list of the old one, under way when it was left, must not undo what
// the new one has told.
func (f *Follower) tell(s *service, generation int64, what func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at == s {
		if f.kept && f.failures > 0 {
			f.log.WithField("failed", f.failures).Info("discovery answers again")
		}
		s.generation, s.known, f.failures = generation, true, 0
		what()
		f.first.Do(func() { close(f.heard) })
	}
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

func (f *Follower) members(l settings.List) []*core.Member {
	members := make([]*core.Member, 0, len(l.Entries))
	for _, e := range l.Entries {
		members = append(members, &core.Member{
			ID: e.ID, Addr: e.Addr, Kind: e.Kind, Zone: e.Zone, Cell: e.Cell, State: e.State, Weight: e.Weight,
			Started: e.Started, Carrier: f.carrier, Group: "cell " + strconv.Itoa(e.Cell),
		})
	}
	return members
}
