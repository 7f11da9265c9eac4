package engine

import (
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// Transaction is one request of a client, whatever wire it came by. What is exported is set before
// Submit and never changes, but for LedgerEntry; the rest is the engine's.
type Transaction struct {
	ID, Class, Tenant string
	Front             string // the name of the front that took it
	Target            string // path and raw query, where the client's wire has them
	Key               string // the idempotency key
	AffinityKey       string // see policy.Request; empty: none
	Body              []byte
	BodyFormat        string // as the front that took it names it; empty: opaque bytes
	Arrived           time.Time
	Deadline          time.Time     // the final answer is due before this
	Hint              time.Duration // estimated work; 0: not told
	Slots, Memory     float64       // see policy.Request
	NoRetryOnError    bool          // an error ends it; see policy.Request
	ExcludedMember    string        // not to be sent there, or, with ExcludeItsZone, anywhere in its zone
	ExcludeItsZone    bool
	Plan, Stage       string // the plan's run and stage that it is a part of; empty: none
	Capability        string // only members that offer it may get it; empty: any
	Retry             bool
	KnownFirst        bool // known to be no retry; see policy.Request
	Client            Client
	LedgerEntry       any // of whoever implements Stages.RecordAccepted

	attempts        int           // sends that the policy decided, also those that did not go out
	budgetSpent     bool          // the shared budget refused another attempt
	liveFlow        *Flow         // nil: none
	answered        bool          // or its client has left
	class           policy.Class  // as the settings had it when it came
	mayHaveRunSince time.Time     // the send of the first ended attempt that may have run; zero: none
	lastStatus      policy.Status // how the last flow ended
	lastMember      string        // the member of the last flow
	memberError     []byte        // that came with the last error of a member
	membersTried    []string      // see Answer
	deadlineTimer   *timer        // nil: it was never handed to the policy
}

// Client is told the one final answer of its transaction. It must not block.
type Client interface {
	// Answer is called once, by Run's goroutine.
	Answer(Answer)
}

// GoneReporter is a Client that can tell any goroutine whether it has left. It is asked where waiting
// for ClientLeft would be too late; a Gone that is true is followed by ClientLeft.
type GoneReporter interface {
	// Gone reports whether the client has left.
	Gone() bool
}

// Gone reports whether the client is known to have left: no attempt may begin any more.
func (t *Transaction) Gone() bool {
	c, ok := t.Client.(GoneReporter)
	return ok && c.Gone()
}
