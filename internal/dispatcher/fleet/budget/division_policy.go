package budget

// Claim is what one holder claims in a division.
type Claim struct {
	Demand float64
	Weight float64 // above 0
}

// A DivisionPolicy divides a total among claims. It writes all entries of shares, one for
// each claim, and their sum is at most total. It must be a pure function, and round
// products before it adds them (no fused operations), so that each replica computes the
// same shares.
type DivisionPolicy func(total float64, claims []Claim, shares []float64)

// Equal gives each claim a share by its weight, whatever its demand.
func Equal(total float64, claims []Claim, shares []float64) {
	weights := 0.0
	for _, a := range claims {
		weights += a.Weight
	}
	for i, a := range claims {
		shares[i] = total * a.Weight / weights
	}
}

// Proportional gives each claim a share in proportion to its demand, even where that
// starves the others.
func Proportional(total float64, claims []Claim, shares []float64) {
	demand := 0.0
	for _, a := range claims {
		demand += float64(a.Demand * a.Weight)
	}
	if demand == 0 {
		Equal(total, claims, shares)
		return
	}
	for i, a := range claims {
		shares[i] = total * a.Demand * a.Weight / demand
	}
}

// MaxMin is weighted max-min fair: each claim gets the lesser of its demand and its weight
// times a common level, which is chosen to use up the total. What exceeds the demand is
// divided half by weight, so that a holder with new demand already has a share, and half
// by demand, for demand that varies.
func MaxMin(total float64, claims []Claim, shares []float64) {
	demand, weights := 0.0, 0.0
	for _, a := range claims {
		demand += a.Demand
		weights += a.Weight
	}
	if spare := total - demand; spare >= 0 {
		byWeight, byDemand := spare/weights, 0.0
		if demand > 0 {
			byWeight /= 2
			byDemand = spare / 2 / demand
		}
		for i, a := range claims {
			shares[i] = a.Demand + float64(byWeight*a.Weight) + float64(byDemand*a.Demand)
		}
		return
	}
	waterFill(total, claims, shares)
}

// waterFill finds the level of MaxMin if the demand exceeds the total. In each round the
// claims below the level get their demand, and the level of the others rises; it ends with
// the first round that settles no claim. The level never falls, so that each claim is
// settled once.
func waterFill(total float64, claims []Claim, shares []float64) {
	for i := range shares {
		shares[i] = -1 // not settled
	}
	remaining := max(total, 0)
	for {
		weights := 0.0
		for i, a := range claims {
			if shares[i] < 0 {
				weights += a.Weight
			}
		}
		if weights == 0 {
			return
		}
		level, settled, given := remaining/weights, false, 0.0
		for i, a := range claims {
			if shares[i] < 0 && a.Demand <= level*a.Weight {
				shares[i], settled = a.Demand, true
				given += a.Demand
			}
		}
		remaining = max(remaining-given, 0)
		if !settled {
			for i, a := range claims {
				if shares[i] < 0 {
					shares[i] = level * a.Weight
				}
			}
			return
		}
	}
}

// Loan gives each claim a share by its weight. Claims with less demand than that lend half
// of the difference, which is divided among all by MaxMin.
func Loan(total float64, claims []Claim, shares []float64) {
	Equal(total, claims, shares)
	lent := 0.0
	needs, borrowed := make([]Claim, len(claims)), make([]float64, len(claims))
	for i, a := range claims {
		needs[i].Weight = a.Weight
		if idle := shares[i] - a.Demand; idle > 0 {
			lent += idle / 2
			shares[i] -= idle / 2
		} else {
			needs[i].Demand = -idle
		}
	}
	MaxMin(lent, needs, borrowed)
	for i := range shares {
		shares[i] += borrowed[i]
	}
}
