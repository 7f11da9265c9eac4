//go:build !faults

package records

// faultResurrectPruned makes a state take in records that were cut; it does so only
// in builds with the tag faults.
const faultResurrectPruned = false
