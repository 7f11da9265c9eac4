//go:build !faults

package records

// faultResurrectPruned is the injected fault that makes a State store records that were
// pruned. Only builds with the tag faults can set it.
const faultResurrectPruned = false
