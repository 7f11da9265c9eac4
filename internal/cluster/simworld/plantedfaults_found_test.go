package simworld_test

import (
	"testing"

	"basaltloft/internal/shared/failuretest"
)

// plantedFaults names each planted fault, and says within how many seeds a check finds it, and by
// which play.
var plantedFaults = map[plantedFault]struct {
	name  string
	seeds uint64
	play  func(t testing.TB, seed uint64, planted plantedFault, tracing bool)
}{
	leaseKept:           {"a lease is gone by after its end", 20, play},
	sentBeforeLease:     {"a message gives a lease away that is still gone by", 100, play},
	numberOnly:          {"a change is told by its number alone", 20, play},
	digestsLost:         {"a snapshot forgets which changes were taken", 100, play},
	diskForgets:         {"a machine without its disk goes on under its old ID", 150, play},
	olderState:          {"an older state at a snapshot's newer index", 150, play},
	acknowledgeUnsynced: {"an acknowledgement without a sync", 20, play},
	refusedAfterUnknown: {"a refusal after a try without an answer is passed on", 400, play},
	cancelLeavesNothing: {"the cancelling of a job that is not there leaves nothing behind", 100, play},
	unsealed:            {"an earlier shard does not close itself to an ID that it lacks", 100, play},
	heldTooLong:         {"a view is confirmed for longer than its owner held the question", 200, play},
	foundsAlone:         {"empty machines that find no others found all groups anew", 60, playTwoDisksLost},
}

// TestPlantedMistakesAreFound plants one fault at a time and requires a check to find it within
// its number of seeds.
func TestPlantedMistakesAreFound(t *testing.T) {
	for planted := noFault + 1; planted < plantedFaultCount; planted++ {
		wanted := plantedFaults[planted]
		t.Run(wanted.name, func(t *testing.T) {
			t.Parallel()
			for seed := range wanted.seeds {
				found := failuretest.CatchFatal(t, func(t testing.TB) { wanted.play(t, 1_000_000+seed, planted, false) })
				if found != "" {
					t.Logf("after %d seeds: %.300s", seed+1, found)
					return
				}
			}
			t.Fatalf("no check found it in %d seeds", wanted.seeds)
		})
	}
}
