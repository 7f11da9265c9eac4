//go:build !race

package simworld_test

// defaultSeeds is how many seeds TestManySeeds plays where no variable says.
const defaultSeeds = 1000
