//go:build !race

package lab

const (
	formulaSeconds   = 3000 // length of a run, in seconds
	formulaTolerance = 0.02 // relative error of the mean wait
)
