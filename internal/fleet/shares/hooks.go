//go:build !faults

package shares

// The planted bugs; a production build has none.
const (
	plantFull  = false
	plantTwice = false
)
