package placement_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/placement"
	"basaltloft/internal/shared/admission"
)

// TestRoundDecidesAsChoose checks in random rounds, in which runners fill up and are reserved, that
// Round.Choose returns the same as Choose.
func TestRoundDecidesAsChoose(t *testing.T) {
	const (
		rounds  = 300
		choices = 60
	)
	byResult, rejected := map[placement.Result]int{}, 0
	for seed := range uint64(rounds) {
		random := rand.New(rand.NewPCG(seed, 23))
		candidates := make([]placement.Candidate, random.IntN(16))
		for key := range candidates {
			candidates[key] = randomCandidate(random, key)
		}
		round := placement.NewRound(candidates)
		for range choices {
			request := randomRequest(random)
			wanted, wantedResult := placement.Choose(request, candidates)
			if early, known := round.Rejects(request); known {
				require.Equal(t, wantedResult, early, "seed %d", seed)
				rejected++
			}
			got, result := round.Choose(request)
			require.Equal(t, wanted, got, "seed %d", seed)
			require.Equal(t, wantedResult, result, "seed %d", seed)
			byResult[result]++
			if result == placement.Found {
				candidates[got.Candidate].Assign(request)
			}
			if len(candidates) > 0 && random.IntN(8) == 0 {
				candidates[random.IntN(len(candidates))].Reserved = true
			}
		}
	}
	for _, result := range []placement.Result{placement.Found, placement.NoBudget, placement.NoCapacity, placement.Unsuitable} {
		require.Positive(t, byResult[result], "every result occurs")
	}
	require.Positive(t, rejected, "some requests are rejected without examining candidates")
}

// TestRoundRemembersRejections checks that a request that needs at least as much as a rejected one is
// rejected without examining candidates, and that one that needs less is not.
func TestRoundRemembersRejections(t *testing.T) {
	candidates := []placement.Candidate{{Service: "s", Capacity: job.Resources{CPU: 8000}, Free: job.Resources{CPU: 3000}, Headroom: admission.Headroom{Amount: 100}}}
	round := placement.NewRound(candidates)
	ask := func(cpu int64) placement.Result {
		_, result := round.Choose(&placement.Request{Service: "s", Resources: job.Resources{CPU: cpu}})
		return result
	}
	require.Equal(t, placement.NoCapacity, ask(4000))
	candidates[0].Free = job.Resources{CPU: 8000} // not allowed in a round; shows whether the candidates are examined
	require.Equal(t, placement.NoCapacity, ask(5000))
	require.Equal(t, placement.Unsuitable, ask(9000))
	require.Equal(t, placement.Found, ask(3999))
}
