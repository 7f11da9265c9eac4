package budget

// Claim is what one holder wants of a total.
type Claim struct {
	Demand float64
	Weight float64 // above 0
}

// A Way divides a total among asks: out has as many entries as asks and is
// written whole; its sum is at most total. It is a pure function, and products are
// rounded before they are added (no fused operations), so that each replica
// divides alike.
type DivisionPolicy func(total float64, asks []Claim, out []float64)

// Equal gives each its weight's part, whatever it asks for.
func Equal(total float64, asks []Claim, out []float64) {
	weights := 0.0
	for _, a := range asks {
		weights += a.Weight
	}
	for i, a := range asks {
		out[i] = total * a.Weight / weights
	}
}

// Proportional gives each its part of all demand. A holder that asks for ten
// times as much gets ten times as much, also where that starves the others.
func Proportional(total float64, asks []Claim, out []float64) {
	all := 0.0
	for _, a := range asks {
		all += float64(a.Demand * a.Weight)
	}
	if all == 0 {
		Equal(total, asks, out)
		return
	}
	for i, a := range asks {
		out[i] = total * a.Demand * a.Weight / all
	}
}

// MaxMin gives each the least of its demand and a level, the same for all by
// weight, that uses the total up: no holder can get more but by taking from one
// that has less. What nobody asks for is spread, half by weight, so that a new
// demand finds something, and half by demand, for demand that wavers.
func MaxMin(total float64, asks []Claim, out []float64) {
	all, weights := 0.0, 0.0
	for _, a := range asks {
		all += a.Demand
		weights += a.Weight
	}
	if spare := total - all; spare >= 0 {
		byWeight, byDemand := spare/weights, 0.0
		if all > 0 {
			byWeight /= 2
			byDemand = spare / 2 / all
		}
		for i, a := range asks {
			out[i] = a.Demand + float64(byWeight*a.Weight) + float64(byDemand*a.Demand)
		}
		return
	}
	waterFill(total, asks, out)
}

// waterFill is the level's search where there is less than is asked for: who asks for
// less than the level gets that and leaves the rest to the others, until nobody
// new does. The level only rises, so each is settled once; a few rounds do.
func waterFill(total float64, asks []Claim, out []float64) {
	for i := range out {
		out[i] = -1 // not settled
	}
	left := max(total, 0)
	for {
		weights := 0.0
		for i, a := range asks {
			if out[i] < 0 {
				weights += a.Weight
			}
		}
		if weights == 0 {
			return
		}
		level, settled, given := left/weights, false, 0.0
		for i, a := range asks {
			if out[i] < 0 && a.Demand <= level*a.Weight {
				out[i], settled = a.Demand, true
				given += a.Demand
			}
		}
		left = max(left-given, 0)
		if !settled {
			for i, a := range asks {
				if out[i] < 0 {
					out[i] = level * a.Weight
				}
			}
			return
		}
	}
}

// Loan gives each its weight's part and lets those that need less lend half of
// what they do not use; what is lent goes to the others, max-min.
func Loan(total float64, asks []Claim, out []float64) {
	Equal(total, asks, out)
	lent := 0.0
	needs, got := make([]Claim, len(asks)), make([]float64, len(asks))
	for i, a := range asks {
		needs[i].Weight = a.Weight
		if idle := out[i] - a.Demand; idle > 0 {
			lent += idle / 2
			out[i] -= idle / 2
		} else {
			needs[i].Demand = -idle
		}
	}
	MaxMin(lent, needs, got)
	for i := range out {
		out[i] += got[i]
	}
}
