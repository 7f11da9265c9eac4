//go:build !race

package simworld_test

// defaultSeeds are played where nothing else is said.
const defaultSeeds = 1000
