//go:build !faults

package planrun

// faultRunTwice injects a second run of at-most-once jobs; see fault_injection_on.go.
const faultRunTwice = false
