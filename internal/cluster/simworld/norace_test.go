//go:build !race

package simworld_test

// normalSeeds are played where nothing else is said.
const normalSeeds = 1000
