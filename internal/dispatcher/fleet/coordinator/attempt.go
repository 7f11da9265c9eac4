package coordinator

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/fleet/planrun"
	"basaltloft/internal/dispatcher/policy"
)

// job returns the job of an attempt.
func (d *driver) job(a planrun.Action, v planrun.View, at time.Duration) (j Job, err error) {
	st, item := d.plan.Stages[a.Stage], &v.Run.Stages[a.Stage].Items[a.Item]
	j = Job{ID: jobID(d.id, a), Class: a.Class, Tenant: v.Run.Tenant, CostHint: st.Cost, Plan: d.plan.Name, Stage: st.Name, Deadline: time.Now().Add(a.At - at)}
	if vals := d.values(v, a.Stage, item.Value); a.Undo {
		j.Path, j.Body, j.Key, err = st.Undo.Render(vals)
	} else {
		j.Path, j.Body, j.Key, err = st.Render(vals)
	}
	if a.Where != plan.Anywhere {
		j.ExcludedMember, j.ExcludeItsZone = a.Member, a.Where == plan.OtherZone
	}
	return j, err
}

// send submits an attempt as a job once the replicated state has approved it, and reports how
// it ended.
func (d *driver) send(ctx context.Context, t planrun.Task, v planrun.View, at time.Duration) {
	j, err := d.job(t.Action, v, at)
	switch {
	case err != nil:
		d.abandon(ctx, t.Stage, err)
	case !t.SpendsRetryBudget || d.takeRetryBudget(ctx, t.Class, j.Deadline):
		err = d.execute(ctx, planrun.Command{SendAttempt: t.Sending})
	default:
		err = ErrNoSession
	}
	accepted := false
	d.coordinator.withAttempts(func(m *planrun.AttemptRegistry) {
		accepted = m.Accepted(*t.Sending, t.ID, err, d.coordinator.fleet.HoldsLease())
	})
	if !accepted {
		return
	}
	done, sent := make(chan engine.Answer, 1), time.Now()
	if err := d.coordinator.jobs.Submit(j, func(answer engine.Answer) { done <- answer }); err != nil {
		d.coordinator.log.Error("plan stage rejected as a job", "error", err, "run", d.id)
		d.reportEnd(t.Sending.EndReport(plan.Unsent, nil, "", nil))
		return
	}
	answer := <-done
	end, result, body := endOf(answer), []byte(nil), answer.MemberError
	d.coordinator.log.Debug("plan stage's job ended", "run", d.id, "job", j.ID, "stage", j.Stage, "end", end, "reason", answer.Reason.String(), "sends", answer.Attempts)
	if end == plan.Done {
		d.coordinator.withAttempts(func(m *planrun.AttemptRegistry) { m.Estimator.Observe(t.Class, time.Since(sent)) })
		result, body = answer.Body, answer.Body
	}
	var lost *planrun.LostInput
	if !t.Undo {
		if lost = d.lostInput(end, t, body); lost != nil {
			end, result = plan.Lost, nil
		}
	}
	d.reportEnd(t.Sending.EndReport(end, result, answer.LastMember, lost))
}

// reportEnd reports an attempt's end, even if another process drives the run by then, since
// the report may still count.
func (d *driver) reportEnd(e planrun.ReportEnd) {
	if err := d.execute(d.lifetime, planrun.Command{ReportEnd: &e}); errors.Is(err, planrun.ErrTooLarge) {
		e.End, e.Result = plan.Failed, nil
		_ = d.execute(d.lifetime, planrun.Command{ReportEnd: &e})
	}
}

// lostInput evaluates the rerun conditions of a stage. It returns the input that the attempt
// reports as lost, or nil.
func (d *driver) lostInput(end plan.End, t planrun.Task, body []byte) *planrun.LostInput {
	st, upstream := d.plan.Stages[t.Stage], d.shape.Upstream(t.Stage)
	for i := range st.Reruns {
		holds, err := st.Reruns[i].Holds(end, body)
		if err != nil {
			d.coordinator.log.Warn("rerun condition can't be evaluated and counts as false", "error", err, "run", d.id)
			continue
		}
		at := slices.IndexFunc(upstream, func(u int) bool { return d.shape.Stages[u].Name == st.Reruns[i].Of })
		if holds && at >= 0 && at < len(t.Inputs) {
			return &planrun.LostInput{Stage: upstream[at], Generation: t.Inputs[at]}
		}
	}
	return nil
}

// takeRetryBudget takes an attempt beyond the first from the fleet's retry budget. If the
// budget is exhausted it waits, until the attempt's deadline at most. It reports whether the
// attempt may be sent.
func (d *driver) takeRetryBudget(ctx context.Context, class string, until time.Time) bool {
	for !d.coordinator.fleet.TakeRetry(d.id, class) {
		at := d.coordinator.fleet.RetryTime(class, time.Now())
		if !at.Before(until) {
			at = until
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(max(time.Millisecond, time.Until(at))):
		}
		if _, _, over := d.current(); over || d.coordinator.isDraining() || !time.Now().Before(until) {
			return false
		}
	}
	return true
}

// jobID returns the job ID of an attempt. It is the same at every coordinator, and differs
// from that of any other attempt.
func jobID(run string, a planrun.Action) string {
	sum := sha256.Sum256([]byte(run))
	kind := "j"
	if a.Undo {
		kind = "u"
	}
	return fmt.Sprintf("plan-%x-%d-%d-%s%d", sum[:12], a.Stage, a.Item, kind, a.Attempt)
}

// endOf returns the end of an attempt whose job had this answer.
func endOf(a engine.Answer) plan.End {
	switch {
	case a.Verdict == engine.Served:
		return plan.Done
	case !a.MayHaveRun && a.Attempts > 0 && a.LastStatus == policy.Rejected:
		return plan.Full
	case !a.MayHaveRun && a.Attempts > 0:
		return plan.Unsent
	case !a.MayHaveRun:
		return plan.Refused
	case a.Reason == accounting.MemberError || a.Reason == accounting.BadRequest || a.LastStatus == policy.Error:
		return plan.Failed
	case a.LastStatus == policy.Reset:
		return plan.Reset
	}
	return plan.Late
}
