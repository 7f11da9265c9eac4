package policy

import "time"

// ListKind says what HandleMembers is given.
type ListKind uint8

// Kinds of lists.
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
	Ready    MemberState = iota
	Draining             // it gets no new work until a later start
	Removed
)

// Member is an entry of the worker list.
type Member struct {
	Number       uint32 // its id
	Kind         string // one of Settings.Kinds
	Cell         int    // within its zone
	Zone         string
	State        MemberState
	StartedAt    time.Duration // its latest start; 0: long past
	Weight       float64       // size beside other workers; 0: not told
	Capabilities []string      // that it offers; nil: all
}

// Request is a client's request.
type Request struct {
	ID             string        // unique among the requests in hand
	Class          string        // the name of one of Settings.Classes
	AffinityKey    string        // jobs of one key need the same data, which workers may keep; empty: none
	NoDedupKey     bool          // workers are told no key, so that they know no repeat
	Hint           time.Duration // estimated work; 0: not told
	Deadline       time.Duration // when the client gives up
	Slots          float64       // that it takes; 0 counts as 1
	Memory         float64       // that it takes, in the unit of the reports
	Retry          bool          // a client's retry; see Settings.ClientsMarkRetries
	KnownFirst     bool          // known to be no retry, however near its deadline
	NoRetryOnError bool          // an error ends it: its sender retries by rules of its own
	Capability     string        // only workers that offer it may get the request; empty: any

	ExcludedWorker uint32 // this one may not get it; 0: none
	ExcludedZone   string // nor may any in this zone; empty: none
}

// Status is how an attempt or probe ended.
type Status uint8

// Ends of attempts and probes.
const (
	OK             Status = iota
	Error                 // the worker answered with an error; it may have run
	Rejected              // the worker had no room; see Rules.RejectedMayHaveRun
	TimedOut              // no answer in time; it may have run, or still run
	ConnectFailed         // no connection was made
	Reset                 // the connection broke; it may have run
	Cancelled             // it may have run
	NotSent               // never sent
	InvalidRequest        // the worker can't use the request, and no other could; it may have run
)

// AttemptResult is how an attempt ended. Each send gets exactly one.
type AttemptResult struct {
	Request string
	Attempt int
	Worker  uint32
	Status  Status
	Final   bool          // the request has its final answer
	Latency time.Duration // since the send
	Report  Report        // that came with it, if any
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
	InFlight   float64 // requests that it holds
	Queue      float64 // requests waiting
	Util       float64 // share of its cores in use
	LatencyMS  float64 // recent service time, in milliseconds
	QPS        float64 // requests served a second
	ErrorsPerS float64
	X0, X1     float64 // see Settings.ReportX0 and ReportX1
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

// UpdateKind says what an AttemptUpdate tells.
type UpdateKind uint8

// Kinds of updates. The simulator's line protocol carries the numbers.
const (
	UpdateStarted  UpdateKind = 1 // the attempt runs
	UpdateProgress UpdateKind = 2
)

// AttemptUpdate is news of an attempt in flight.
type AttemptUpdate struct {
	Request string
	Attempt int
	Worker  uint32
	Kind    UpdateKind
	Value   float64 // UpdateProgress: the share done, 0 to 1
}

// StreamStart reports that a streamed answer has started; the attempt now belongs to the client.
type StreamStart struct {
	Request string
	Attempt int
	Worker  uint32
}
