package policy

import (
	"fmt"
	"math"
	"time"
)

// Settings are the settings of a dispatcher. Points in time are durations since a moment that the
// host chooses.
type Settings struct {
	Seed      uint64   // of the random numbers of this instance
	Instances int      // number of dispatchers, this one included; at least 1
	Rank      int      // index of this instance among them, from 0
	Zone      string   // of this instance
	Kinds     []string // of workers
	Classes   []Class  // at least one

	ValueByWork        bool    // Class.Value is per unit of work, not per request
	PullsMembership    bool    // worker lists arrive only as answers to calls
	ReportsStart       bool    // workers report when a job starts
	ClientsMarkRetries bool    // clients mark their retries
	ReportX0           string  // meaning of Report.X0, such as FreeSlots
	ReportX1           string  // meaning of Report.X1, such as FreeMemory
	CrossZonePrice     float64 // of an attempt in another zone; 0: zones do not matter

	Limits       Limits
	Rules        Rules
	SharedBudget SharedBudget // nil: nothing is shared
}

// Meanings of the report fields X0 and X1 that a dispatcher understands; others are ignored.
const (
	FreeSlots  = "free slots"
	FreeMemory = "free memory"
)

// Effect is how often a request of a class may run.
type Effect uint8

// Effects of a class of requests.
const (
	Idempotent   Effect = iota // may be repeated at will
	Deduplicated               // workers drop repeats with the same key for a limited time
	AtMostOnce                 // must never run twice
)

// DedupScope is the set of workers that drop the repeats of a deduplicated request.
type DedupScope uint8

// Scopes of deduplication.
const (
	DedupAll  DedupScope = iota // every worker
	DedupZone                   // the workers of one zone
	DedupCell                   // the workers of one cell of a zone
)

// covers reports whether worker b drops a repeat of a request that worker a has received.
func (s DedupScope) covers(a, b Member) bool {
	return s == DedupAll || a.Zone == b.Zone && (s == DedupZone || a.Cell == b.Cell)
}

// Class describes one class of requests.
type Class struct {
	Name          string
	Effect        Effect
	DedupScope    DedupScope    // Deduplicated only
	DedupWindow   time.Duration // Deduplicated only: how long workers remember a key
	LatencyTarget time.Duration // an answer within this time is in time
	TargetPerWork float64       // the target grows by this multiple of the request's own work
	ClientTimeout time.Duration // the client's timeout, above 0
	Value         float64       // the value of an answer in time, at least 0; see Settings.ValueByWork
	Kind          int           // index into Settings.Kinds of the required kind, -1 for any
}

// Limits are what a dispatcher may do.
type Limits struct {
	MaxAttempts        int  // per request
	Cancel             bool // attempts may be cancelled
	Probes             bool // workers may be probed
	ConcurrentAttempts bool // several attempts of one request may be in flight
	RetryAfter         bool // clients are told how long to wait
	MaxRetryAfter      time.Duration
	// ConnectTimeout is how long an attempt may take to reach its worker. That time counts against
	// the window of the deduplication key; 0: the host itself keeps attempts within the window.
	ConnectTimeout time.Duration
}

// Rules are the parameters of the platform's rules, which must never be broken.
type Rules struct {
	AnswerGrace          time.Duration // a final answer may come this long after the client's deadline
	MembershipMaxAge     time.Duration // with PullsMembership: older changes count as known
	ColdCapacity         float64       // the share of its capacity that a worker starts with
	WarmupTime           time.Duration // from its start to its full capacity
	ColdOverloadMultiple float64       // a cold worker fails if it gets this multiple of its capacity
	ColdOverloadWindow   time.Duration // within this time

	// RejectedMayHaveRun is set if a worker may also answer Rejected for work that it had begun.
	RejectedMayHaveRun bool
	// RemovedMayServe is set if lists may be wrong: a worker that is listed as Removed, or left out,
	// may still get jobs unless it was seen Draining.
	RemovedMayServe bool
}

// ProvesNotRun reports whether a status proves that the attempt did not run.
func (r Rules) ProvesNotRun(s Status) bool {
	return s == ConnectFailed || s == NotSent || s == Rejected && !r.RejectedMayHaveRun
}

// validate returns an error that names the first invalid setting, or nil.
func (s *Settings) validate() error {
	bad := func(field string) error { return fmt.Errorf("basaltloft: invalid setting %s", field) }
	switch {
	case s.Instances < 1:
		return bad("Instances")
	case s.Rank < 0 || s.Rank >= s.Instances:
		return bad("Rank")
	case len(s.Classes) == 0:
		return bad("Classes")
	case s.Limits.MaxAttempts < 1:
		return bad("Limits.MaxAttempts")
	case s.Rules.ColdCapacity < 0 || s.Rules.ColdCapacity > 1 || math.IsNaN(s.Rules.ColdCapacity):
		return bad("Rules.ColdFrom")
	}
	for i, c := range s.Classes {
		if c.Kind < -1 || c.Kind >= len(s.Kinds) ||
			c.ClientTimeout <= 0 || c.LatencyTarget < 0 || c.TargetPerWork < 0 || c.Value < 0 {
			return bad(fmt.Sprintf("Classes[%d]", i))
		}
	}
	return nil
}
