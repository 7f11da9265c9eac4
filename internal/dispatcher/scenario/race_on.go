//go:build race

package scenario

// buildFlags builds the program under the race detector where the tests are.
var buildFlags = []string{"-race"}

// RaceEnabled reports whether the program is built under the race detector.
const RaceEnabled = true
