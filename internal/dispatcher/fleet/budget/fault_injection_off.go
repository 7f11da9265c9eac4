//go:build !faults

package budget

// The injected faults; a production build has none.
const (
	faultFullBucket = false
	faultGrantTwice = false
)
