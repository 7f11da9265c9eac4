package policy_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/shared/digesttest"
)

// digestFile has a line for each run: its number, the number of its actions, and their digest.
const digestFile = "testdata/digests.txt"

// digestSeeds is the number of seeds of each random world that have a digest.
const digestSeeds = 15

// actions records what a dispatcher does; the zero value records nothing.
type actions struct{ trace *digesttest.Trace }

func (a actions) send(now time.Duration, id string, worker uint32, timeout time.Duration) {
	if a.trace != nil {
		a.trace.Begin(now, "send").String(id).Uint(uint64(worker)).Int(int64(timeout)).End()
	}
}

func (a actions) refuse(now time.Duration, id string, retryAfter time.Duration) {
	if a.trace != nil {
		a.trace.Begin(now, "refuse").String(id).Int(int64(retryAfter)).End()
	}
}

func (a actions) fail(now time.Duration, id string) {
	if a.trace != nil {
		a.trace.Begin(now, "fail").String(id).End()
	}
}

func (a actions) cancel(now time.Duration, id string, attempt int) {
	if a.trace != nil {
		a.trace.Begin(now, "cancel").String(id).Int(int64(attempt)).End()
	}
}

func (a actions) probe(now time.Duration, worker uint32) {
	if a.trace != nil {
		a.trace.Begin(now, "probe").Uint(uint64(worker)).End()
	}
}

// timer leaves out the token, which has a meaning only for the dispatcher.
func (a actions) timer(now, in time.Duration) {
	if a.trace != nil {
		a.trace.Begin(now, "timer").Int(int64(in)).End()
	}
}

func (a actions) watch(now time.Duration, on bool) {
	if a.trace != nil {
		a.trace.Begin(now, "watch").Bool(on).End()
	}
}

func (a actions) fetch(now time.Duration) {
	if a.trace != nil {
		a.trace.Begin(now, "fetch").End()
	}
}

// runNumbered runs the world and seed with the given number: the worlds are sorted by name, and each
// has digestSeeds numbers.
func runNumbered(t *testing.T, number int, withText bool) *digesttest.Trace {
	names := slices.Sorted(maps.Keys(randomWorlds))
	name, seed := names[number/digestSeeds], uint64(number%digestSeeds)
	trace := digesttest.New(withText)
	runRecorded(t, seed, strings.HasPrefix(name, "subjects"), randomWorlds[name], actions{trace: trace})
	return trace
}

// TestDecisionDigests compares the actions of a dispatcher under random events with the recorded ones.
func TestDecisionDigests(t *testing.T) {
	if wanted, ok := digesttest.Traced(); ok {
		number, err := strconv.Atoi(wanted)
		require.NoError(t, err)
		fmt.Print(runNumbered(t, number, true).Text())
		return
	}
	all := make([]int, digestSeeds*len(randomWorlds))
	for number := range all {
		all[number] = number
	}
	var lines []string
	for _, number := range digesttest.SampleUnderRace(all) {
		trace := runNumbered(t, number, false)
		lines = append(lines, fmt.Sprintf("%d %d %s", number, trace.Lines(), trace.Sum()))
	}
	digesttest.Compare(t, digestFile, lines)
}
