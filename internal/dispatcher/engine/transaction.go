package engine

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/policy"
)

// Transaction is one request of a client, whatever wire it came by. What is
// exported is set before Submit and never changes; the rest is the core's.
type Transaction struct {
	ID, Class, Tenant string
	Front             string // the front that took it
	Target            string // path and raw query, where the client's wire has them
	Key               string // the idempotency key
	AffinityKey       string // what it is about; empty: not told
	Body              []byte
	BodyFormat        string // what the body is, in the words of the front that took it; empty: opaque bytes
	Arrived           time.Time
	Deadline          time.Time // the final answer is due before this
	Hint              time.Duration
	Slots, Memory     float64
	NoRetryOnError    bool   // an error ends it; see basaltloft.Request
	ExcludedMember    string // not to be sent there, or, with NotItsZone, anywhere in that one's zone
	ExcludeItsZone    bool
	Plan, Stage       string // that it is a part of; empty: none
	Capability        string // only members that offer it may have this one; empty: any
	Retry             bool
	KnownFirst        bool // known to be no retry; see basaltloft.Request
	Client            Client
	LedgerEntry       any // the books' own

	attempts        int
	budgetSpent     bool // another attempt was not to be had of the fleet's budget
	liveFlow        *Flow
	answered        bool
	class           policy.Class  // as the settings had it when it came
	mayHaveRunSince time.Time     // when the first attempt was sent that has ended and may have run; zero: none
	lastStatus      policy.Status // how the last flow ended
	lastMember      string        // the member of the last flow
	memberError     []byte        // with the last error of a member
	membersTried    []string      // see Answer.Went
	deadlineTimer   *timer        // its deadline
}

// Client is told the one final answer of its transaction. It must not block.
type Client interface {
	Answer(Answer)
}

// GoneReporter is a Client that can tell, to any goroutine, whether it has left. It is
// asked where waiting to be told by Leave would be too late. One that says yes is
// followed by Leave.
type GoneReporter interface {
	Gone() bool
}

// Gone tells whether the client is known to have left: no attempt may begin any more.
func (t *Transaction) Gone() bool {
	c, ok := t.Client.(GoneReporter)
	return ok && c.Gone()
}

// Verdict is the kind of a final answer.
type Verdict uint8

// Kinds of final answers.
const (
	Served  Verdict = iota
	Refused         // it did not run, or may safely run again
	Failed          // no promise that it never ran
	Denied          // bad input
)

var verdictNames = [...]string{"served", "refused", "failed", "denied"}

func (v Verdict) String() string { return verdictNames[v] }

// Outcome is what a verdict counts as. What is denied failed: nobody promises
// that a request which a member calls bad did not run.
func (v Verdict) Outcome() accounting.Outcome {
	return [...]accounting.Outcome{Served: accounting.Served, Refused: accounting.Refused, Failed: accounting.Failed, Denied: accounting.Failed}[v]
}

// Answer is the one final answer of a transaction.
type Answer struct {
	Verdict Verdict
	Body    []byte
	RetryAt time.Time // Refused: when to come back; zero: no advice
	Reason  accounting.Reason
	Ran     bool // Refused: a member has run it and called it failed, which its class lets be repeated

	// What came before it, for who decides what follows; the core sets them.
	Attempts     int           // flows
	MayHaveRun   bool          // at some member, or may yet
	LastStatus   policy.Status // how the last flow ended; of no meaning without flows
	LastMember   string        // that the last flow went to
	MemberError  []byte        // with the last error of a member
	MembersTried []string      // the members of all flows, where the core was told to keep them
}

// Flow is a server-side flow: one attempt of a transaction at a pool member.
type Flow struct {
	Transaction *Transaction
	Member      *Member
	Number      int
	SentAt      time.Time
	Deadline    time.Time // nobody waits for it any longer then
	// LatestSend is when a repeat of a keyed request must have reached its member whole:
	// later it could be one that the members no longer know, and would run again. A
	// carrier that is late lets it be and ends the flow as Moot. Zero: no matter.
	LatestSend     time.Time
	TransportState any // the carrier's own; only its Start and Abandon touch it
	// Load is the member's load report that came with the answer that ends the
	// flow; only the fields in Load.Has were told. The core's goroutine alone touches it.
	Load policy.Report

	ended         bool
	reservation   Reservation // among what is under way in the fleet; nil: none is needed
	deadlineTimer *timer      // its deadline
}

// TooLate tells whether it is too late to hand a flow to its member.
func (f *Flow) TooLate(now time.Time) bool {
	return !f.LatestSend.IsZero() && !now.Before(f.LatestSend)
}

// Member is a pool member: something that runs jobs.
type Member struct {
	ID, Addr, Kind, Zone string
	Group                string // what its jobs are counted under; empty: its source
	Cell                 int
	State                policy.MemberState
	Weight               float64
	Capabilities         []string  // the needs that it serves; nil: all
	Started              time.Time // its latest start; zero: long ago
	Transport            Transport

	source string
	number uint32
}

// Number is what the decisions call the member: the same at every dispatcher.
func (m *Member) Number() uint32 { return m.number }

// Transport takes flows to the members of one wire. Its methods are called by
// the core's goroutine and must not block. Each flow that is started is ended
// once with Core.End; ending it again does no harm.
type Transport interface {
	Start(*Flow)
	// Abandon drops a flow for which nobody waits any more.
	Abandon(*Flow)
	// Recall asks a flow back whose transaction is to go elsewhere, and ends it
	// once the member has heard: until then a second attempt would run beside
	// it. Where the member can't be told the flow stays.
	Recall(*Flow)
	// EndedOutOfBand tells that the member has told the end of a flow otherwise than on the
	// flow's own connection: what is still held for it is given back.
	EndedOutOfBand(*Flow)
	Probe(*Member)
}

// Lister follows the list of members for the decisions. It must not block.
type Lister interface {
	Watch(on bool)
	Fetch()
}

// Load is what the core holds.
type Load struct {
	Open  int // transactions without a final answer
	Bytes int // of their bodies
	// RetryDelay is how long what comes now should stay away, since events are handled
	// late; 0: they are handled in time.
	RetryDelay time.Duration
}

// Stages are the steps of a transaction between its taking in and its end.
type Stages interface {
	// RecordAccepted books a transaction that is taken.
	RecordAccepted(t *Transaction, now time.Time)
	// Admit returns the final answer of a transaction that is not let in.
	Admit(t *Transaction, load Load, now time.Time) *Answer
	// Route puts a transaction into the words of the decisions.
	Route(t *Transaction) policy.Request
	// NewFlow makes the flow that the decisions asked for.
	NewFlow(t *Transaction, m *Member, number int, now, until time.Time) *Flow
	// Relay tells what a flow's end means for its client: an answer, or
	// nothing yet.
	Relay(f *Flow, s policy.Status, result []byte, now time.Time) *Answer
	// RecordEnd writes down a final answer, or that the client is owed none any more.
	RecordEnd(t *Transaction, a Answer, now time.Time)
}
