package agentcheck

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLine(t *testing.T) {
	for want, s := range map[string]State{
		"ready up 100%\n":       {Ready: true, MaxInFlight: 10},
		"ready up 50%\n":        {Ready: true, InFlight: 5, MaxInFlight: 10},
		"ready up 1%\n":         {Ready: true, InFlight: 50, MaxInFlight: 10}, // 0 would mean drain
		"down\n":                {},
		"drain\n":               {Ready: true, Draining: true},
		"ready up 100% #sums\n": {Ready: true, MaxInFlight: 1, Note: "sums"},
		"drain #sums\n":         {Draining: true, Note: "sums"},
	} {
		require.Equal(t, want, s.Line())
	}
}
