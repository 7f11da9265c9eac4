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
	watchFor = 20 * time.Second       // discovery holds a watch so long when nothing changes
	grace    = 2 * time.Second        // a call fails so long after its answer was due
	mostList = 8 << 20                // bytes of a list
	breather = 100 * time.Millisecond // between watches that come back at once with nothing; 200 ms would end the watch
)

// Lists is told what discovery tells.
type Lists interface {
	List(source string, kind basaltloft.ListKind, entries []*core.Member)
}

// Follower asks discovery. It implements core.Lister.
type Follower struct {
	ctx     context.Context
	base    url.URL
	lists   Lists
	carrier core.Carrier
	log     logrus.FieldLogger
	wire    *http.Transport

	mu         sync.Mutex
	generation int64
	stop       context.CancelFunc // of the watch that runs
}

// New returns a follower of the discovery service at addr. Calls end with ctx.
func New(ctx context.Context, addr string, lists Lists, carrier core.Carrier, log logrus.FieldLogger) *Follower {
	return &Follower{
		ctx: ctx, base: url.URL{Scheme: "http", Host: addr, Path: "/registry/instances"},
		lists: lists, carrier: carrier, log: log, wire: &http.Transport{DisableCompression: true},
	}
}

// Restore starts from the list that the dispatcher last had.
func (f *Follower) Restore(l settings.List) {
	f.keep(l.Generation)
	f.lists.List(Source, basaltloft.ListRestored, f.members(l))
}

// Watch implements core.Lister. While one watch runs, another is not begun.
func (f *Follower) Watch(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !on {
		if f.stop != nil {
			f.stop()
		}
		return
	}
	if f.stop == nil {
		ctx, stop := context.WithCancel(f.ctx)
		f.stop = stop
		go f.watch(ctx)
	}
}

// Fetch implements core.Lister.
func (f *Follower) Fetch() {
	go func() {
		l, err := f.call(f.ctx, nil, time.Now().Add(grace))
		if err != nil {
			f.failed(err)
			return
		}
		f.keep(l.Generation)
		f.lists.List(Source, basaltloft.ListWhole, f.members(l))
	}()
}

// watch calls again as soon as it is answered: a gap of over 200 ms would end
// the watch, and changes in it would count as told. Its end is told to the
// module, which asks anew.
func (f *Follower) watch(ctx context.Context) {
	for first := true; ; first = false {
		began := time.Now()
		l, err := f.call(ctx, url.Values{
			"index": {strconv.FormatInt(f.seen(), 10)}, "wait": {strconv.FormatInt(watchFor.Milliseconds(), 10)},
		}, began.Add(watchFor+grace))
		if err != nil {
			wanted := ctx.Err() == nil // asked before the watch's own end, which would hide a failure
			f.mu.Lock()
			f.stop()
			f.stop = nil
			f.mu.Unlock()
			if wanted {
				f.failed(err)
			}
			return
		}
		f.keep(l.Generation)
		kind := basaltloft.ListChange
		if l.Whole {
			kind = basaltloft.ListWhole
		}
		if first || l.Whole || len(l.Entries) > 0 {
			f.lists.List(Source, kind, f.members(l))
		} else if time.Since(began) < breather {
			select {
			case <-ctx.Done():
			case <-time.After(breather):
			}
		}
	}
}

func (f *Follower) failed(err error) {
	f.log.WithError(err).Warn("a call to discovery failed")
	f.lists.List(Source, basaltloft.ListFailed, nil)
}

func (f *Follower) seen() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.generation
}

func (f *Follower) keep(generation int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.generation = generation
}

// call asks discovery. A malformed answer is a failed call: it changes nothing.
func (f *Follower) call(ctx context.Context, query url.Values, until time.Time) (settings.List, error) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	u := f.base
	u.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return settings.List{}, fmt.Errorf("asking discovery: %w", err)
	}
	resp, err := f.wire.RoundTrip(req)
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
			Started: e.Started, Carrier: f.carrier,
		})
	}
	return members
}
