package simprotocol

import (
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// Kind is the kind of an event.
type Kind uint8

// Kinds of events, each with the protocol's name of its message.
const (
	BatchStart        Kind = iota // BEGIN_BATCH
	BatchEnd                      // EOB
	Configure                     // CONFIGURE: an instance starts, anew if it is known
	Teardown                      // TEARDOWN: an instance ends
	MembershipChanged             // DISCOVERY
	RequestArrived                // INGRESS
	AttemptEnded                  // COMPLETED
	ProbeAnswered                 // STATUS_BACK
	AttemptUpdated                // STATUS_NOTE: an attempt has started or progressed
	StreamStarted                 // OPENED: the first bytes of an attempt's answer
	ClientGone                    // LAPSED: the client of a request has left
	TimerFired                    // ELAPSED
	PeerMessage                   // MEMO: from another instance
)

// Event is one event of a batch. Only the fields of its kind are set. It is valid until the next
// call of Next.
type Event struct {
	Kind     Kind
	Instance string        // whose event it is; empty for BatchStart
	Now      time.Duration // the batch's time, since the start of the simulation

	Settings      policy.Settings
	ListKind      policy.ListKind
	Members       []policy.Member
	Request       policy.Request
	AttemptResult policy.AttemptResult
	ProbeResult   policy.ProbeResult
	AttemptUpdate policy.AttemptUpdate
	StreamStart   policy.StreamStart
	RequestID     string // of ClientGone
	TimerToken    string // of TimerFired
}
