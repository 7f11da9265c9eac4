package state

import (
	"errors"
	"fmt"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// Command is one entry of the replicated log.
type Command struct {
	Version     uint8         `cbor:"V"` // see Version
	At          time.Duration // fleet time at which the command takes effect; set by the leader
	Process     string        // the issuing process; empty: the raft nodes themselves
	Incarnation uint64        // fencing number from the process's join
	Seq         uint64        // sequence number within the incarnation, from 1; 0: applying it twice does no harm
	Acked       uint64        // the sender has the replies to all commands up to this sequence number
	Kind        Kind
	Body        []byte // the command's body for its kind, encoded by codec
}

// Kind names a command or a query. Kinds of a partition are "<partition>/<name>".
type Kind string

// Kinds of the machine itself.
const (
	Tick          Kind = "tick"  // advances the fleet time; a non-empty body asks for digests
	Join          Kind = "join"  // a JoinBody, answered with a JoinReply
	Renew         Kind = "renew" // a RenewBody, answered with a RenewReply
	Leave         Kind = "leave" // no body: a planned shutdown
	ReportDigests Kind = "sums"  // a DigestsBody
	ReportBoot    Kind = "boot"  // a BootBody
	SetSettings   Kind = "set"   // a FleetSettings
)

// Reply is the result of a command. The same command gives the same reply at every replica.
type Reply struct {
	Code Code
	Text string // the reason, if Code is not OK
	Body []byte
}

// Code is the result of a command: OK, or why it was not carried out.
type Code uint8

// Codes of replies. A command that is answered with any code but OK has changed nothing.
const (
	OK      Code = iota
	Fenced       // a newer incarnation is in force, or this one's lease has expired: the process must join again
	Refused      // refused by the partition, for the reason in Text
	Bad          // the command can't be decoded
)

// Errors that Reply.Err wraps, one for each code but OK.
var (
	// ErrFenced is returned for a reply with the code Fenced.
	ErrFenced = errors.New("this incarnation is not in force")
	// ErrRefused is returned for a reply with the code Refused.
	ErrRefused = errors.New("refused by the state")
	// ErrBad is returned for a reply with the code Bad, and for a command that can't be decoded.
	// Replies contain its text, and replies are stored in the replicated state.
	ErrBad = errors.New("the state can't read the command")
)

// Err returns nil for OK, and otherwise an error that wraps ErrFenced, ErrRefused or ErrBad.
func (r Reply) Err() error {
	switch r.Code {
	case OK:
		return nil
	case Fenced:
		return fmt.Errorf("%w: %s", ErrFenced, r.Text)
	case Refused:
		return fmt.Errorf("%w: %s", ErrRefused, r.Text)
	default:
		return fmt.Errorf("%w: %s", ErrBad, r.Text)
	}
}

// Decode decodes a log entry. Its errors wrap ErrBad.
func Decode(text []byte) (Command, error) {
	var c Command
	if err := codec.Decode(text, &c); err != nil {
		return c, fmt.Errorf("%w: %w", ErrBad, err)
	}
	if c.Version != Version {
		return c, fmt.Errorf("%w: version %d, this program reads %d", ErrBad, c.Version, Version)
	}
	return c, nil
}

// belongsTo reports whether a kind belongs to a partition.
func (k Kind) belongsTo(part string) bool {
	return len(k) > len(part) && string(k[:len(part)]) == part && k[len(part)] == '/'
}
