package harness

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"basaltloft/internal/dispatcher/faultproxy"
)

// Fault is something that goes wrong for a time.
type Fault struct {
	At, For   time.Duration // from the play's begin; how long
	Kind      string
	Who, Whom int // places of processes; Whom only where there are two
	Rate      int // of a trickle, in bytes a second
}

// Faults are a plan, in their order.
type Faults []Fault

func (f Fault) String() string {
	text := fmt.Sprintf("%8.3fs for %5.3fs n%d %s", f.At.Seconds(), f.For.Seconds(), f.Who+1, f.Kind)
	if kinds[f.Kind].two {
		text += fmt.Sprintf(" n%d", f.Whom+1)
	}
	return text
}

func (f Faults) String() string {
	var lines []string
	for _, one := range f {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

// kind is how a kind of fault begins and ends.
type kind struct {
	two        bool // it is between two processes; else it takes one out of service
	folder     bool // it costs a folder: nobody else may be out, nor was of late
	begin, end func(*Rig, Fault) error
}

var kinds = map[string]kind{
	"is killed": {begin: func(r *Rig, f Fault) error { return r.who(f).Kill() }, end: start},
	"is frozen": {begin: func(r *Rig, f Fault) error { return r.who(f).Freeze() }, end: func(r *Rig, f Fault) error { return r.who(f).Thaw() }},
	"is asked to end": {begin: func(r *Rig, f Fault) error { return r.who(f).Term() }, end: func(r *Rig, f Fault) error {
		var exit *exec.ExitError
		err := r.who(f).Wait(time.Now().Add(patience))
		if errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGTERM {
			err = nil // it had hardly begun, and did not listen for the signal yet
		}
		return errors.Join(err, start(r, f))
	}},
	"is cut off": {begin: around(func(l *faultproxy.Proxy) error { return l.Cut(false) }), end: around((*faultproxy.Proxy).Heal)},
	"loses its folder": {folder: true, begin: func(r *Rig, f Fault) error {
		return errors.Join(r.who(f).Kill(), r.who(f).Wipe())
	}, end: start},
	"gets back an old folder": {folder: true, begin: func(r *Rig, f Fault) error { return r.who(f).Copy(aside(r, f)) }, end: func(r *Rig, f Fault) error {
		return errors.Join(r.who(f).Kill(), r.who(f).Put(aside(r, f)), start(r, f))
	}},
	"gets the folder of": {two: true, folder: true, begin: func(r *Rig, f Fault) error {
		p, other := r.who(f), r.Processes[f.Whom]
		taken := filepath.Join(p.Home, "taken")
		return errors.Join(p.Kill(), os.RemoveAll(aside(r, f)), os.Rename(p.Folder, aside(r, f)), other.Copy(taken), p.Put(taken), p.Start(), p.mayEnd())
	}, end: func(r *Rig, f Fault) error {
		return errors.Join(r.who(f).Kill(), r.who(f).Put(aside(r, f)), start(r, f))
	}},
	"is cut from":     link(func(l *faultproxy.Proxy, _ Fault, _ faultproxy.Direction) error { return l.Cut(false) }),
	"is refused by":   link(func(l *faultproxy.Proxy, _ Fault, _ faultproxy.Direction) error { return l.Cut(true) }),
	"is not heard by": link(func(l *faultproxy.Proxy, _ Fault, w faultproxy.Direction) error { l.DropOneWay(w); return nil }),
	"is late at": link(func(l *faultproxy.Proxy, f Fault, _ faultproxy.Direction) error {
		l.Delay(f.For/8, f.For/8)
		return nil
	}),
	"is slow at":             link(func(l *faultproxy.Proxy, f Fault, _ faultproxy.Direction) error { l.LimitRate(f.Rate); return nil }),
	"has its calls reset by": link(func(l *faultproxy.Proxy, _ Fault, _ faultproxy.Direction) error { l.Reset(); return nil }),
	"has its calls twice at": link(func(l *faultproxy.Proxy, _ Fault, _ faultproxy.Direction) error { l.Replay(); return nil }),
}

// Kinds are the names of all kinds of faults.
func Kinds() (names []string) {
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (r *Rig) who(f Fault) *Process { return r.Processes[f.Who] }

func start(r *Rig, f Fault) error { return r.who(f).Start() }

// aside is where a process's folder is kept while another is in its place.
func aside(r *Rig, f Fault) string { return filepath.Join(r.who(f).Home, "aside") }

func around(do func(*faultproxy.Proxy) error) func(*Rig, Fault) error {
	return func(r *Rig, f Fault) (err error) {
		for _, l := range r.Around(f.Who) {
			err = errors.Join(err, do(l))
		}
		return err
	}
}

// link is a fault of the links between two processes, whoever dials: what Who
// says to Whom goes forth on its own, and back on the other's.
func link(do func(*faultproxy.Proxy, Fault, faultproxy.Direction) error) kind {
	each := func(r *Rig, f Fault, do func(*faultproxy.Proxy, Fault, faultproxy.Direction) error) (err error) {
		for _, l := range r.Links(f.Who, f.Whom) {
			err = errors.Join(err, do(l, f, faultproxy.Forward))
		}
		for _, l := range r.Links(f.Whom, f.Who) {
			err = errors.Join(err, do(l, f, faultproxy.Backward))
		}
		return err
	}
	return kind{two: true, begin: func(r *Rig, f Fault) error { return each(r, f, do) }, end: func(r *Rig, f Fault) error {
		return each(r, f, func(l *faultproxy.Proxy, _ Fault, _ faultproxy.Direction) error { return l.Heal() })
	}}
}

const (
	calm    = 3 * time.Second // after a fault of a folder, in which none that takes out a process begins
	longest = 4 * time.Second // of a fault
)

// Plan draws so many faults for so many processes, of the named kinds, or of all
// if none is named. The same arguments give the same plan. No process has two
// faults at a time, and a majority is always left: fewer than half are out at a
// time, and while one loses a folder, and for a while before and after, no other
// is. There must be two processes at least, and of two one may be out.
func Plan(seed uint64, processes, steps int, of ...string) (all Faults) {
	if len(of) == 0 {
		of = Kinds()
	}
	random := rand.New(rand.NewPCG(seed, 37))
	busy := make([]time.Duration, processes) // until when
	out := make([]time.Duration, processes)
	calmUntil := time.Duration(0)
	for at := time.Duration(0); len(all) < steps; {
		at += 100*time.Millisecond + time.Duration(random.Int64N(int64(500*time.Millisecond)))
		f := Fault{
			At: at, For: 200*time.Millisecond + time.Duration(random.ExpFloat64()*float64(time.Second)), Kind: of[random.IntN(len(of))],
			Who: random.IntN(processes), Whom: random.IntN(processes), Rate: 50 << random.IntN(8),
		}
		f.For = min(f.For, longest)
		k, down := kinds[f.Kind], 0
		for _, until := range out {
			if until > at || k.folder && until > 0 && until+calm > at {
				down++
			}
		}
		takesOut := !k.two || k.folder
		switch {
		case busy[f.Who] > at, k.two && (f.Whom == f.Who || busy[f.Whom] > at):
			continue
		case takesOut && (down >= max(1, (processes-1)/2) || calmUntil > at || k.folder && down > 0):
			continue
		}
		end := at + f.For
		if busy[f.Who] = end; k.two {
			busy[f.Whom] = end
		}
		if takesOut {
			out[f.Who] = end
		}
		if k.folder {
			calmUntil = end + calm
		}
		all = append(all, f)
	}
	return all
}

// Play plays a plan at its times, each fault's end included, and tells what it
// could not do. Ended early, it ends the faults that are there.
func (r *Rig) Play(ctx context.Context, plan Faults) (err error) {
	type event struct {
		at  time.Duration
		f   Fault
		end bool
	}
	var events []event
	for _, f := range plan {
		if kinds[f.Kind].begin == nil {
			return fmt.Errorf("%v: no such fault", f)
		}
		events = append(events, event{f.At, f, false}, event{f.At + f.For, f, true})
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	back := make(map[Fault]func()) // of those that have begun
	began := time.Now()
	for _, e := range events {
		t := time.NewTimer(time.Until(began.Add(e.at)))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
		k, isBack := kinds[e.f.Kind], back[e.f]
		do := k.end
		switch {
		case !e.end && ctx.Err() == nil:
			if do, back[e.f] = k.begin, func() {}; !k.two || k.folder {
				back[e.f] = r.goesOut(r.who(e.f))
			}
			isBack = func() {}
		case isBack == nil:
			continue
		}
		if failed := do(r, e.f); failed != nil {
			err = errors.Join(err, fmt.Errorf("%v: %w", e.f, failed))
		}
		isBack()
	}
	return err
}
