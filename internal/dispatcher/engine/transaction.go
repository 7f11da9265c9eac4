package engine

import (
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// Transaction is one request of a client, by any wire protocol. The exported fields are set before Submit
// and never change, except LedgerEntry; the others belong to the engine.
type Transaction struct {
	ID, Class, Tenant string
	Front             string // the name of the front that accepted it
	Target            string // path and raw query, if the client's protocol has them
	Key               string // the idempotency key
	AffinityKey       string // see policy.Request; empty: none
	Body              []byte
	BodyFormat        string // the front's name of the body's format; empty: opaque bytes
	Arrived           time.Time
	Deadline          time.Time     // the final answer is due before this
	Hint              time.Duration // estimated work; 0: unknown
	Slots, Memory     float64       // see policy.Request
	NoRetryOnError    bool          // a member's error ends it; see policy.Request
	ExcludedMember    string        // id of a member that must not get it; see ExcludeItsZone
	ExcludeItsZone    bool          // no member of the excluded member's zone may get it
	Plan, Stage       string        // the run and the stage of the plan that it belongs to; empty: none
	Capability        string        // only members that offer this capability may get it; empty: any
	Retry             bool
	KnownFirst        bool // known not to be a retry; see policy.Request
	Client            Client
	LedgerEntry       any // set and used by the implementation of Stages

	attempts        int           // sends that the policy decided, including those that did not go out
	budgetSpent     bool          // the shared budget refused another attempt
	liveFlow        *Flow         // nil: none
	answered        bool          // it has its final answer, or its client has left
	class           policy.Class  // the settings of its class when it arrived
	mayHaveRunSince time.Time     // the send of the first ended attempt that may have run; zero: none
	lastStatus      policy.Status // how the last flow ended
	lastMember      string        // the member of the last flow
	memberError     []byte        // body of a member's last error
	membersTried    []string      // see Answer
	deadlineTimer   *timer        // nil: it was never passed to the policy
}

// Client receives the one final answer of its transaction. Its method must not block.
type Client interface {
	// Answer delivers the final answer. It is called once, by Run's goroutine.
	Answer(Answer)
}

// GoneReporter is a Client that can report whether it has left. The engine calls Gone where waiting
// for ClientLeft would be too late; once Gone returns true, ClientLeft follows.
type GoneReporter interface {
	// Gone reports whether the client has left. It may be called by any goroutine.
	Gone() bool
}

// Gone reports whether the client is known to have left. No attempt may begin after that.
func (t *Transaction) Gone() bool {
	c, ok := t.Client.(GoneReporter)
	return ok && c.Gone()
}
