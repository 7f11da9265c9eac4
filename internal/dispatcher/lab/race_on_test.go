//go:build race

package lab

// Under the race detector a run takes ten times as long: shorter ones are held to
// the formulas less closely.
const (
	formulaSpan   = 400
	formulaWithin = 0.08
)
