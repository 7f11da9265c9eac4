//go:build !race

package scenario

var buildFlags []string

// RaceEnabled tells whether the program is built under the race detector.
const RaceEnabled = false
