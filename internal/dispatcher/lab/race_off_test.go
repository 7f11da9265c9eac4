//go:build !race

package lab

const (
	formulaSpan   = 3000 // seconds of a run
	formulaWithin = 0.02
)
