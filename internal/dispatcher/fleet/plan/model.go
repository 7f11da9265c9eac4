// Package plan implements the language of plan files, in which operators describe plans:
// workflows of jobs that depend on one another, with the rules for the case that one fails. It
// parses and checks plan files (HCL) and evaluates their expressions. It runs no plans and
// does no I/O.
package plan

import (
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/hashicorp/hcl/v2"
)

// End is how an attempt at a stage ended, in the terms of plan files.
type End string

// Ends of attempts. The rules of a stage determine what follows an end; its class determines
// whether it may run again at all.
const (
	Done    End = "done"         // it ran and returned a result
	Refused End = "refused"      // rejected by the dispatcher: it never ran
	Full    End = "full"         // rejected by members: it never ran; where that is not certain (policy.Rules.RejectedMayHaveRun) the end is Failed
	Unsent  End = "unsent"       // no member was reached: it never ran
	Late    End = "late"         // no answer by the deadline: it may have run
	Failed  End = "failed"       // a member answered with an error: it may have run
	Reset   End = "reset"        // the connection broke: it may have run
	MayRun  End = "may_have_run" // its dispatcher failed while it was in flight
	Lost    End = "lost_input"   // a rerun condition held: an input is lost or stale
)

// MayHaveRun reports whether an attempt with this end may have had its effect.
func (e End) MayHaveRun() bool { return e != Refused && e != Full && e != Unsent }

// Plan is a checked plan. It is immutable.
type Plan struct {
	Name        string
	Digest      uint64        // of its text and of the classes that it was checked against
	Timeout     time.Duration // of a run
	MaxAttempts int           // in all, including reruns and compensations
	Stages      []*Stage      // each after all those that it depends on
	ByName      map[string]*Stage
	Worst       Worst    // computed by the check, within the bounds above
	Notes       []string // hints for the operator on what the check allows

	boundRanges map[string]hcl.Range // source ranges of its attributes
}

// Worst is the worst case of a run, as computed by the check.
type Worst struct {
	Attempts int
	Duration time.Duration
}

// Place is where a stage is retried.
type Place string

// Places of a retry.
const (
	Anywhere    Place = "anywhere"
	OtherMember Place = "other_member"
	OtherZone   Place = "other_zone"
)

// Stage is one job of a plan, or one for each item of a list.
type Stage struct {
	Name           string
	Class          string
	Effect         policy.Effect
	AttemptTimeout time.Duration // of its class
	Runs           int           // at most, including the first; computed by the check
	After          []string      // stages that must have succeeded; their results may be used
	Path           hcl.Expression
	Body           hcl.Expression // body of the job; nil: none
	Key            hcl.Expression // of a deduplicated class: the same at each run of the stage
	Cost           time.Duration  // hint of its run time; 0: none

	Each         hcl.Expression // a list of items, evaluated at the first run; nil: the stage has one item
	MaxItems     int            // longest list
	MinSucceeded int            // items that must succeed, once each has ended; 0: all

	Shared    hcl.Expression // key by which runs share one output; nil: not shared
	SharedFor time.Duration  // how long a shared output is fresh

	Retries []Retry // the first that names the end applies
	Reruns  []Rerun
	Undo    *Undo // compensation when the run gives up after the stage may have run; nil: none
	Range   hcl.Range

	afterRanges []hcl.Range // source ranges of After
}

// Retry is a rule by which a stage is retried.
type Retry struct {
	On         []End
	MaxRetries int           // by this rule, for a run of the stage
	Wait       time.Duration // before the first retry, doubled for each further one
	MaxWait    time.Duration
	Jitter     float64 // the wait varies by this fraction of itself either way, in steps of a thousandth
	Where      Place
	Range      hcl.Range

	onRanges []hcl.Range // source ranges of On
}

// Rerun is a rule by which a stage upstream is run again, with everything downstream of it,
// when this stage reports that an input is lost or stale.
type Rerun struct {
	Of        string         // a stage that this one depends on, directly or not
	When      hcl.Expression // over end and result of this stage
	MaxReruns int            // largest number of generations of Of beyond the first in a run, by this and other rules together
	Range     hcl.Range

	ofRange hcl.Range
}

// Undo compensates a stage.
type Undo struct {
	Class           string
	Effect          policy.Effect
	AttemptTimeout  time.Duration // of its class
	Path, Body, Key hcl.Expression
	MaxTries        int           // attempts, including the first
	Wait            time.Duration // between attempts, not doubled
	Range           hcl.Range
}
