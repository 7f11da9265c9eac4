//go:build !faults

package planrun

// faultTwice plants a second run of never-twice jobs; see hooks_faults.go.
const faultTwice = false
