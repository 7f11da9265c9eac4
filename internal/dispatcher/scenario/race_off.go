//go:build !race

package scenario

var buildFlags []string

// Race tells whether the program is built under the race detector.
const Race = false
