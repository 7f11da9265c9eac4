package server

import (
	"testing"

	"basaltloft/internal/dispatcher/fleet/planrun"

	"github.com/stretchr/testify/require"
)

// TestAnswerText: a final answer is always encoded to the same text.
func TestAnswerText(t *testing.T) {
	a := &planrun.Answer{Run: "r", Plan: "booking", Stage: "ticket", End: "may_have_run", Reason: "its coordinator died", StagesWithEffects: []string{"ticket"}}
	for range 100 {
		require.Equal(t, string(answerJSON(a)), string(answerJSON(a)))
	}
}
