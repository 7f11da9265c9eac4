package pipeline

import (
	"testing"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
)

func TestAdmit(t *testing.T) {
	c, now := New(policy.Settings{}, Limits{MaxOpen: 2, MaxBodyBytes: 100}, nil, nil), time.Now()
	for name, at := range map[string]struct {
		load engine.Load
		left time.Duration
		want accounting.Reason
		wait time.Duration
	}{
		"room":           {engine.Load{Open: 2, Bytes: 100}, time.Second, accounting.Reasons, 0},
		"too many":       {engine.Load{Open: 3, Bytes: 1}, time.Second, accounting.NoRoom, retryDelay},
		"too large":      {engine.Load{Open: 1, Bytes: 101}, time.Second, accounting.NoRoom, retryDelay},
		"no time left":   {engine.Load{Open: 1}, 0, accounting.NoRoom, retryDelay},
		"late by itself": {engine.Load{Open: 1, RetryDelay: 3 * time.Second}, time.Minute, accounting.Overloaded, 3 * time.Second},
	} {
		a := c.Admit(&engine.Transaction{Deadline: now.Add(at.left)}, at.load, now)
		if at.want == accounting.Reasons {
			require.Nil(t, a, name)
			continue
		}
		require.Equal(t, &engine.Answer{Verdict: engine.Refused, Reason: at.want, RetryAt: now.Add(at.wait)}, a, name)
	}
}

// TestRoute: the request to the policy has all fields that the front set in the submission.
func TestRoute(t *testing.T) {
	c := New(policy.Settings{Classes: []policy.Class{{Name: "hold", ClientTimeout: time.Minute}}}, Limits{MaxOpen: 2, MaxBodyBytes: 100}, nil, nil)
	tx, err := c.NewTransaction(Submission{ID: "1", Class: "hold", AffinityKey: "7f", Hint: time.Second, Slots: 2, Memory: 0.5, Retry: true, Capability: "x"}, time.Now(), nil)
	require.NoError(t, err)
	require.Equal(t, policy.Request{ID: "1", Class: "hold", AffinityKey: "7f", Hint: time.Second, Slots: 2, Memory: 0.5, Retry: true, Capability: "x"}, c.Route(tx))
}
