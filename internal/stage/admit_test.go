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
