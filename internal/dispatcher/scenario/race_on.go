//go:build race

package scenario

// buildFlags makes the program be built with the race detector, as the tests are.
var buildFlags = []string{"-race"}

// RaceEnabled reports whether the program is built under the race detector.
const RaceEnabled = true
