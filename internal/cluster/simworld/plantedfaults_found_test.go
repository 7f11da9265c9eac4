package simworld_test

import (
	"testing"

	"basaltloft/internal/shared/failuretest"
)

// plantedFaults names each planted fault, and says within how many seeds a check finds it.
var plantedFaults = map[plantedFault]struct {
	name  string
	seeds uint64
}{
	leaseKept:           {"a lease is gone by after its end", 20},
	sentBeforeLease:     {"a message gives a lease away that is still gone by", 100},
	numberOnly:          {"a change is told by its number alone", 20},
	digestsLost:         {"a snapshot forgets which changes were taken", 100},
	diskForgets:         {"a machine without its disk goes on under its old ID", 150},
	olderState:          {"an older state at a snapshot's newer index", 150},
	acknowledgeUnsynced: {"an acknowledgement without a sync", 20},
	refusedAfterUnknown: {"a refusal after a try without an answer is passed on", 400},
	cancelLeavesNothing: {"the cancelling of a job that is not there leaves nothing behind", 100},
	unsealed:            {"an earlier shard does not close itself to an ID that it lacks", 100},
	heldTooLong:         {"a view is confirmed for longer than its owner held the question", 200},
}

// TestPlantedMistakesAreFound plants one fault at a time and requires a check to find it within
// its number of seeds.
func TestPlantedMistakesAreFound(t *testing.T) {
	for planted := noFault + 1; planted < plantedFaultCount; planted++ {
		wanted := plantedFaults[planted]
		t.Run(wanted.name, func(t *testing.T) {
			t.Parallel()
			for seed := range wanted.seeds {
				found := failuretest.CatchFatal(t, func(t testing.TB) { play(t, 1_000_000+seed, planted, false) })
				if found != "" {
					t.Logf("after %d seeds: %.300s", seed+1, found)
					return
				}
			}
			t.Fatalf("no check found it in %d seeds", wanted.seeds)
		})
	}
}
