package lab

import (
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Comparison is the difference of a policy's goodput from that of a base.
type Comparison struct {
	Policy, Base string
	Mean         float64 // of the differences by seed
	Low, High    float64 // bounds of its 95% confidence interval, by bootstrap
}

// resamples is how many the bootstrap draws.
const resamples = 2000

// Compare compares the goodput of each policy with that of a base, paired by seed.
func Compare(runs []Run, base string) (all []Comparison) {
	baseRuns := RunsOf(runs, base)
	for _, policy := range policiesOf(runs) {
		if policy == base {
			continue
		}
		var differences []float64
		for i, r := range RunsOf(runs, policy) {
			differences = append(differences, r.Goodput-baseRuns[i].Goodput)
		}
		means := resampledMeans(differences)
		all = append(all, Comparison{
			Policy: policy, Base: base, Mean: stat.Mean(differences, nil),
			Low: stat.Quantile(0.025, stat.Empirical, means, nil), High: stat.Quantile(0.975, stat.Empirical, means, nil),
		})
	}
	return all
}

// resampledMeans are the means of resamples of the values, sorted: the bootstrap. The same
// values give the same resamples.
func resampledMeans(values []float64) []float64 {
	random := rand.New(rand.NewPCG(1, 41))
	means := make([]float64, resamples)
	for n := range means {
		sum := 0.0
		for range values {
			sum += values[random.IntN(len(values))]
		}
		means[n] = sum / float64(len(values))
	}
	slices.Sort(means)
	return means
}

// policiesOf are the policies of some runs, in the order in which they occur.
func policiesOf(runs []Run) (policies []string) {
	for _, r := range runs {
		if !slices.Contains(policies, r.Policy) {
			policies = append(policies, r.Policy)
		}
	}
	return policies
}
