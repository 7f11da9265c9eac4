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

// Events of planned work.
const (
	StopDispatcher   EventKind = "stop dispatcher" // SIGTERM; it is started again after the event's duration
	HangUpDispatcher EventKind = "hang up dispatcher"
	StopNode         EventKind = "stop node"
	HangUpNode       EventKind = "hang up node"
	Configure        EventKind = "configure"
	ConfigureInvalid EventKind = "configure invalid"
	ConfigureRace    EventKind = "configure race" // two on the same base, at once
	DrainRunner      EventKind = "drain runner"   // it comes back under another ID
	Burst            EventKind = "burst"
)

// Events that nobody plans.
const (
	KillDispatcher   EventKind = "kill dispatcher"
	FreezeDispatcher EventKind = "freeze dispatcher"
	KillNode         EventKind = "kill node"
	FreezeNode       EventKind = "freeze node"
	WipeNode         EventKind = "wipe node" // killed, and back on an empty disk
	KillAllNodes     EventKind = "kill all nodes"
	CrashRunner      EventKind = "crash runner" // it comes back under another ID
)

// Event is one thing that happens.
type Event struct {
	At     time.Duration // since the clients began
	Kind   EventKind
	Target int           // number of the process or runner; taken modulo how many there are
	For    time.Duration // until the process is started or thawed
}

func (e Event) String() string {
	return fmt.Sprintf("%.3f %s %d for %v", e.At.Seconds(), e.Kind, e.Target, e.For)
}

// Plan is the events of a run, in the order of their times.
type Plan struct {
	Seed   uint64
	Events []Event
	Length time.Duration // until the clients end
	// Share is the share of a processor's time that each process has; 1: all that it takes.
	Share float64
}

// shares are what plans give the processes, by the seed.
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
	// calmAfterTrouble is kept free of events, so that rules hold again when planned work begins.
	calmAfterTrouble = 4 * time.Second
	seriesSpread     = 800 * time.Millisecond
	longestPause     = 700 * time.Millisecond
	longestFreeze    = 3 * time.Second
)

// Numbers of a plan's series.
const (
	plannedSeries   = 3
	unplannedSeries = 2
	maxSeries       = 5 // events of one
)

// Kinds by how often they are drawn.
var (
	plannedKinds = []EventKind{
		StopDispatcher, StopDispatcher, StopDispatcher, StopDispatcher, StopNode, StopNode, HangUpDispatcher, HangUpDispatcher,
		HangUpNode, Configure, Configure, Configure, ConfigureInvalid, ConfigureRace, ConfigureRace, DrainRunner, Burst,
	}
	unplannedKinds = []EventKind{
		KillDispatcher, KillDispatcher, FreezeDispatcher, FreezeDispatcher, KillNode, FreezeNode, WipeNode, KillAllNodes,
		CrashRunner, StopDispatcher, StopNode, Configure, ConfigureRace, Burst,
	}
)

// NewPlan returns the plan of a seed: windows of planned work, with unplanned trouble between them.
func NewPlan(seed uint64, windows int) Plan {
	plan := Plan{Seed: seed, Share: shares[seed%uint64(len(shares))]}
	random := rand.New(rand.NewPCG(seed, seed))
	for window := range windows {
		if window > 0 {
			plan.addSeries(random, unplannedKinds, unplannedSeries, unplannedWindow)
			plan.Length += unplannedWindow + calmAfterTrouble
		}
		plan.addSeries(random, plannedKinds, plannedSeries, plannedWindow)
		plan.Length += plannedWindow
	}
	slices.SortStableFunc(plan.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// addSeries adds series of events that lie close together, within a window that begins at the plan's end.
func (p *Plan) addSeries(random *rand.Rand, kinds []EventKind, series int, window time.Duration) {
	for number := range series {
		start := p.Length + window*time.Duration(number)/time.Duration(series) + upTo(random, window/time.Duration(2*series))
		for range 2 + random.IntN(maxSeries-1) {
			p.Events = append(p.Events, Event{
				At: start + upTo(random, seriesSpread), Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1 << 10),
				For: durationOf(random),
			})
		}
	}
}

// durationOf returns a pause, or now and then the longer one that a freeze may take.
func durationOf(random *rand.Rand) time.Duration {
	if random.IntN(3) == 0 {
		return upTo(random, longestFreeze)
	}
	return upTo(random, longestPause)
}

func upTo(random *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(most)))
}
