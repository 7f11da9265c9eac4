//go:build !race

package scenario

var buildFlags []string

// RaceEnabled reports whether the program is built under the race detector.
const RaceEnabled = false
