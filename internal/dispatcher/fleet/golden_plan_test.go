package fleet

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/fleet/planrun"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/shared/goldentest"

	"github.com/stretchr/testify/require"
)

// goldenPlans holds a plan file with every key that commit 352ebf2 read, and what that
// build computed from it. It must never be rewritten by later code.
var goldenPlans = filepath.Join("testdata", "golden", "plans")

// TestGoldenPlan checks that a plan file is parsed to these values, to the digest by which running
// plan runs refer to it, and to the bytes of the shape in a Start message.
//
// The digest covers the classes with their Go field names (the verb %+v of
// basaltloft.Class): a build with another digest treats the runs of this one as runs of
// unknown plans.
func TestGoldenPlan(t *testing.T) {
	classes := plan.ClassesByName([]policy.Class{
		{Name: "notice", Effect: policy.Idempotent, DedupScope: policy.DedupAll, LatencyTarget: time.Second, TargetPerWork: 2, ClientTimeout: 5 * time.Second, Value: 1, Kind: -1},
		{Name: "hold", Effect: policy.Deduplicated, DedupScope: policy.DedupZone, DedupWindow: 15 * time.Second, LatencyTarget: 2 * time.Second, ClientTimeout: 10 * time.Second, Value: 2, Kind: 1},
		{Name: "ticket", Effect: policy.AtMostOnce, LatencyTarget: 3 * time.Second, ClientTimeout: 25 * time.Second, Value: 3, Kind: -1},
	})
	all, problems := plan.Parse("coach.hcl", goldentest.Read(t, filepath.Join(goldenPlans, "coach.hcl")), classes)
	require.Empty(t, problems)
	require.Len(t, all, 1)
	p := all[0]
	require.Equal(t, "coach", p.Name)
	shape := planrun.ShapeOf(p)
	require.EqualExportedValues(t, planrun.Shape{MaxAttempts: 1000, Timeout: 10 * time.Minute, Stages: []planrun.StageShape{
		{Name: "prices", Class: "notice", Effect: policy.Idempotent, Shared: true, SharedFor: 30 * time.Second, Retries: []planrun.RetryShape{{
			On:         []plan.End{plan.Refused, plan.Full, plan.Unsent, plan.Late, plan.Failed, plan.Reset},
			MaxRetries: 1, Wait: 200 * time.Millisecond, WaitAtMost: 24 * time.Hour, Jitter: 500, Where: plan.Anywhere,
		}}},
		{
			Name: "hold", Class: "hold", Effect: policy.Deduplicated, After: []int{0}, Cost: 750 * time.Millisecond, Each: true, MaxItems: 50, MinSucceeded: 40,
			Retries: []planrun.RetryShape{
				{On: []plan.End{plan.Refused, plan.Full, plan.Unsent}, MaxRetries: 3, Wait: 100 * time.Millisecond, WaitAtMost: time.Second, Jitter: 250, Where: plan.OtherZone},
				{On: []plan.End{plan.Late, plan.Reset}, MaxRetries: 1, Wait: 500 * time.Millisecond, WaitAtMost: 24 * time.Hour, Where: plan.OtherMember},
			},
			Reruns: []planrun.RerunShape{{Of: 0, Most: 2}},
			Undo:   &planrun.UndoShape{Class: "hold", Effect: policy.Deduplicated, MaxTries: 3, Wait: time.Second},
		},
		{Name: "ticket", Class: "ticket", Effect: policy.AtMostOnce, After: []int{1}, Retries: []planrun.RetryShape{
			{On: []plan.End{plan.Refused, plan.Full, plan.Unsent}, MaxRetries: 2, Wait: 50 * time.Millisecond, WaitAtMost: 24 * time.Hour, Where: plan.Anywhere},
		}},
	}}, shape)
	text, err := codec.Encode(shape)
	require.NoError(t, err)
	goldentest.Equal(t, filepath.Join(goldenPlans, "coach.txt"), fmt.Appendf(nil, "digest %016x\nattempts at most %d\nlasts at most %s\nshape %x\n", p.Digest, p.Worst.Attempts, p.Worst.Duration, text))
}
