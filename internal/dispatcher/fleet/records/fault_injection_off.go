//go:build !faults

package records

// faultResurrectPruned makes a State store records that were pruned; only builds with
// the tag faults can set it.
const faultResurrectPruned = false
