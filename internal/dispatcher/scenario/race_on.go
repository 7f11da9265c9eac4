//go:build race

package scenario

// buildFlags builds the program under the race detector where the tests are.
var buildFlags = []string{"-race"}

// Race tells whether the program is built under the race detector.
const Race = true
