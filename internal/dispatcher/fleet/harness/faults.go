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
	"basaltloft/internal/shared/saturating"
)

// Fault is a fault that lasts for a time.
type Fault struct {
	Start, Duration time.Duration // Start is counted from the start of Inject
	Kind            string
	Process, Peer   int // indexes of processes; Peer is used by faults between two
	Rate            int // of a rate limit, in bytes a second
}

// FaultPlan is a list of faults, in the order of their starts.
type FaultPlan []Fault

func (f Fault) String() string {
	text := fmt.Sprintf("%8.3fs for %5.3fs n%d %s", f.Start.Seconds(), f.Duration.Seconds(), f.Process+1, f.Kind)
	if faultKinds[f.Kind].pairwise {
		text += fmt.Sprintf(" n%d", f.Peer+1)
	}
	return text
}

func (f FaultPlan) String() string {
	var lines []string
	for _, one := range f {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

// faultKind is how a kind of fault begins and ends.
type faultKind struct {
	pairwise      bool // it is between two processes; else it takes one out of service
	affectsFolder bool // a process loses its directory: no other may be out of service, now or recently
	begin, end    func(*Cluster, Fault) error
}

var faultKinds = map[string]faultKind{
	"is killed": {begin: func(r *Cluster, f Fault) error { return r.target(f).Kill() }, end: restart},
	"is frozen": {begin: func(r *Cluster, f Fault) error { return r.target(f).Freeze() }, end: func(r *Cluster, f Fault) error { return r.target(f).Thaw() }},
	"is asked to end": {begin: func(r *Cluster, f Fault) error { return r.target(f).Terminate() }, end: func(r *Cluster, f Fault) error {
		var exit *exec.ExitError
		err := r.target(f).Wait(time.Now().Add(transitionTimeout))
		if errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGTERM {
			err = nil // it had just started, and did not handle the signal yet
		}
		return errors.Join(err, restart(r, f))
	}},
	"is cut off": {begin: onLinksOf(func(l *faultproxy.Proxy) error { return l.Cut(false) }), end: onLinksOf((*faultproxy.Proxy).Heal)},
	"loses its folder": {affectsFolder: true, begin: func(r *Cluster, f Fault) error {
		return errors.Join(r.target(f).Kill(), r.target(f).WipeFolder())
	}, end: restart},
	"gets back an old folder": {affectsFolder: true, begin: func(r *Cluster, f Fault) error { return r.target(f).CopyFolder(savedFolder(r, f)) }, end: func(r *Cluster, f Fault) error {
		return errors.Join(r.target(f).Kill(), r.target(f).ReplaceFolder(savedFolder(r, f)), restart(r, f))
	}},
	"gets the folder of": {pairwise: true, affectsFolder: true, begin: func(r *Cluster, f Fault) error {
		p, other := r.target(f), r.Processes[f.Peer]
		taken := filepath.Join(p.Home, "taken")
		return errors.Join(p.Kill(), os.RemoveAll(savedFolder(r, f)), os.Rename(p.Folder, savedFolder(r, f)), other.CopyFolder(taken), p.ReplaceFolder(taken), p.Start(), p.expectExit())
	}, end: func(r *Cluster, f Fault) error {
		return errors.Join(r.target(f).Kill(), r.target(f).ReplaceFolder(savedFolder(r, f)), restart(r, f))
	}},
	"is cut from":     linkFault(func(l *faultproxy.Proxy, _ Fault, _ faultproxy.Direction) error { return l.Cut(false) }),
	"is refused by":   linkFault(func(l *faultproxy.Proxy, _ Fault, _ faultproxy.Direction) error { return l.Cut(true) }),
	"is not heard by": linkFault(func(l *faultproxy.Proxy, _ Fault, w faultproxy.Direction) error { l.DropOneWay(w); return nil }),
	"is late at": linkFault(func(l *faultproxy.Proxy, f Fault, _ faultproxy.Direction) error {
		l.Delay(f.Duration/8, f.Duration/8)
		return nil
	}),
	"is slow at":             linkFault(func(l *faultproxy.Proxy, f Fault, _ faultproxy.Direction) error { l.LimitRate(f.Rate); return nil }),
	"has its calls reset by": linkFault(func(l *faultproxy.Proxy, _ Fault, _ faultproxy.Direction) error { l.Reset(); return nil }),
	"has its calls twice at": linkFault(func(l *faultproxy.Proxy, _ Fault, _ faultproxy.Direction) error {
		_, _ = l.Replay() // the target may be down
		return nil
	}),
}

// FaultKinds returns the names of all kinds of faults, sorted.
func FaultKinds() (names []string) {
	for name := range faultKinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (c *Cluster) target(f Fault) *Process { return c.Processes[f.Process] }

func restart(r *Cluster, f Fault) error { return r.target(f).Start() }

// savedFolder returns the path at which a process's directory is saved while another replaces it.
func savedFolder(r *Cluster, f Fault) string { return filepath.Join(r.target(f).Home, "aside") }

// onLinksOf returns a function that applies do to all links from and to a fault's process.
func onLinksOf(do func(*faultproxy.Proxy) error) func(*Cluster, Fault) error {
	return func(r *Cluster, f Fault) (err error) {
		for _, l := range r.LinksOf(f.Process) {
			err = errors.Join(err, do(l))
		}
		return err
	}
}

// linkFault returns a kind of fault of the links between two processes, in both dialing
// directions: data from Process to Peer flows forward on the links that Process dials, and
// backward on those that Peer dials.
func linkFault(do func(*faultproxy.Proxy, Fault, faultproxy.Direction) error) faultKind {
	each := func(r *Cluster, f Fault, do func(*faultproxy.Proxy, Fault, faultproxy.Direction) error) (err error) {
		for _, l := range r.Links(f.Process, f.Peer) {
			err = errors.Join(err, do(l, f, faultproxy.Forward))
		}
		for _, l := range r.Links(f.Peer, f.Process) {
			err = errors.Join(err, do(l, f, faultproxy.Backward))
		}
		return err
	}
	return faultKind{pairwise: true, begin: func(r *Cluster, f Fault) error { return each(r, f, do) }, end: func(r *Cluster, f Fault) error {
		return each(r, f, func(l *faultproxy.Proxy, _ Fault, _ faultproxy.Direction) error { return l.Heal() })
	}}
}

// Durations of faults.
const (
	quietPeriod = 3 * time.Second // before and after a fault of a directory: no process is taken out of service
	maxFault    = 4 * time.Second // of a fault
)

// RandomFaults returns random faults of the named kinds, or of all kinds if none is named. The same
// arguments give the same plan. No process has two faults at a time, and a majority is
// always left: fewer than half are out of service at a time, and none while another loses
// its directory, and for quietPeriod before and after. There must be at least two processes; of
// two, one may be out of service.
func RandomFaults(seed uint64, processes, steps int, of ...string) (all FaultPlan) {
	if len(of) == 0 {
		of = FaultKinds()
	}
	random := rand.New(rand.NewPCG(seed, 37))
	busy := make([]time.Duration, processes) // by process, the end of its last fault
	out := make([]time.Duration, processes)  // by process, the end of its last time out of service
	calmUntil := time.Duration(0)
	for at := time.Duration(0); len(all) < steps; {
		at += 100*time.Millisecond + time.Duration(random.Int64N(int64(500*time.Millisecond)))
		f := Fault{
			Start: at, Duration: 200*time.Millisecond + saturating.Duration(random.ExpFloat64()*float64(time.Second)), Kind: of[random.IntN(len(of))],
			Process: random.IntN(processes), Peer: random.IntN(processes), Rate: 50 << random.IntN(8),
		}
		f.Duration = min(f.Duration, maxFault)
		k, down := faultKinds[f.Kind], 0
		for _, until := range out {
			if until > at || k.affectsFolder && until > 0 && until+quietPeriod > at {
				down++
			}
		}
		takesOut := !k.pairwise || k.affectsFolder
		switch {
		case busy[f.Process] > at, k.pairwise && (f.Peer == f.Process || busy[f.Peer] > at):
			continue
		case takesOut && (down >= max(1, (processes-1)/2) || calmUntil > at || k.affectsFolder && down > 0):
			continue
		}
		end := at + f.Duration
		if busy[f.Process] = end; k.pairwise {
			busy[f.Peer] = end
		}
		if takesOut {
			out[f.Process] = end
		}
		if k.affectsFolder {
			calmUntil = end + quietPeriod
		}
		all = append(all, f)
	}
	return all
}

// Inject injects faults at their times, and ends each. It returns the errors of faults that
// could not be injected or ended. If the context ends early, it ends the faults that have begun.
func (c *Cluster) Inject(ctx context.Context, plan FaultPlan) (err error) {
	type event struct {
		at  time.Duration
		f   Fault
		end bool
	}
	var events []event
	for _, f := range plan {
		if faultKinds[f.Kind].begin == nil {
			return fmt.Errorf("%v: no such fault", f)
		}
		events = append(events, event{f.Start, f, false}, event{f.Start + f.Duration, f, true})
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	endOutages := make(map[Fault]func()) // of the faults that have begun
	began := time.Now()
	for _, e := range events {
		t := time.NewTimer(time.Until(began.Add(e.at)))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
		k, endOutage := faultKinds[e.f.Kind], endOutages[e.f]
		do := k.end
		switch {
		case !e.end && ctx.Err() == nil:
			if do, endOutages[e.f] = k.begin, func() {}; !k.pairwise || k.affectsFolder {
				endOutages[e.f] = c.beginOutage(c.target(e.f))
			}
			endOutage = func() {}
		case endOutage == nil:
			continue
		}
		if failed := do(c, e.f); failed != nil {
			err = errors.Join(err, fmt.Errorf("%v: %w", e.f, failed))
		}
		endOutage()
	}
	return err
}
