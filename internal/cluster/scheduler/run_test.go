package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRunIsProvenAbsent(t *testing.T) {
	for _, test := range []struct {
		name     string
		run      run
		reportMs int64
		want     bool
	}{
		{"not ordered yet", run{phase: phaseProposed}, 1000, false},
		{"ordered, order may still arrive", run{phase: phaseOrdered, orderDeadlineMs: 1000}, 1000, false},
		{"ordered, deadline of the order is over", run{phase: phaseOrdered, orderDeadlineMs: 1000}, 1001, true},
		{"ordered, stop confirmed before the report", run{phase: phaseOrdered, orderDeadlineMs: 1000, stop: stopOrder{confirmedMs: 900}}, 901, true},
		{"confirmed after the report", run{phase: phaseConfirmed, confirmedMs: 1000}, 1000, false},
		{"confirmed before the report", run{phase: phaseConfirmed, confirmedMs: 1000}, 1001, true},
		{"inherited from an earlier leader, which is fenced off", run{phase: phaseInherited}, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, test.run.provenAbsent(test.reportMs))
		})
	}
}
