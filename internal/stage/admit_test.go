package stage

import (
	"testing"
	"time"

	"basaltloft"
	"basaltloft/internal/account"
	"basaltloft/internal/core"

	"github.com/stretchr/testify/require"
)

func TestAdmit(t *testing.T) {
	c, now := New(basaltloft.Settings{}, Limits{Open: 2, Bytes: 100}, nil, nil), time.Now()
	for name, at := range map[string]struct {
		load core.Load
		left time.Duration
		want account.Reason
		wait time.Duration
	}{
		"room":           {core.Load{Open: 2, Bytes: 100}, time.Second, account.Reasons, 0},
		"too many":       {core.Load{Open: 3, Bytes: 1}, time.Second, account.NoRoom, comeBack},
		"too large":      {core.Load{Open: 1, Bytes: 101}, time.Second, account.NoRoom, comeBack},
		"no time left":   {core.Load{Open: 1}, 0, account.NoRoom, comeBack},
		"late by itself": {core.Load{Open: 1, Behind: 3 * time.Second}, time.Minute, account.Behind, 3 * time.Second},
	} {
		a := c.Admit(&core.Transaction{Deadline: now.Add(at.left)}, at.load, now)
		if at.want == account.Reasons {
			require.Nil(t, a, name)
			continue
		}
		require.Equal(t, &core.Answer{Verdict: core.Refused, Reason: at.want, RetryAt: now.Add(at.wait)}, a, name)
	}
}

// TestRoute: the decisions hear what a front read of a request.
func TestRoute(t *testing.T) {
	c := New(basaltloft.Settings{Classes: []basaltloft.Class{{Name: "hold", GiveUp: time.Minute}}}, Limits{Open: 2, Bytes: 100}, nil, nil)
	tx, err := c.TakeIn(Arrival{ID: "1", Class: "hold", Subject: "7f", Hint: time.Second, Slots: 2, Memory: 0.5, Retry: true, Needs: "x"}, time.Now(), nil)
	require.NoError(t, err)
	require.Equal(t, basaltloft.Request{ID: "1", Class: "hold", Subject: "7f", Hint: time.Second, Slots: 2, Memory: 0.5, Retry: true, Needs: "x"}, c.Route(tx))
}
