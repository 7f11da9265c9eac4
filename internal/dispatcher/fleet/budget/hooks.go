//go:build !faults

package budget

// The planted bugs; a production build has none.
const (
	plantFull  = false
	plantTwice = false
)
