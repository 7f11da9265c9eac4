package scheduler

import (
	"slices"
	"time"

	"basaltloft/internal/cluster/placement"
)

func (o *Scheduler) ask(b *bundle) *placement.Request {
	return &placement.Request{
		Service: b.job.Service, Count: len(b.pending), Urgency: haste(b), HealthyOnly: haste(b) == placement.UrgencyTight && o.now-b.readyAt < soundFor,
		Resources: b.step.Resources, Cost: stepCost(b.expects, b.step), Constraints: b.step.Constraints, DataRack: b.step.Affinity,
		LocalOnly: b.step.Affinity != "" && o.waitsNear(b),
	}
}

// A job's objective leaves it so many times its work. Below tightBelow a slow runner, or a
// short wait, makes it late; from looseFrom on neither does.
const (
	tightBelow = 2.0
	looseFrom  = 3.0
)

// soundFor is how long tight tasks wait for a sound runner rather than try a doubtful one: where
// all sound ones are full and others have room, work must not stand for three seconds.
const soundFor = time.Second

// haste tells how much time a bundle's job has to spare.
func haste(b *bundle) placement.Urgency {
	if b.step.LongRunning {
		return placement.UrgencyLoose
	}
	allowed := b.job.Extension + float64(b.job.TargetMs)/1000/max(b.expects, 0.001)/float64(len(b.job.Spec.Steps))
	switch {
	case b.job.Extension <= 0:
		return placement.UrgencyNormal
	case allowed < tightBelow:
		return placement.UrgencyTight
	case allowed >= looseFrom:
		return placement.UrgencyLoose
	}
	return placement.UrgencyNormal
}

// nearPatience is the part of the time lost by running far that is waited for a near place; a
// tight job that waits so long and then runs far is late by all means, so that it waits less.
const (
	nearPatience      = 0.5
	nearPatienceTight = 0.1
)

// waitsNear tells whether a bundle's tasks rather wait than run far from their data.
func (o *Scheduler) waitsNear(b *bundle) bool {
	patience := nearPatience
	if haste(b) == placement.UrgencyTight {
		patience = nearPatienceTight
	}
	return (o.now - b.readyAt).Seconds() < patience*(o.bounds.RemoteSlowdown-1)*b.expects
}

// alike returns how many of a bundle's next tasks may go to the same runner: those that have
// no run, which stand first, or else one that is to have a second run.
func (o *Scheduler) alike(b *bundle) int {
	n := 0
	for n < len(b.pending) && len(o.taskOf(b, b.pending[n]).Runs) == 0 {
		n++
	}
	return max(1, n)
}

// choose finds a runner for a bundle's next tasks, one at which none of its step failed where
// it can, and never one that has a run of the task.
func (o *Scheduler) choose(b *bundle, alike int, candidates []placement.Candidate, sessions []*session) (placement.Assignment, placement.Result) {
	ask := o.ask(b)
	ask.Count = alike
	beside := o.taskOf(b, b.pending[0]).Runs
	room := o.roomApart(b, sessions)
	limit := func(key int) int {
		for _, live := range beside {
			if live.Runner == sessions[key].id {
				return 0
			}
		}
		return room(key)
	}
	ask.Limit = func(key int) int {
		if b.avoid[sessions[key].id] {
			return 0
		}
		return limit(key)
	}
	chosen, result := placement.Choose(ask, candidates)
	if result != placement.Found && len(b.avoid) > 0 {
		ask.Limit = limit
		chosen, result = placement.Choose(ask, candidates)
	}
	return chosen, result
}

// roomApart tells how many more tasks of a step a runner may take beside those it has.
func (o *Scheduler) roomApart(b *bundle, sessions []*session) func(key int) int {
	if b.step.AntiAffinity == 0 {
		return func(int) int { return b.step.Count }
	}
	return func(key int) int {
		left := b.step.AntiAffinity
		for other := range sessions[key].runs {
			if keyOf(other.task) == b.key {
				left--
			}
		}
		return left
	}
}

func hasAll(labels, wanted []string) bool {
	for _, label := range wanted {
		if !slices.Contains(labels, label) {
			return false
		}
	}
	return true
}
