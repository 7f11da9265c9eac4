//go:build !race

package scenario

// buildFlags is empty: the program is built without the race detector, as the tests are.
var buildFlags []string

// RaceEnabled reports whether the program is built under the race detector.
const RaceEnabled = false
