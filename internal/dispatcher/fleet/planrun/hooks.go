//go:build !faults

package planrun

// faultRunTwice plants a second run of never-twice jobs; see hooks_faults.go.
const faultRunTwice = false
