package replica_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// TestManySeeds runs more seeds, in parallel. BASALTLOFT_SEEDS sets their number, which is 160 by default.
func TestManySeeds(t *testing.T) {
	seeds, err := strconv.Atoi(os.Getenv("BASALTLOFT_SEEDS"))
	if err != nil {
		seeds = 160
	}
	for part := range 8 {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < seeds; seed += 8 {
				runFaults(newSimulation(t, 100_000+uint64(seed), 3+2*(seed%2)), 60, seed%3 == 0)
			}
		})
	}
}
