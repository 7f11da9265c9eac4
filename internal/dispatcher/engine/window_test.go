package engine

import (
	"log/slog"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
)

// TestDedupWindow: a repeat must reach its member before a key's window, counted from
// the sending of the first attempt that may have run, is over. What can't is not
// sent; and what may come again after the window is not called harmless.
func TestDedupWindow(t *testing.T) {
	for name, c := range map[string]struct {
		effect policy.Effect
		key    string
		ends   policy.Status
		ago    time.Duration // when the first attempt went out
		sent   int           // attempts in all
		bound  bool          // the last one has a latest moment
		want   Verdict       // once the policy gives up
	}{
		"inside the window":           {policy.Deduplicated, "k", policy.Reset, 0, 2, true, Refused},
		"just inside":                 {policy.Deduplicated, "k", policy.Reset, 9 * time.Second, 2, true, Failed},
		"too near its end":            {policy.Deduplicated, "k", policy.Reset, 10*time.Second - dedupMargin, 1, false, Failed},
		"the first never ran":         {policy.Deduplicated, "k", policy.ConnectFailed, 9 * time.Second, 2, false, Refused},
		"it brought no key":           {policy.Deduplicated, "", policy.Reset, 0, 1, false, Failed},
		"no key, but it never ran":    {policy.Deduplicated, "", policy.ConnectFailed, 0, 2, false, Failed},
		"may be repeated at any time": {policy.Idempotent, "", policy.Reset, 9 * time.Second, 2, false, Refused},
	} {
		t.Run(name, func(t *testing.T) {
			p, log := &tape{t: t}, slog.New(slog.DiscardHandler)
			hub, err := New(policy.Settings{
				Instances: 1, ReportsStart: true, Limits: policy.Limits{MaxAttempts: 3, Cancel: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second},
				Classes: []policy.Class{{Name: "hold", Effect: c.effect, DedupWindow: 10 * time.Second, LatencyTarget: time.Minute, ClientTimeout: time.Hour, Value: 1, Kind: -1}},
			}, p, nil, log)
			require.NoError(t, err)
			hub.SetLister(p)
			hub.UpdateMembers("test", policy.ListRestored, []*Member{{ID: "a", Transport: p}, {ID: "b", Transport: p}})
			tx := &Transaction{ID: "t", Class: "hold", Key: c.key, Hint: time.Second, Deadline: time.Now().Add(time.Hour), Client: told{p, "t"}}
			hub.Submit(tx)
			turn := func() {
				for _, e := range hub.takeEvents() {
					hub.handle(queuedEvent{run: e.run})
				}
			}
			turn()
			p.flows[0].SentAt = time.Now().Add(-c.ago)
			hub.EndFlow(p.flows[0], c.ends, nil) // by the policy's own clock it was sent just now
			turn()
			require.Len(t, p.flows, c.sent)
			last := p.flows[c.sent-1]
			if c.bound {
				require.Equal(t, p.flows[0].SentAt.Add(10*time.Second-dedupMargin), last.LatestSend)
			} else {
				require.Zero(t, last.LatestSend)
			}
			if c.sent > 1 || c.key == "" {
				require.Equal(t, c.want == Refused, hub.mayRunAgain(tx), "an attempt is out")
			}
			require.False(t, last.TooLate(time.Now()))
		})
	}
}
