//go:build !faults

package budget

// The planted bugs; a production build has none.
const (
	faultFullBucket = false
	faultGrantTwice = false
)
