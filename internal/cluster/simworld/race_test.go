//go:build race

package simworld_test

// defaultSeeds is how many seeds TestManySeeds runs if BASALTLOFT_SEEDS is not set. The race detector
// can find nothing in a simulation of one goroutine and makes it ten times slower; .ci/run runs
// thousands of seeds without it.
const defaultSeeds = 60

// lossPoints is the number of points in time at which TestDisksLostWhilePowerFails runs each case.
const lossPoints = 2
