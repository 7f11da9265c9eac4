//go:build race

package scenario

// buildFlags builds the program under the race detector where the tests are.
var buildFlags = []string{"-race"}
