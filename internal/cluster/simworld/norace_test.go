//go:build !race

package simworld_test

// defaultSeeds is how many seeds TestManySeeds runs if BASALTLOFT_SEEDS is not set.
const defaultSeeds = 1000

// lossPoints is the number of points in time at which TestDisksLostWhilePowerFails runs each case.
const lossPoints = 10
