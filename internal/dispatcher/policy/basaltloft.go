// Package policy decides, beside each submitter of jobs, which worker
// gets which job and when.
//
// A Dispatcher learns run times per type of job, holds jobs until their
// estimated cost fits a worker's learned budget, and releases them shortest
// expected first, with aging, to the roomiest fitting worker. It is told what
// happens by one method per event and acts through a Host. It keeps no clock,
// starts no goroutine and shares nothing; its methods must not be called
// concurrently.
//
// This file is the interface. The decisions are in dispatcher.go.
package policy

import "time"

// Host carries out a dispatcher's actions. Its methods are called while an
// event is being handled and must not call back into the dispatcher.
type Host interface {
	// Send starts the next attempt of a request. Attempts are numbered 0, 1,
	// 2 ... in the order of their sends. A timeout of 0 means until the client
	// gives up.
	Send(request string, worker uint32, timeout time.Duration)
	// Refuse answers that the request did not run and may be retried.
	Refuse(request string, retryAfter time.Duration)
	// Fail answers that the request failed, with no promise that it never ran.
	Fail(request string)
	// Cancel stops waiting for one attempt.
	Cancel(request string, attempt int)
	// Probe asks a worker for a sign of life and its load report.
	Probe(worker uint32)
	// Timer asks for a Timer event after a delay.
	Timer(in time.Duration, token string)
	// Watch subscribes to changes of the worker list, or ends that.
	Watch(on bool)
	// Fetch asks for the whole worker list once.
	Fetch()
	// Log writes a line for the staff on call.
	Log(text string)
}

// SharedBudget is what this dispatcher may spend of budgets that many share. Its methods
// are called while an event is handled, answer at once and do not call back.
type SharedBudget interface {
	// TakeRetry takes one attempt beyond a request's first from the budget of its
	// class; false: there is none left.
	TakeRetry(request, class string) bool
	// HasHeadroom tells whether one more job may be under way at workers of a kind.
	HasHeadroom(kind string) bool
	// TakeProbe takes one probe.
	TakeProbe() bool
	// ColdShare is the part of what all may send to a cold worker that is this
	// dispatcher's; false: it is not divided, and the dispatcher goes by its rank.
	ColdShare() (part float64, divided bool)
}

// Settings are what a dispatcher is told at its start. All times are
// durations; points in time are durations since a clock of the host's choice.
type Settings struct {
	Seed      uint64 // seeds the random numbers of this instance
	Instances int    // how many dispatchers there are, this one included
	Rank      int    // the number of this instance among them, counting from 0
	Zone      string // zone of this instance
	Kinds     []string
	Classes   []Class

	ValueByWork        bool   // worth is counted per unit of work, not per request
	PullsMembership    bool   // worker lists arrive only when asked for
	ReportsStart       bool   // workers tell when a job starts
	ClientsMarkRetries bool   // clients mark their retries
	ReportX0           string // meaning of Report.X0, such as FreeSlots
	ReportX1           string
	CrossZonePrice     float64 // price of an attempt that crosses zones

	Limits       Limits
	Rules        Rules
	SharedBudget SharedBudget // nil: nothing is shared
}

// FreeSlots and FreeMemory are the meanings of report fields that a
// dispatcher understands; others are ignored.
const (
	FreeSlots  = "free slots"
	FreeMemory = "free memory"
)

// Effect says how often a request may run.
type Effect uint8

// Effects of a class of requests.
const (
	Idempotent   Effect = iota // may be repeated at will
	Deduplicated               // repeats are dropped by the workers of one group, for a time
	AtMostOnce                 // must never run twice
)

// DedupScope says which workers drop the repeats of a keyed request.
type DedupScope uint8

// Groups of workers.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Class describes one class of requests.
type Class struct {
	Name    string
	Effect  Effect
	Group   DedupScope    // Keyed only
	Window  time.Duration // Keyed only: how long repeats are remembered
	Aim     time.Duration // an answer within this time is in time
	Stretch float64       // the aim grows by this multiple of the request's own work
	GiveUp  time.Duration // how long a client waits in total
	Worth   float64
	Kind    int // index into Settings.Kinds of the required kind, -1 for any
}

// Limits are what a dispatcher may do.
type Limits struct {
	MaxAttempts        int // per request
	Cancel             bool
	Probes             bool
	ConcurrentAttempts bool // two attempts of one request may be out together; one is all this module keeps out
	RetryAfter         bool // clients are told how long to wait
	MaxRetryAfter      time.Duration
	// ConnectTimeout is how long an attempt may take to reach its worker, which counts
	// against a key's window; 0: whoever carries attempts holds them to it.
	ConnectTimeout time.Duration
}

// Rules are the figures of the rules that no run may break.
type Rules struct {
	AnswerGrace          time.Duration // a final answer may come this long after the client's deadline
	MembershipMaxAge     time.Duration // AskLists: news older than this counts as told
	ColdCapacity         float64       // share of its capacity that a worker starts with
	WarmupTime           time.Duration // it is warm after this long
	ColdOverloadMultiple float64       // a cold worker falls over at this multiple of its capacity
	ColdOverloadWindow   time.Duration // sent for this long

	// RejectedMayHaveRun says that a worker may also answer Full for work that it
	// had begun, so that Full proves nothing.
	RejectedMayHaveRun bool
	// OnlyDrainBinds says that lists may be wrong: a worker that is listed
	// as Removed, or left out, without having been seen Draining, may still be
	// sent to.
	OnlyDrainBinds bool
}

// ProvesNotRun tells whether a status proves that the attempt did not run.
func (r Rules) ProvesNotRun(s Status) bool {
	return s == ConnectFailed || s == NotSent || s == Rejected && !r.RejectedMayHaveRun
}

// ListKind says what a list event holds.
type ListKind uint8

// Kinds of list events.
const (
	ListDelta    ListKind = iota // the entries that changed
	ListSnapshot                 // the entire list
	ListRestored                 // the entire list as last seen, possibly old
	ListFailed                   // a call for the list failed; no entries
)

// MemberState is the state of a worker in a list.
type MemberState uint8

// States of a listed worker.
const (
	Ready MemberState = iota
	Draining
	Removed
)

// Member is an entry of the worker list.
type Member struct {
	Worker       uint32
	Kind         string
	Cell         int
	Zone         string
	State        MemberState
	StartedAt    time.Duration // its latest start; 0: long past
	Weight       float64       // size beside other workers; 0: not told
	Capabilities []string      // the needs that it serves; nil: all
}

// Request is a client's request.
type Request struct {
	ID             string
	Class          string
	AffinityKey    string        // jobs of one need the same, which workers may keep; empty: not told
	NoDedupKey     bool          // of a keyed class, but workers are told no key that they could know a repeat by
	Hint           time.Duration // estimated work; 0: not told
	Deadline       time.Duration // when the client gives up
	Slots          float64       // slots it takes; 0 counts as 1
	Memory         float64
	Retry          bool   // the client repeats it; see Settings.MarksRetry
	KnownFirst     bool   // it is known to be none, however near its deadline
	NoRetryOnError bool   // an error ends it: whoever sent it tries again by rules of its own
	Capability     string // only workers that offer this may get it; empty: any

	ExcludedWorker uint32 // this one may not get it; 0: none
	ExcludedZone   string // nor may any in this zone; empty: none
}

// Status is how an attempt or probe ended.
type Status uint8

// Outcomes of attempts and probes.
const (
	OK             Status = iota
	Error                 // the worker answered with an error; it may have run
	Rejected              // turned away; see Rules.FullMayHaveRun
	TimedOut              // no answer in time; it may have run, or still run
	ConnectFailed         // no connection was made
	Reset                 // the connection broke; it may have run
	Cancelled             // called off; it may have run
	NotSent               // never sent
	InvalidRequest        // the worker can't use the request, and no other could; it may have run
)

// AttemptResult ends an attempt. Each send gets exactly one.
type AttemptResult struct {
	Request string
	Attempt int
	Worker  uint32
	Status  Status
	Final   bool          // the request has its final answer
	Latency time.Duration // since the send
	Report  Report
}

// ProbeResult is the answer to a probe.
type ProbeResult struct {
	Worker  uint32
	Status  Status
	Latency time.Duration
	Report  Report
}

// Report is a worker's load report. Only the fields in Has were told.
type Report struct {
	Has        ReportField
	InFlight   float64 // requests it holds
	Queue      float64 // requests waiting
	Util       float64 // share of its cores in use
	LatencyMS  float64 // recent service time
	QPS        float64 // requests served a second
	ErrorsPerS float64
	X0, X1     float64 // see Settings.ReportX0
}

// ReportField is a set of report fields.
type ReportField uint8

// Fields of a report.
const (
	HasInFlight ReportField = 1 << iota
	HasQueue
	HasUtil
	HasLatency
	HasQPS
	HasErrors
	HasX0
	HasX1
)

// UpdateKind says what a note tells.
type UpdateKind uint8

// Topics of notes.
const (
	UpdateStarted  UpdateKind = 1
	UpdateProgress UpdateKind = 2
)

// AttemptUpdate is news of an attempt that is still out.
type AttemptUpdate struct {
	Request string
	Attempt int
	Worker  uint32
	Kind    UpdateKind
	Value   float64 // NoteProgress: the share done
}

// StreamStart tells that a streamed answer has started; the attempt now belongs to
// the client.
type StreamStart struct {
	Request string
	Attempt int
	Worker  uint32
}
