package engine

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/policy"
)

// Verdict is the kind of a final answer.
type Verdict uint8

// Kinds of final answers.
const (
	Served  Verdict = iota
	Refused         // the request did not run, or may safely run again
	Failed          // the request may have run
	Denied          // the request is invalid
)

var verdictNames = [...]string{"served", "refused", "failed", "denied"}

// String returns the verdict's name in logs.
func (v Verdict) String() string { return verdictNames[v] }

// Outcome returns the outcome that the verdict is counted under. A denied request counts as failed, since
// a request that a member calls invalid may have run.
func (v Verdict) Outcome() accounting.Outcome {
	switch v {
	case Served:
		return accounting.Served
	case Refused:
		return accounting.Refused
	}
	return accounting.Failed
}

// Answer is the one final answer of a transaction.
type Answer struct {
	Verdict Verdict
	Body    []byte    // Served: the result; Denied: a text for the client
	RetryAt time.Time // Refused: when the client should retry; zero: not stated
	Reason  accounting.Reason
	Ran     bool // Refused: a member ran the request and failed; its class allows it to run again

	// History of the transaction, set by the engine.
	Attempts     int           // sends that the policy decided, including those that did not go out
	MayHaveRun   bool          // a member may have run the request, or may still run it
	LastStatus   policy.Status // how the last flow ended; meaningless if there was none
	LastMember   string        // id of the member of the last flow
	MemberError  []byte        // body of a member's last error
	MembersTried []string      // ids of the members of all flows; see Engine.RecordMembersTried
}
