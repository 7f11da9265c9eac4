//go:build !faults

package records

// plantResurrected makes a state take in records that were cut; it does so only
// in builds with the tag faults.
const plantResurrected = false
