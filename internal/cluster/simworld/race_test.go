//go:build race

package simworld_test

// defaultSeeds is how many seeds TestManySeeds plays where no variable says. The race detector has
// nothing to find in a world of one goroutine and takes ten times as long; .ci/run plays thousands
// without it.
const defaultSeeds = 60
