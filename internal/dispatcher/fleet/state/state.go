// Package state is the replicated state machine of a fleet. Every replica applies the same
// commands in the same order, so it does no I/O, reads no clock and draws no random
// numbers: time and randomness travel in the commands, and the same log gives the same
// bytes at every replica.
//
// The machine itself keeps the membership of the fleet, by leases with fencing numbers, and
// the replies to recent commands, so that a repeated command has its effect once.
// Everything else is kept by its partitions (package partition). A Machine is not safe for
// concurrent use; package raftnode serializes access to it.
package state

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// Version is the version of encoded commands and snapshots. Other versions are refused.
const Version = 1

// Command is one entry of the replicated log.
type Command struct {
	Version     uint8         `cbor:"V"` // see Version
	At          time.Duration // fleet time at which the command takes effect; set by the leader
	Process     string        // the issuing process; empty: the raft nodes themselves
	Incarnation uint64        // fencing number from the process's join
	Seq         uint64        // sequence number within the incarnation, from 1; 0: applying it twice does no harm
	Acked       uint64        // the replies to all commands up to this one have arrived
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

// Code tells whether a command was carried out.
type Code uint8

// Codes of replies. All but OK have changed nothing.
const (
	OK      Code = iota
	Fenced       // a newer incarnation is in force, or this one's lease has expired: the process must join again
	Refused      // refused by the partition, for the reason in Text
	Bad          // the command can't be decoded
)

// Errors that Reply.Err wraps, one for each code.
var (
	ErrFenced  = errors.New("this incarnation is not in force")
	ErrRefused = errors.New("refused by the state")
	ErrBad     = errors.New("the state can't read the command")
)

// Err returns nil for OK, and else an error that wraps ErrFenced, ErrRefused or ErrBad.
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

// Partition is an independent part of the state, such as the budgets or the plan runs. Its
// methods are called one at a time, in the order of the log, and must be deterministic.
type Partition interface {
	// Name returns the partition's name, which is the prefix of its kinds.
	Name() string
	// Apply carries out a command of a process whose incarnation is in force. If it returns an
	// error, nothing has changed.
	Apply(c Command, index uint64) (body []byte, err error)
	// Check validates settings; SetSettings and Set are called with validated ones only.
	Check(settings []byte) error
	Set(at time.Duration, settings []byte) error
	// Renew processes what a lease renewal says to this partition, and returns the answer.
	Renew(c Command, body []byte) (reply []byte, err error)
	// IncarnationEnded tells that an incarnation is no longer in force.
	IncarnationEnded(at time.Duration, process string, incarnation uint64, how EndCause)
	// Advance carries out what has become due by a fleet time.
	Advance(at time.Duration)
	// Snapshot returns the partition as it is now, to be written while later commands are
	// applied.
	Snapshot() (Snapshot, error)
	// Restore replaces the partition by what a Snapshot wrote. On an error nothing has
	// changed.
	Restore(io.Reader) error
	// Digest returns a checksum of the partition, which is compared between replicas.
	Digest() (uint64, error)
}

// Snapshot is a state as of one command. Discard must be called when it is no longer
// needed.
type Snapshot struct {
	Write   func(io.Writer) error // writes the snapshot
	Release func()                // frees its resources; nil: there are none
}

// Discard frees the snapshot's resources.
func (f Snapshot) Discard() {
	if f.Release != nil {
		f.Release()
	}
}

// EndCause tells why an incarnation is no longer in force.
type EndCause uint8

// Causes.
const (
	Expired  EndCause = iota // its lease expired: the process may be partitioned or stopped, and what it sent may still run
	Left                     // it announced a planned shutdown
	Replaced                 // a newer incarnation of the same process joined
)

// Member is a process of the fleet with its lease. It is stored by the field names in its
// tags.
type Member struct {
	Process         string
	Incarnation     uint64
	Nonce           string            // identifies the process start that joined
	JoinedAt        time.Duration     `cbor:"Since"` // fleet time
	LeaseEnd        time.Duration     `cbor:"Until"` // fleet time
	Version         string            // of the program
	AnsweredThrough uint64            `cbor:"Floor"`   // replies to commands up to this sequence number are forgotten
	Replies         []rememberedReply `cbor:"Answers"` // to later commands, ascending by sequence number
}

type rememberedReply struct {
	Seq   uint64
	Reply Reply
}

// maxRememberedReplies bounds the replies remembered for one process: the number of
// commands that it may have pending at once.
const maxRememberedReplies = 1024

// Machine is one replica's state.
type Machine struct {
	settings   settingsInForce
	now        time.Duration
	index      uint64
	members    []*Member // sorted by name
	digests    digestReports
	boots      []bootCount // by process
	partitions []Partition
}

// DefaultLease is the lease duration until the operators set one.
const DefaultLease = 3 * time.Second

// New returns an empty state with these partitions.
func New(parts ...Partition) *Machine {
	return &Machine{settings: settingsInForce{Lease: DefaultLease}, partitions: parts}
}

// At returns the fleet time of the last command.
func (m *Machine) At() time.Duration { return m.now }

// Index returns the log index of the last command.
func (m *Machine) Index() uint64 { return m.index }

// Members returns the members in force, sorted by name. The caller must not change them.
func (m *Machine) Members() []*Member { return m.members }

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

// Apply carries out the log entry at an index.
func (m *Machine) Apply(index uint64, text []byte) Reply {
	m.index = index
	c, err := Decode(text)
	if err != nil { // a log written by a newer program: refused alike everywhere
		return Reply{Code: Bad, Text: err.Error()}
	}
	m.now = max(m.now, c.At)
	c.At = m.now
	m.advance()
	switch c.Kind {
	case Tick:
		return Reply{}
	case Join:
		return m.join(c, index)
	case ReportDigests:
		return m.recordDigests(c)
	case ReportBoot:
		return m.recordBoot(c)
	}
	who, r := m.member(c)
	if who == nil {
		return r
	}
	if c.Seq != 0 {
		if old, ok := who.rememberedReply(c.Seq); ok {
			return old
		}
	}
	r = m.execute(who, c, index)
	if c.Seq != 0 {
		who.rememberReply(c, r)
	}
	return r
}

// member returns the member that issued a command, or nil and the reply for a fenced
// process.
func (m *Machine) member(c Command) (*Member, Reply) {
	i, ok := m.findMember(c.Process)
	if !ok || m.members[i].Incarnation != c.Incarnation {
		return nil, Reply{Code: Fenced, Text: fmt.Sprintf("%s %d", c.Process, c.Incarnation)}
	}
	return m.members[i], Reply{}
}

func (m *Machine) execute(who *Member, c Command, index uint64) Reply {
	switch c.Kind {
	case Renew:
		return m.renew(who, c)
	case SetSettings:
		return m.applySettings(c)
	case Leave:
		m.endIncarnation(who, Left)
		return Reply{}
	}
	for _, p := range m.partitions {
		if c.Kind.belongsTo(p.Name()) {
			body, err := p.Apply(c, index)
			return replyOf(body, err)
		}
	}
	return Reply{Code: Bad, Text: fmt.Sprintf("no part has commands of kind %q", c.Kind)}
}

func replyOf(body []byte, err error) Reply {
	switch {
	case errors.Is(err, ErrBad):
		return Reply{Code: Bad, Text: err.Error()}
	case err != nil:
		return Reply{Code: Refused, Text: err.Error()}
	}
	return Reply{Body: body}
}

// advance ends expired leases, in the order of names, and advances the partitions.
func (m *Machine) advance() {
	for i := 0; i < len(m.members); {
		if who := m.members[i]; who.LeaseEnd <= m.now {
			m.endIncarnation(who, Expired)
			continue
		}
		i++
	}
	for _, p := range m.partitions {
		p.Advance(m.now)
	}
}

func (m *Machine) findMember(process string) (int, bool) {
	return slices.BinarySearchFunc(m.members, process, func(x *Member, name string) int {
		switch {
		case x.Process < name:
			return -1
		case x.Process > name:
			return 1
		}
		return 0
	})
}

// endIncarnation removes a member and tells the partitions.
func (m *Machine) endIncarnation(who *Member, how EndCause) {
	if i, ok := m.findMember(who.Process); ok && m.members[i] == who {
		m.members = slices.Delete(m.members, i, i+1)
	}
	for _, p := range m.partitions {
		p.IncarnationEnded(m.now, who.Process, who.Incarnation, how)
	}
}

func (x *Member) rememberedReply(seq uint64) (Reply, bool) {
	i, ok := slices.BinarySearchFunc(x.Replies, seq, func(a rememberedReply, s uint64) int { return int(int64(a.Seq - s)) })
	switch {
	case ok:
		return x.Replies[i].Reply, true
	case seq <= x.AnsweredThrough: // a late copy that nobody waits for
		return Reply{Code: Refused, Text: "answered before"}, true
	}
	return Reply{}, false
}

func (x *Member) rememberReply(c Command, r Reply) {
	i, _ := slices.BinarySearchFunc(x.Replies, c.Seq, func(a rememberedReply, s uint64) int { return int(int64(a.Seq - s)) })
	x.Replies = slices.Insert(x.Replies, i, rememberedReply{c.Seq, r})
	x.AnsweredThrough = max(x.AnsweredThrough, c.Acked)
	from := 0
	for from < len(x.Replies) && (x.Replies[from].Seq <= x.AnsweredThrough || len(x.Replies)-from > maxRememberedReplies) {
		x.AnsweredThrough = max(x.AnsweredThrough, x.Replies[from].Seq)
		from++
	}
	x.Replies = slices.Delete(x.Replies, 0, from)
}

// Queryable is a partition that answers queries. A query changes nothing.
type Queryable interface {
	Partition
	Query(kind Kind, body []byte) ([]byte, error)
}

// Partition returns the partition with a name, or nil.
func (m *Machine) Partition(name string) Partition {
	for _, p := range m.partitions {
		if p.Name() == name {
			return p
		}
	}
	return nil
}

// Query answers a query of a partition.
func (m *Machine) Query(kind Kind, body []byte) ([]byte, error) {
	for _, p := range m.partitions {
		if a, ok := p.(Queryable); ok && kind.belongsTo(p.Name()) {
			return a.Query(kind, body)
		}
	}
	return nil, fmt.Errorf("no part answers queries of kind %q", kind)
}

// belongsTo reports whether a kind belongs to a partition.
func (k Kind) belongsTo(part string) bool {
	return len(k) > len(part) && string(k[:len(part)]) == part && k[len(part)] == '/'
}
