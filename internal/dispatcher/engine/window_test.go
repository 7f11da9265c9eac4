package engine

import (
	"log/slog"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
)

// TestDedupWindow checks that a repeat reaches its member before its key's window ends, which is counted from
// the send of the first attempt that may have run. A repeat that can't is not sent, and a request whose retry
// may arrive after the window is failed, not refused.
func TestDedupWindow(t *testing.T) {
	for name, c := range map[string]struct {
		effect policy.Effect
		key    string
		ends   policy.Status
		ago    time.Duration // when the first attempt went out
		sent   int           // attempts in total
		bound  bool          // the last attempt has a LatestSend
		want   Verdict       // of the answer once the policy gives up
	}{
		"inside the window":                            {policy.Deduplicated, "k", policy.Reset, 0, 2, true, Refused},
		"inside the window, but a client retry is not": {policy.Deduplicated, "k", policy.Reset, 9 * time.Second, 2, true, Failed},
		"too near the end of the window":               {policy.Deduplicated, "k", policy.Reset, 10*time.Second - dedupMargin, 1, false, Failed},
		"the first attempt never ran":                  {policy.Deduplicated, "k", policy.ConnectFailed, 9 * time.Second, 2, false, Refused},
		"no key":                                       {policy.Deduplicated, "", policy.Reset, 0, 1, false, Failed},
		"no key, but the first attempt never ran":      {policy.Deduplicated, "", policy.ConnectFailed, 0, 2, false, Failed},
		"idempotent class":                             {policy.Idempotent, "", policy.Reset, 9 * time.Second, 2, false, Refused},
	} {
		t.Run(name, func(t *testing.T) {
			p, log := &recorder{t: t}, slog.New(slog.DiscardHandler)
			engine, err := New(policy.Settings{
				Instances: 1, ReportsStart: true, Limits: policy.Limits{MaxAttempts: 3, Cancel: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second},
				Classes: []policy.Class{{Name: "hold", Effect: c.effect, DedupWindow: 10 * time.Second, LatencyTarget: time.Minute, ClientTimeout: time.Hour, Value: 1, Kind: -1}},
			}, p, nil, log)
			require.NoError(t, err)
			engine.SetLister(p)
			engine.UpdateMembers("test", policy.ListRestored, []*Member{{ID: "a", Transport: p}, {ID: "b", Transport: p}})
			tx := &Transaction{ID: "t", Class: "hold", Key: c.key, Hint: time.Second, Deadline: time.Now().Add(time.Hour), Client: recordingClient{p, "t"}}
			engine.Submit(tx)
			handleAll := func() {
				for _, e := range engine.takeEvents() {
					engine.handle(queuedEvent{run: e.run})
				}
			}
			handleAll()
			p.flows[0].SentAt = time.Now().Add(-c.ago)
			engine.EndFlow(p.flows[0], c.ends, nil) // on the policy's clock it was sent just now
			handleAll()
			require.Len(t, p.flows, c.sent)
			last := p.flows[c.sent-1]
			if c.bound {
				require.Equal(t, p.flows[0].SentAt.Add(10*time.Second-dedupMargin), last.LatestSend)
			} else {
				require.Zero(t, last.LatestSend)
			}
			if c.sent > 1 || c.key == "" {
				require.Equal(t, c.want == Refused, engine.mayRunAgain(tx), "while an attempt is in flight")
			}
			require.False(t, last.TooLate(time.Now()))
		})
	}
}
