package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// EventKind is what an event does.
type EventKind string

// Planned operations.
const (
	StopDispatcher   EventKind = "stop dispatcher"    // SIGTERM; it is started again after the event's duration
	HangUpDispatcher EventKind = "hang up dispatcher" // SIGHUP, with new seeds in the settings
	StopNode         EventKind = "stop node"
	HangUpNode       EventKind = "hang up node"
	Configure        EventKind = "configure"
	ConfigureInvalid EventKind = "configure invalid"
	ConfigureRace    EventKind = "configure race" // two changes of the same base at the same time
	DrainRunner      EventKind = "drain runner"   // it is replaced by one with another ID
	Burst            EventKind = "burst"          // many clients submit a job at the same moment
)

// Unplanned faults.
const (
	KillDispatcher   EventKind = "kill dispatcher"
	FreezeDispatcher EventKind = "freeze dispatcher"
	KillNode         EventKind = "kill node"
	FreezeNode       EventKind = "freeze node"
	WipeNode         EventKind = "wipe node" // killed, and restarted with an empty disk
	KillAllNodes     EventKind = "kill all nodes"
	CrashRunner      EventKind = "crash runner" // it is replaced by one with another ID at its address
)

// Event is an operation or a fault at a time.
type Event struct {
	At     time.Duration // since the clients began
	Kind   EventKind
	Target int           // number of the process or runner, modulo how many there are
	For    time.Duration // until the process is restarted or continued
}

func (e Event) String() string {
	return fmt.Sprintf("%.3f %s %d for %v", e.At.Seconds(), e.Kind, e.Target, e.For)
}

// Plan lists the events of a run, in the order of their times.
type Plan struct {
	Seed   uint64
	Events []Event
	Length time.Duration // until the clients end
	// Share is the fraction of the time that each process may run; 1: no limit.
	Share float64
}

// shares are the values of Plan.Share, selected by the seed.
var shares = []float64{1, 0.5, 1, 0.25}

func (p Plan) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d, %v, each process has %v of a processor\n", p.Seed, p.Length, p.Share)
	for _, event := range p.Events {
		fmt.Fprintln(&text, event)
	}
	return text.String()
}

// Times of a plan.
const (
	plannedWindow   = 9 * time.Second
	unplannedWindow = 5 * time.Second
	// calmAfterFaults has no events, so that all rules apply again when the next planned operations begin.
	calmAfterFaults = 4 * time.Second
	seriesSpread    = 800 * time.Millisecond
	longestPause    = 700 * time.Millisecond
	longestFreeze   = 3 * time.Second
)

// Numbers of series in a window, and of events in a series.
const (
	plannedSeries   = 3
	unplannedSeries = 2
	maxSeries       = 5 // events in one series
)

// Kinds of events in the two windows; a kind is drawn as often as it is listed.
var (
	plannedKinds = []EventKind{
		StopDispatcher, StopDispatcher, StopDispatcher, StopDispatcher, StopNode, StopNode, HangUpDispatcher, HangUpDispatcher,
		HangUpNode, Configure, Configure, Configure, ConfigureInvalid, ConfigureRace, ConfigureRace, DrainRunner, Burst,
	}
	unplannedKinds = []EventKind{
		KillDispatcher, KillDispatcher, FreezeDispatcher, FreezeDispatcher, KillNode, FreezeNode, WipeNode, KillAllNodes,
		CrashRunner, CrashRunner, StopDispatcher, StopNode, Configure, ConfigureRace, Burst,
	}
)

// NewPlan returns the plan of a seed: windows of planned operations, with unplanned faults between them.
func NewPlan(seed uint64, windows int) Plan {
	plan := Plan{Seed: seed, Share: shares[seed%uint64(len(shares))]}
	random := rand.New(rand.NewPCG(seed, seed))
	for window := range windows {
		if window > 0 {
			plan.addSeries(random, unplannedKinds, unplannedSeries, unplannedWindow)
			plan.Length += unplannedWindow + calmAfterFaults
		}
		plan.addSeries(random, plannedKinds, plannedSeries, plannedWindow)
		plan.Length += plannedWindow
	}
	slices.SortStableFunc(plan.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// addSeries adds series of events in a window that begins at the plan's end. The events of a series are close
// together.
func (p *Plan) addSeries(random *rand.Rand, kinds []EventKind, series int, window time.Duration) {
	for number := range series {
		start := p.Length + window*time.Duration(number)/time.Duration(series) + randomUpTo(random, window/time.Duration(2*series))
		for range 2 + random.IntN(maxSeries-1) {
			p.Events = append(p.Events, Event{
				At: start + randomUpTo(random, seriesSpread), Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1 << 10),
				For: randomDuration(random),
			})
		}
	}
}

// randomDuration returns a duration of up to longestPause, or in one case of three up to longestFreeze.
func randomDuration(random *rand.Rand) time.Duration {
	if random.IntN(3) == 0 {
		return randomUpTo(random, longestFreeze)
	}
	return randomUpTo(random, longestPause)
}

func randomUpTo(random *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(most)))
}
