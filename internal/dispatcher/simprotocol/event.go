package simprotocol

import (
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// Kind is the kind of an event.
type Kind uint8

// Kinds of events. Each comment begins with the name of the message in the protocol.
const (
	BatchStart        Kind = iota // BEGIN_BATCH
	BatchEnd                      // EOB
	Configure                     // CONFIGURE: an instance starts; an existing one starts again from scratch
	Teardown                      // TEARDOWN: an instance ends
	MembershipChanged             // DISCOVERY
	RequestArrived                // INGRESS
	AttemptEnded                  // COMPLETED
	ProbeAnswered                 // STATUS_BACK
	AttemptUpdated                // STATUS_NOTE: an attempt has started or progressed
	StreamStarted                 // OPENED: the first bytes of an attempt's response have arrived
	ClientGone                    // LAPSED: the client of a request no longer waits for it
	TimerFired                    // ELAPSED
	PeerMessage                   // MEMO: a message from another instance
)

// Event is one event of a batch. Only Kind, Instance, Now and the fields that belong to the kind are
// meaningful. It is valid until the next call of Next.
type Event struct {
	Kind     Kind
	Instance string        // the instance that the event is for; empty for BatchStart
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
