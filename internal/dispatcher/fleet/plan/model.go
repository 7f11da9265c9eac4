// Package plan is the language in which operators write plans: jobs that need one
// another, what each comes after, and what to do when one ends badly. It reads and
// checks them, and evaluates what they say; it runs nothing and does no I/O.
package plan

import (
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/hashicorp/hcl/v2"
)

// End is how an attempt at a stage ended, in the words of plan files.
type End string

// Ends of attempts. What a stage does on one is for its rules to say; whether it
// may run again at all is for its class.
const (
	Done    End = "done"         // it ran and gave a result
	Refused End = "refused"      // the dispatcher turned it away: it never ran
	Full    End = "full"         // members turned it away: it never ran; where that proves nothing (Rules.FullMayHaveRun) it is Failed
	Unsent  End = "unsent"       // no member was reached: it never ran
	Late    End = "late"         // no answer by the deadline: it may have run
	Failed  End = "failed"       // a member answered with an error: it may have run
	Reset   End = "reset"        // the connection broke: it may have run
	MayRun  End = "may_have_run" // its dispatcher died while it was under way
	Lost    End = "lost_input"   // it says that an input it was given is lost or stale: its condition held
)

// MayHaveRun tells whether an attempt with this end may have had its effect.
func (e End) MayHaveRun() bool { return e != Refused && e != Full && e != Unsent }

// Plan is a checked plan.
type Plan struct {
	Name        string
	Digest      uint64        // of its text and of the classes it was checked against
	Timeout     time.Duration // its absolute deadline is this long after its start, at the latest
	MaxAttempts int           // attempts in all, reruns and compensations included
	Stages      []*Stage      // each after all that it comes after
	ByName      map[string]*Stage
	Worst       Worst    // computed by the check, within the bounds above
	Notes       []string // what the check allows and an operator should know

	boundRanges map[string]hcl.Range // of its bounds
}

// Worst is the worst case that the check has computed.
type Worst struct {
	Attempts int
	Duration time.Duration
}

// Place says where a stage is tried again.
type Place string

// Places of a further try.
const (
	Anywhere    Place = "anywhere"
	OtherMember Place = "other_member"
	OtherZone   Place = "other_zone"
)

// Stage is one job of a plan, or as many as its list has items.
type Stage struct {
	Name           string
	Class          string
	Effect         policy.Effect
	AttemptTimeout time.Duration // of its class: how long an attempt may take
	Runs           int           // at most, the first included; computed by the check
	After          []string      // stages that must have ended well; their results may be used
	Path           hcl.Expression
	Body           hcl.Expression // what the job is sent, over input, item and stage results
	Key            hcl.Expression // of a keyed class: the same at each run of the stage
	Cost           time.Duration  // hint of its run time; 0: learned only

	Each         hcl.Expression // a list: the stage is run for each item, those of its first run; nil: once
	MaxItems     int            // longest list
	MinSucceeded int            // so many must end well, once each has ended; 0: all

	Shared    hcl.Expression // a key by which plans share one run of it; nil: its own
	SharedFor time.Duration  // a shared result is good for so long

	Retries []Retry // the first that names the end counts
	Reruns  []Rerun
	Undo    *Undo // what compensates it when the plan gives up after it may have run
	Range   hcl.Range

	afterRanges []hcl.Range // of each of After
}

// Retry says that a stage is tried again.
type Retry struct {
	On         []End
	MaxRetries int           // further tries by this rule, for a run of the stage
	Wait       time.Duration // before the first, doubled for each further one
	MaxWait    time.Duration
	Jitter     float64 // the wait varies by this share of itself, in thousandths, either way
	Where      Place
	Range      hcl.Range

	onRanges []hcl.Range // of each of On
}

// Rerun says that a stage upstream is run again, and with it all that hung on its
// output, when this stage reports that what it was given is lost or stale.
type Rerun struct {
	Of        string         // a stage this one comes after, directly or not
	When      hcl.Expression // over end and result of this stage
	MaxReruns int            // generations of Of beyond the first, for the plan, whichever rule asked
	Range     hcl.Range

	ofRange hcl.Range
}

// Undo compensates a stage.
type Undo struct {
	Class           string
	Effect          policy.Effect
	AttemptTimeout  time.Duration // of its class: how long a try may take
	Path, Body, Key hcl.Expression
	MaxTries        int           // tries
	Wait            time.Duration // between tries, not doubled
	Range           hcl.Range
}
