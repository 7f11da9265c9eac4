// Package pool follows discovery's list of pool members.
package pool

import (
	"context"
	"fmt"
	"io"
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

	mu       sync.Mutex
	at       *service
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
	f := &Follower{ctx: ctx, lists: lists, carrier: carrier, log: log}
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
	f.tell(f.at, l.Generation, func() { f.lists.List(Source, basaltloft.ListRestored, f.members(l)) })
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
	f.at = f.service(addr)
	f.begin(f.at)
}

// Keep follows a list that is pushed to an agent on this machine rather than
// asked of a shared service: nobody else asks for it, so a watch is kept from
// now on until the follower ends, and one that fails or falls silent is begun
// anew after a short pause. Service goes on meanwhile with the members known.
func (f *Follower) Keep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kept = true
	if f.at.stop == nil {
		f.begin(f.at)
	}
}

// Watch implements core.Lister. While one watch runs, another is not begun.
func (f *Follower) Watch(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
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
// the watch, and changes in it would count as told. Its end is told to the
// module, which asks anew. A service of which no version is known is asked for
// its whole list first.
func (f *Follower) watch(ctx context.Context, s *service) {
	for first := true; ; first = false {
		wait, late := f.span()
		began, query, until := time.Now(), url.Values(nil), time.Now().Add(late)
		if generation, known := f.seen(s); known {
			query = url.Values{
				"index": {strconv.FormatInt(generation, 10)}, "wait": {strconv.FormatInt(wait.Milliseconds(), 10)},
			}
			until = until.Add(wait)
		}
		l, err := s.call(ctx, query, until)
		if err != nil {
			wanted := ctx.Err() == nil // asked before the watch's own end, which would hide a failure
			f.mu.Lock()
			s.stop()
			s.stop = nil
			f.mu.Unlock()
			if wanted {
				f.failed(s, err)
				f.renew(s)
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

// failed tells the module of a failed call. Where the watch is kept, it says so
// in the log once for a run of failures, not for each renewal.
func (f *Follower) failed(s *service, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at != s {
		return
	}
	if f.failures++; !f.kept || f.failures == 1 {
		f.log.WithError(err).Warn("a call to discovery failed")
	}
	f.lists.List(Source, basaltloft.ListFailed, nil)
}

// renew begins a kept watch anew after a pause that doubles with each failure
// in a row, up to pauseMost, unless the service was left or a watch runs.
func (f *Follower) renew(s *service) {
	f.mu.Lock()
	kept, failures := f.kept, f.failures
	f.mu.Unlock()
	if !kept {
		return
	}
	select {
	case <-s.ctx.Done():
		return
	case <-time.After(Pause(failures)):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at == s && s.stop == nil {
		f.begin(s)
	}
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
