package policy

import "time"

// ListKind is the kind of list that HandleMembers is given.
type ListKind uint8

// Kinds of lists.
const (
	ListDelta    ListKind = iota // the entries that changed
	ListSnapshot                 // the entire list
	ListRestored                 // the entire list as last seen, possibly old
	ListFailed                   // a call for the list failed; there are no entries
)

// MemberState is the state of a worker in a list.
type MemberState uint8

// States of a listed worker.
const (
	Ready    MemberState = iota
	Draining             // it gets no new work until it is restarted
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
	Weight       float64       // size relative to other workers; 0: unknown
	Capabilities []string      // the ones it offers; nil: all
}

// Request is a client's request.
type Request struct {
	ID             string        // unique among the open requests
	Class          string        // the name of one of Settings.Classes
	AffinityKey    string        // jobs of one key need the same data, which workers may keep; empty: none
	NoDedupKey     bool          // workers get no deduplication key, so they can't detect a repeat
	Hint           time.Duration // estimated run time; 0: unknown
	Deadline       time.Duration // when the client gives up
	Slots          float64       // slots that it takes; 0 counts as 1
	Memory         float64       // memory that it takes, in the unit of the reports
	Retry          bool          // a client's retry; see Settings.ClientsMarkRetries
	KnownFirst     bool          // known to be a first try, however near its deadline is
	NoRetryOnError bool          // an error ends it: its sender has its own rules for retries
	Capability     string        // only workers that offer it may get the request; empty: any

	ExcludedWorker uint32 // this worker must not get it; 0: none
	ExcludedZone   string // no worker in this zone may get it; empty: none
}

// Status is the way in which an attempt or probe ended.
type Status uint8

// Ends of attempts and probes.
const (
	OK             Status = iota
	Error                 // the worker answered with an error; it may have run
	Rejected              // the worker had no capacity; see Rules.RejectedMayHaveRun
	TimedOut              // no answer in time; it may have run, or still run
	ConnectFailed         // no connection was made
	Reset                 // the connection broke; it may have run
	Cancelled             // it may have run
	NotSent               // never sent
	InvalidRequest        // the request is invalid at every worker; it may have run
)

// AttemptResult is the end of an attempt. Each send gets exactly one.
type AttemptResult struct {
	Request string
	Attempt int
	Worker  uint32
	Status  Status
	Final   bool          // the request has its final answer
	Latency time.Duration // since the send
	Report  Report        // the load report that came with it, if any
}

// ProbeResult is the answer to a probe.
type ProbeResult struct {
	Worker  uint32
	Status  Status
	Latency time.Duration
	Report  Report
}

// Report is a worker's load report. Only the fields in Has were reported.
type Report struct {
	Has        ReportField
	InFlight   float64 // requests at the worker
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

// UpdateKind is the kind of an AttemptUpdate.
type UpdateKind uint8

// Kinds of updates. The simulator's line protocol carries the numbers.
const (
	UpdateStarted  UpdateKind = 1 // the attempt has started to run
	UpdateProgress UpdateKind = 2
)

// AttemptUpdate is an update about an attempt in flight.
type AttemptUpdate struct {
	Request string
	Attempt int
	Worker  uint32
	Kind    UpdateKind
	Value   float64 // UpdateProgress: the share done, 0 to 1
}

// StreamStart reports that a streamed answer has started. From then on the attempt serves the client
// directly and is not retried.
type StreamStart struct {
	Request string
	Attempt int
	Worker  uint32
}
