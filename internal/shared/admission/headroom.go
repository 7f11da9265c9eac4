package admission

import "basaltloft/internal/shared/saturating"

// Headroom is the part of a runner's budget that the cost in flight leaves unused. The zero value is that
// of a budget that is used up.
type Headroom struct {
	// Amount is negative if the budget is exceeded, and 0 while the budget is not set.
	Amount float64
	// BudgetNotSet reports that no cost is known yet, so that the budget keeps no task from starting.
	BudgetNotSet bool
}

// Covers reports whether a task of that cost may start.
func (h Headroom) Covers(cost float64) bool {
	return h.BudgetNotSet || h.Amount >= cost
}

// Exceeds reports whether h is larger than other. That of a budget that is not set is the largest.
func (h Headroom) Exceeds(other Headroom) bool {
	if h.BudgetNotSet || other.BudgetNotSet {
		return !other.BudgetNotSet
	}
	return h.Amount > other.Amount
}

// Plus returns the headroom with an amount added, which may be negative. A budget that is not set stays so.
func (h Headroom) Plus(amount float64) Headroom {
	if h.BudgetNotSet {
		return h
	}
	return Headroom{Amount: h.Amount + amount}
}

// AtLeast returns the larger one of h and an amount.
func (h Headroom) AtLeast(amount float64) Headroom {
	if h.BudgetNotSet {
		return h
	}
	return Headroom{Amount: max(h.Amount, amount)}
}

// Count returns how many tasks of a positive cost a set budget has room for, up to limit.
func (h Headroom) Count(cost float64, limit int) int {
	return saturating.Int(min(max(0, h.Amount)/cost, float64(limit)))
}
