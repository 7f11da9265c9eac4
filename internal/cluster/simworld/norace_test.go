//go:build !race

package simworld_test

// defaultSeeds is how many seeds TestManySeeds plays where no variable says.
const defaultSeeds = 1000

// lossPoints is at how many points in time TestDisksLostWhilePowerFails plays each of its cases.
const lossPoints = 10
