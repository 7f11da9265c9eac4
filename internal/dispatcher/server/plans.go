package server

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/adminapi"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/fleet/coordinator"
	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/fleet/planrun"
	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/settings"

	"github.com/valyala/fastjson"
)

// planFront is the name of the front under which accounting counts the stages of plans.
const planFront = "plans"

// planService connects the coordinator of plans to the dispatcher: it submits the stages of plans as
// jobs, and starts runs for the admin API and for Faktory's jobs.
type planService struct {
	s           *Service
	counters    accounting.FrontCounters
	files       []string // absolute paths, or relative to the working directory
	coordinator *coordinator.Coordinator
}

// newPlans creates the plan service and loads the plan files. It returns an error for an invalid file: the
// process must not start without its plans.
func (s *Service) newPlans(f *settings.Fleet, fl *fleet) (*planService, error) {
	p := &planService{s: s, counters: accounting.FrontCounters{Front: planFront}, files: f.Plans}
	for i, name := range p.files {
		if !filepath.IsAbs(name) {
			p.files[i] = filepath.Join(s.options.OperatorDir, name)
		}
	}
	p.coordinator = coordinator.New(fl.agent, p, s.log.With("part", "plans"))
	if err := p.loadPlans(s.options.Config); err != nil {
		return nil, err
	}
	fl.components = append(fl.components, &component{
		name: "plans",
		serve: func(ctx context.Context, _ net.Listener) error {
			return p.coordinator.Run(ctx)
		},
		drain: func(ShutdownSchedule) { p.coordinator.Drain() },
	})
	return p, nil
}

// loadPlans reads the plan files and puts their plans into use. If any file is invalid, it changes nothing
// and returns an error that lists all mistakes.
func (p *planService) loadPlans(c settings.Config) error {
	classes := plan.ClassesByName(c.Settings.Classes)
	var all []*plan.Plan
	var mistakes []string
	for _, name := range p.files {
		text, err := os.ReadFile(name)
		if err != nil {
			return fmt.Errorf("plans: %w", err)
		}
		plans, problems := plan.Parse(filepath.Base(name), text, classes)
		for _, problem := range problems {
			mistakes = append(mistakes, problem.String())
		}
		all = append(all, plans...)
	}
	if len(mistakes) > 0 {
		return fmt.Errorf("plans: %s", strings.Join(mistakes, "; "))
	}
	p.coordinator.SetPlans(all)
	return nil
}

// Submit implements coordinator.Dispatcher.
func (p *planService) Submit(j coordinator.Job, done func(engine.Answer)) error {
	tx, err := p.s.pipeline.NewTransaction(pipeline.Submission{
		ID: j.ID, Class: j.Class, Tenant: j.Tenant, Target: j.Path, Key: j.Key, Body: j.Body, Front: planFront,
		ClientDeadline: j.Deadline, Hint: j.CostHint,
		KnownFirst: true, Plan: j.Plan, Stage: j.Stage, ExcludedMember: j.ExcludedMember, ExcludeItsZone: j.ExcludeItsZone,
	}, time.Now(), planClient{p, done})
	if err != nil {
		return fmt.Errorf("stage %s of plan %s: %w", j.Stage, j.Plan, err)
	}
	p.counters.JobStarted()
	p.s.engine.Submit(tx)
	p.counters.JobSubmitted()
	return nil
}

// planClient receives the final answer of a stage's job.
type planClient struct {
	service *planService
	done    func(engine.Answer)
}

// Answer implements engine.Client.
func (c planClient) Answer(a engine.Answer) {
	c.service.counters.JobAnswered(a.Verdict.Outcome())
	c.done(a)
}

// CheckInUse implements faktory.PlanStarter.
func (p *planService) CheckInUse(plan string) error { return p.coordinator.CheckInUse(plan) }

// planRetryAfter is the retry delay that is advised for a run of which no stage has run.
const planRetryAfter = time.Second

// Start implements faktory.PlanStarter.
func (p *planService) Start(run, plan, tenant string, input []byte, deadline time.Time, done func(engine.Answer)) error {
	request := coordinator.StartRequest{Run: run, Plan: plan, Tenant: tenant, Input: input}
	return p.coordinator.StartAsync(request, deadline, func(a *planrun.Answer, err error) {
		done(jobAnswer(plan, a, err))
	})
}

// jobAnswer translates the end of a run into the answer to the job that started the plan.
func jobAnswer(plan string, a *planrun.Answer, err error) engine.Answer {
	switch {
	case errors.Is(err, coordinator.ErrOutcomeUnknown):
		return engine.Answer{Verdict: engine.Failed, Body: []byte(err.Error() + "\n"), MayHaveRun: true}
	case err != nil:
		return engine.Answer{Verdict: engine.Refused, Body: []byte(err.Error() + "\n"), RetryAt: time.Now().Add(planRetryAfter)}
	case a.Plan != plan:
		return engine.Answer{Verdict: engine.Denied, Body: fmt.Appendf(nil, "the id %s is that of a run of plan %q\n", a.Run, a.Plan)}
	case a.Outcome == planrun.Served:
		return engine.Answer{Verdict: engine.Served, Body: answerJSON(a)}
	case a.Outcome == planrun.Refused:
		return engine.Answer{Verdict: engine.Refused, Body: answerJSON(a), RetryAt: time.Now().Add(planRetryAfter)}
	}
	return engine.Answer{Verdict: engine.Failed, Body: answerJSON(a), MayHaveRun: true}
}

// StartPlan implements adminapi.Fleet.
func (p *planService) StartPlan(ctx context.Context, a adminapi.PlanRequest) ([]byte, error) {
	if err := fastjson.ValidateBytes(a.Input); err != nil {
		return nil, fmt.Errorf("%w: the input of a plan is JSON: %w", adminapi.ErrBadRequest, err)
	}
	answer, err := p.coordinator.Start(ctx, coordinator.StartRequest{Run: a.Run, Plan: a.Plan, Tenant: a.Tenant, Input: a.Input, Timeout: a.Timeout})
	return adminResponse(answer, err)
}

// RunStatus implements adminapi.Fleet.
func (p *planService) RunStatus(ctx context.Context, id string) ([]byte, error) {
	return adminResponse(p.coordinator.Lookup(ctx, id))
}

// adminResponse translates a run's final answer, if there is one, or its error for the admin API.
func adminResponse(a *planrun.Answer, err error) ([]byte, error) {
	switch {
	case errors.Is(err, coordinator.ErrUnknownPlan), errors.Is(err, coordinator.ErrUnknownRun):
		return nil, fmt.Errorf("%w: %w", adminapi.ErrNotFound, err)
	case errors.Is(err, coordinator.ErrRefused):
		return nil, fmt.Errorf("%w: %w", adminapi.ErrConflict, err)
	case errors.Is(err, rpc.ErrUnavailable), errors.Is(err, coordinator.ErrNoSession):
		return nil, fmt.Errorf("%w: %w", adminapi.ErrFleetUnavailable, err)
	case err != nil || a == nil:
		return nil, err
	}
	return answerJSON(a), nil
}

// answerJSON returns a run's final answer as JSON. Results that are JSON are embedded, others become
// strings.
func answerJSON(a *planrun.Answer) []byte {
	var arena fastjson.Arena
	o := arena.NewObject()
	o.Set("run", arena.NewString(a.Run))
	o.Set("plan", arena.NewString(a.Plan))
	o.Set("outcome", arena.NewString(a.Outcome.String()))
	o.Set("attempts", arena.NewNumberInt(a.Attempts))
	for _, f := range [][2]string{{"stage", a.Stage}, {"end", string(a.End)}, {"reason", a.Reason}} {
		if f[1] != "" {
			o.Set(f[0], arena.NewString(f[1]))
		}
	}
	if len(a.StagesWithEffects) > 0 {
		left := arena.NewArray()
		for i, name := range a.StagesWithEffects {
			left.SetArrayItem(i, arena.NewString(name))
		}
		o.Set("left", left)
	}
	results := arena.NewObject()
	for _, r := range a.Results {
		items := arena.NewArray()
		for i, text := range r.Items {
			v := arena.NewNull()
			if text != nil {
				if parsed, err := fastjson.ParseBytes(text); err == nil {
					v = parsed
				} else {
					v = arena.NewStringBytes(text)
				}
			}
			items.SetArrayItem(i, v)
		}
		results.Set(r.Stage, items)
	}
	if a.ResultsOmitted {
		o.Set("results_cut", arena.NewTrue())
	} else {
		o.Set("results", results)
	}
	return bytes.TrimSpace(o.MarshalTo(nil))
}
