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
	Refused         // it did not run, or may safely run again
	Failed          // no promise that it never ran
	Denied          // bad input
)

var verdictNames = [...]string{"served", "refused", "failed", "denied"}

// String returns the verdict's name in logs.
func (v Verdict) String() string { return verdictNames[v] }

// Outcome is what a verdict counts as. A denied request counts as failed: one that a member calls
// invalid may have run.
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
	RetryAt time.Time // Refused: when to try again; zero: no advice
	Reason  accounting.Reason
	Ran     bool // Refused: a member has run it and failed, which its class lets be repeated

	// What came before it; the engine sets them.
	Attempts     int           // sends, of which some may not have gone out
	MayHaveRun   bool          // at some member, or may yet
	LastStatus   policy.Status // how the last flow ended; without meaning if there was none
	LastMember   string        // that the last flow went to
	MemberError  []byte        // with the last error of a member
	MembersTried []string      // of all flows; see Engine.RecordMembersTried
}
