//go:build race

package digesttest

// RaceDetector tells whether the race detector is built in. What is traced has one goroutine:
// the detector has nothing to find in it, and takes ten times as long.
const RaceDetector = true
