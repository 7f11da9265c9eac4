package policy_test

import (
	"testing"

	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
)

// TestReconfigure: a new class is served from the retune on, a removed one is
// refused, and a job under way keeps the attempts it came with when fewer are
// allowed; an invalid retune changes nothing.
func TestReconfigure(t *testing.T) {
	b := newBench(t, settings(), 3)
	b.request("before", "safe", 10*ms)
	first := b.sentTo("before")

	s := settings()
	s.Classes = append(s.Classes[1:], policy.Class{Name: "fresh", Effect: policy.Idempotent, LatencyTarget: 400 * ms, ClientTimeout: 5e9, Value: 1, Kind: -1})
	s.Limits.MaxAttempts = 1
	bad := s
	bad.Limits.MaxAttempts = 0
	require.Error(t, b.Reconfigure(b.now, bad))
	b.request("still", "safe", 10*ms) // the bad retune left safe as it was
	require.False(t, b.has("refuse still"))

	require.NoError(t, b.Reconfigure(b.now, s))
	b.request("new", "fresh", 10*ms)
	require.False(t, b.has("refuse new"))
	b.sentTo("new")
	b.request("gone", "safe", 10*ms)
	require.True(t, b.has("refuse gone"))

	b.HandleAttemptResult(b.now, policy.AttemptResult{Request: "before", Attempt: 0, Worker: first, Status: policy.ConnectFailed})
	b.pass(50 * ms)
	require.Equal(t, 2, b.sends["before"], "came with three attempts, keeps them")
	b.HandleAttemptResult(b.now, policy.AttemptResult{Request: "new", Attempt: 0, Worker: b.sentTo("new"), Status: policy.ConnectFailed})
	b.pass(50 * ms)
	require.Equal(t, 1, b.sends["new"], "came with one attempt")
}
