package lab

import (
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Comparison is the difference between the goodput of a policy and that of a base policy.
type Comparison struct {
	Policy, Base string
	Mean         float64 // mean of the differences, paired by seed
	Low, High    float64 // bounds of the mean's 95% confidence interval, by bootstrap
}

// resamples is the number of resamples that the bootstrap draws.
const resamples = 2000

// Compare compares the goodput of each policy with that of a base policy, paired by seed. The
// runs of each policy must have the same seeds in the same order as those of the base.
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

// resampledMeans returns the sorted means of bootstrap resamples of the values. The same
// values always give the same resamples.
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

// policiesOf returns the policies of the runs, in the order of their first occurrence.
func policiesOf(runs []Run) (policies []string) {
	for _, r := range runs {
		if !slices.Contains(policies, r.Policy) {
			policies = append(policies, r.Policy)
		}
	}
	return policies
}
