package budget

// Claim is what one holder asks for.
type Claim struct {
	Demand float64
	Weight float64 // above 0
}

// A DivisionPolicy divides a total among claims: shares has as many entries as claims, all
// of which are written, and their sum is at most total. It must be a pure function, and
// round products before it adds them (no fused operations), so that each replica computes
// the same shares.
type DivisionPolicy func(total float64, asks []Claim, out []float64)

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
	all := 0.0
	for _, a := range claims {
		all += float64(a.Demand * a.Weight)
	}
	if all == 0 {
		Equal(total, claims, shares)
		return
	}
	for i, a := range claims {
		shares[i] = total * a.Demand * a.Weight / all
	}
}

// MaxMin is weighted max-min fair: each claim gets the lesser of its demand and a level,
// the same for all by weight, that uses up the total. What nobody asks for is spread, half
// by weight, so that a new demand finds something, and half by demand, for demand that
// varies.
func MaxMin(total float64, claims []Claim, shares []float64) {
	all, weights := 0.0, 0.0
	for _, a := range claims {
		all += a.Demand
		weights += a.Weight
	}
	if spare := total - all; spare >= 0 {
		byWeight, byDemand := spare/weights, 0.0
		if all > 0 {
			byWeight /= 2
			byDemand = spare / 2 / all
		}
		for i, a := range claims {
			shares[i] = a.Demand + float64(byWeight*a.Weight) + float64(byDemand*a.Demand)
		}
		return
	}
	waterFill(total, claims, shares)
}

// waterFill searches the level of MaxMin where the demand exceeds the total: claims below
// the level get their demand and leave the rest to the others, until there is no new one.
// The level only rises, so that each claim is settled once.
func waterFill(total float64, claims []Claim, shares []float64) {
	for i := range shares {
		shares[i] = -1 // not settled
	}
	left := max(total, 0)
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
		level, settled, given := left/weights, false, 0.0
		for i, a := range claims {
			if shares[i] < 0 && a.Demand <= level*a.Weight {
				shares[i], settled = a.Demand, true
				given += a.Demand
			}
		}
		left = max(left-given, 0)
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

// Loan gives each claim a share by its weight and lets those that need less lend half of
// what they don't use; what is lent is divided by MaxMin.
func Loan(total float64, claims []Claim, shares []float64) {
	Equal(total, claims, shares)
	lent := 0.0
	needs, got := make([]Claim, len(claims)), make([]float64, len(claims))
	for i, a := range claims {
		needs[i].Weight = a.Weight
		if idle := shares[i] - a.Demand; idle > 0 {
			lent += idle / 2
			shares[i] -= idle / 2
		} else {
			needs[i].Demand = -idle
		}
	}
	MaxMin(lent, needs, got)
	for i := range shares {
		shares[i] += got[i]
	}
}
