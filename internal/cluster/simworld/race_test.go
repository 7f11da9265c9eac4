//go:build race

package simworld_test

// normalSeeds are played where nothing else is said. The race detector has nothing to find in
// a world of one goroutine and takes ten times as long; .ci/run plays thousands without it.
const normalSeeds = 60
