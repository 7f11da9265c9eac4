//go:build race

package scenario

// buildFlags builds the program under the race detector where the tests are.
var buildFlags = []string{"-race"}

// RaceEnabled tells whether the program is built under the race detector.
const RaceEnabled = true
