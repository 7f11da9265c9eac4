package admission_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/shared/admission"
)

// TestFactorsAreLearnedFromPeers checks that steps of various lengths on runners of three speeds result in
// factors for these speeds, without any estimates.
func TestFactorsAreLearnedFromPeers(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	truth := []float64{0.8, 1, 1.25, 0.8, 1, 1.25}
	factors := make([]admission.RunTimeFactor, len(truth))
	require.Equal(t, 1.0, factors[0].Value(), "no run was learned yet")
	for range 60 {
		work := 0.1 + 20*random.Float64()
		var peers []admission.PeerRun
		for range 6 {
			at := random.IntN(len(truth))
			peers = append(peers, admission.PeerRun{Factor: &factors[at], Took: work * truth[at] * (0.9 + 0.2*random.Float64())})
		}
		admission.LearnRunTimeFactors(peers)
	}
	for at := range truth {
		require.InDelta(t, truth[at]/truth[1], factors[at].Value()/factors[1].Value(), 0.12, "runner %d", at)
	}
}

func TestTooFewPeersAreIgnored(t *testing.T) {
	var one, other admission.RunTimeFactor
	for range 9 {
		admission.LearnRunTimeFactors([]admission.PeerRun{{Factor: &one, Took: 1}, {Factor: &other, Took: 3}})
	}
	require.Equal(t, 1.0, one.Value())
}
