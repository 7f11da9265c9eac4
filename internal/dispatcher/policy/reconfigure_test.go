package policy_test

import (
	"testing"

	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
)

// TestReconfigure checks that after a reconfiguration a new class is served, a removed one is refused, and
// a job in progress keeps the number of attempts that was allowed when it arrived. An invalid
// reconfiguration changes nothing.
func TestReconfigure(t *testing.T) {
	b := newFixture(t, settings(), 3)
	b.request("before", "safe", 10*ms)
	first := b.sentTo("before")

	s := settings()
	s.Classes = append(s.Classes[1:], policy.Class{Name: "fresh", Effect: policy.Idempotent, LatencyTarget: 400 * ms, ClientTimeout: 5e9, Value: 1, Kind: -1})
	s.Limits.MaxAttempts = 1
	bad := s
	bad.Limits.MaxAttempts = 0
	require.Error(t, b.Reconfigure(b.now, bad))
	b.request("still", "safe", 10*ms) // the invalid settings left the class unchanged
	require.False(t, b.has("refuse still"))

	require.NoError(t, b.Reconfigure(b.now, s))
	b.request("new", "fresh", 10*ms)
	require.False(t, b.has("refuse new"))
	b.sentTo("new")
	b.request("gone", "safe", 10*ms)
	require.True(t, b.has("refuse gone"))

	b.HandleAttemptResult(b.now, policy.AttemptResult{Request: "before", Attempt: 0, Worker: first, Status: policy.ConnectFailed})
	b.advance(50 * ms)
	require.Equal(t, 2, b.sends["before"], "three attempts were allowed when it arrived")
	b.HandleAttemptResult(b.now, policy.AttemptResult{Request: "new", Attempt: 0, Worker: b.sentTo("new"), Status: policy.ConnectFailed})
	b.advance(50 * ms)
	require.Equal(t, 1, b.sends["new"], "one attempt was allowed when it arrived")
}
