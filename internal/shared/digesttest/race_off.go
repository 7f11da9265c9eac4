//go:build !race

package digesttest

// RaceDetector reports whether the race detector is enabled in this build. Traced code runs in one
// goroutine, so that the detector can't find anything in it, and makes it take ten times as long.
const RaceDetector = false
