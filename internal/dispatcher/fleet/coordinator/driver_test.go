package coordinator

import (
	"testing"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/fleet/planrun"
	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
)

// TestEndOf checks the end of each kind of job answer. An attempt that may have run never gets
// an end which means that it has not run.
func TestEndOf(t *testing.T) {
	for name, at := range map[string]struct {
		a    engine.Answer
		want plan.End
	}{
		"served":                              {engine.Answer{Verdict: engine.Served, MayHaveRun: true, Attempts: 1}, plan.Done},
		"refused by this dispatcher":          {engine.Answer{Verdict: engine.Refused, Reason: accounting.BudgetSpent}, plan.Refused},
		"rejected by the member":              {engine.Answer{Verdict: engine.Refused, Attempts: 2, LastStatus: policy.Rejected}, plan.Full},
		"never reached":                       {engine.Answer{Verdict: engine.Failed, Attempts: 1, LastStatus: policy.ConnectFailed}, plan.Unsent},
		"refused, though it may run":          {engine.Answer{Verdict: engine.Refused, Attempts: 2, LastStatus: policy.Rejected, MayHaveRun: true}, plan.Late},
		"unreached after it may run":          {engine.Answer{Verdict: engine.Refused, Attempts: 2, LastStatus: policy.ConnectFailed, MayHaveRun: true}, plan.Late},
		"an error":                            {engine.Answer{Verdict: engine.Failed, Attempts: 1, Reason: accounting.MemberError, LastStatus: policy.Error, MayHaveRun: true}, plan.Failed},
		"a bad request":                       {engine.Answer{Verdict: engine.Denied, Attempts: 1, Reason: accounting.BadRequest, LastStatus: policy.InvalidRequest, MayHaveRun: true}, plan.Failed},
		"connection reset":                    {engine.Answer{Verdict: engine.Failed, Attempts: 1, Reason: accounting.GivenUp, LastStatus: policy.Reset, MayHaveRun: true}, plan.Reset},
		"no answer in time":                   {engine.Answer{Verdict: engine.Failed, Attempts: 1, Reason: accounting.DeadlinePassed, LastStatus: policy.TimedOut, MayHaveRun: true}, plan.Late},
		"in flight when the dispatcher stops": {engine.Answer{Verdict: engine.Failed, Attempts: 1, Reason: accounting.Stopped, MayHaveRun: true}, plan.Late},
	} {
		got := endOf(at.a)
		require.Equal(t, at.want, got, name)
		require.False(t, at.a.MayHaveRun && !got.MayHaveRun(), name)
	}
}

// TestJobID checks that each attempt has the same job ID at every coordinator, and differs from
// every other attempt.
func TestJobID(t *testing.T) {
	seen := map[string]bool{}
	for _, run := range []string{"a", "b", "a-0"} {
		for _, a := range []planrun.Action{{}, {Stage: 1}, {Item: 1}, {Attempt: 1}, {Undo: true}, {Undo: true, Attempt: 1}, {Stage: 1, Item: 1}} {
			id := jobID(run, a)
			require.Equal(t, id, jobID(run, a))
			require.False(t, seen[id], id)
			require.LessOrEqual(t, len(id), 128)
			seen[id] = true
		}
	}
}
