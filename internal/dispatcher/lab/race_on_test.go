//go:build race

package lab

// Under the race detector a run takes ten times as long, so that runs are shorter and the
// tolerance is larger.
const (
	formulaSeconds   = 400
	formulaTolerance = 0.08
)
