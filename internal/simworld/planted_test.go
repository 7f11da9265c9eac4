package simworld_test

import (
	"fmt"
	"testing"
)

// caughtWithin is, for each planted mistake, within how many seeds a check finds it.
var caughtWithin = map[mistake]struct {
	name  string
	seeds uint64
}{
	leaseKept:           {"a lease is gone by after its end", 40},
	sentBeforeLease:     {"a message gives a lease away that is still gone by", 400},
	numberOnly:          {"a change is told by its number alone", 40},
	digestsLost:         {"a snapshot forgets which changes were taken", 100},
	diskForgets:         {"a machine without its disk goes on under its old ID", 400},
	olderState:          {"an older state at a snapshot's newer index", 200},
	acknowledgeUnsynced: {"an acknowledgement without a sync", 100},
	refusedAfterUnknown: {"a refusal after a try without an answer is passed on", 400},
	cancelLeavesNothing: {"the cancelling of a job that is not there leaves nothing behind", 400},
	unsealed:            {"an earlier shard does not close itself to an ID that it lacks", 400},
}

// witness is a testing.TB that notes a failure.
type witness struct {
	testing.TB
	failed string
}

type stopped struct{}

func (w *witness) Helper() {}

func (w *witness) Fatalf(format string, args ...any) {
	w.failed = fmt.Sprintf(format, args...)
	panic(stopped{})
}

// caught plays a seed with a planted mistake and returns what a check found.
func caught(t *testing.T, seed uint64, planted mistake) (found string) {
	seen := &witness{TB: t}
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(stopped); !ok {
				panic(r)
			}
			found = seen.failed
		}
	}()
	play(seen, seed, planted, false)
	return seen.failed
}

// TestPlantedMistakesAreFound plants one mistake at a time and expects a check to find it
// within its number of seeds.
func TestPlantedMistakesAreFound(t *testing.T) {
	for planted := none + 1; planted < mistakes; planted++ {
		wanted := caughtWithin[planted]
		t.Run(wanted.name, func(t *testing.T) {
			t.Parallel()
			for seed := range wanted.seeds {
				if found := caught(t, 1_000_000+seed, planted); found != "" {
					t.Logf("after %d seeds: %.300s", seed+1, found)
					return
				}
			}
			t.Fatalf("no check found it in %d seeds", wanted.seeds)
		})
	}
}
