// Package state is the replicated state of a fleet: a machine to which every
// replica applies the same commands in the same order. It does no I/O, reads no
// clock and draws no random numbers: time and chance travel in the commands, so
// that the same log gives the same bytes everywhere.
//
// The machine itself keeps who is in the fleet, by leases with fencing numbers,
// and which commands were answered already. All else is kept by its parts.
package state

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// Version is that of commands and snapshots. Another one is refused, not guessed at.
const Version = 1

// Command is one entry of the log.
type Command struct {
	Version     uint8         `cbor:"V"`
	At          time.Duration // fleet time at which it counts; the leader sets it
	Process     string        // who asks; empty: the keepers themselves
	Incarnation uint64        // the fencing number that its join gave it
	Seq         uint64        // counts this incarnation's commands; 0: may be applied twice without harm
	Acked       uint64        // answers to all commands up to this one have arrived
	Kind        Kind
	Body        []byte // the command of that kind, by codec
}

// Kind names what a command asks for.
type Kind string

// Kinds of the machine itself. A part's kinds begin with its name and a slash.
const (
	Tick          Kind = "tick"  // time goes on
	Join          Kind = "join"  // JoinBody
	Renew         Kind = "renew" // RenewBody
	Leave         Kind = "leave" // no body: a planned end
	ReportDigests Kind = "sums"  // SumsBody
	ReportBoot    Kind = "boot"  // BootBody
	SetSettings   Kind = "set"   // SetBody
)

// Reply is what a command comes to. The same command gives the same reply at
// every replica.
type Reply struct {
	Code Code
	Text string // why not
	Body []byte
}

// Code tells whether a command was carried out.
type Code uint8

// Codes of replies. All but OK changed nothing.
const (
	OK      Code = iota
	Fenced       // a newer incarnation is in force, or this one's lease has ended: join again
	Refused      // the part says no, for the reason in Text
	Bad          // the command can't be read
)

// Errors for the codes.
var (
	ErrFenced  = errors.New("this incarnation is not in force")
	ErrRefused = errors.New("refused by the state")
	ErrBad     = errors.New("the state can't read the command")
)

// Err is the reply as an error; nil where it was carried out.
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

// Partition is a part of the state. Its methods are called in the order of the log.
type Partition interface {
	// Name is the part's; the kinds of its commands begin with it and a slash.
	Name() string
	// Apply carries out a command of a process that is in force. An error refuses
	// it; nothing may have changed then.
	Apply(c Command, index uint64) (body []byte, err error)
	// Check tells what is wrong with settings; Set takes ones in that were checked.
	Check(settings []byte) error
	Set(at time.Duration, settings []byte) error
	// Renew takes in what a renewal says to this part, and says what it is told.
	Renew(c Command, body []byte) (reply []byte, err error)
	// IncarnationEnded tells that an incarnation is out of force: its lease ended, it left, or
	// a newer one of the same name joined.
	IncarnationEnded(at time.Duration, process string, incarnation uint64, how EndCause)
	// Advance carries out what falls due by fleet time.
	Advance(at time.Duration)
	// Snapshot takes the part as it is now, while later commands are applied.
	Snapshot() (Snapshot, error)
	// Restore replaces the part by what Freeze wrote. On an error nothing has changed.
	Restore(io.Reader) error
	// Digest sums the part up.
	Digest() (uint64, error)
}

// Snapshot is a state as it was at one command.
type Snapshot struct {
	Write   func(io.Writer) error
	Release func() // once it is not needed any more; nil: nothing is held
}

// Discard releases it.
func (f Snapshot) Discard() {
	if f.Release != nil {
		f.Release()
	}
}

// EndCause says how an incarnation went out of force.
type EndCause uint8

// Ways to go.
const (
	Expired  EndCause = iota // its lease ended: it may be cut off or frozen, and what it sent may run
	Left                     // it said so
	Replaced                 // a newer incarnation joined
)

// Member is a process of the fleet.
type Member struct {
	Process         string
	Incarnation     uint64
	Nonce           string            // of the start that joined
	JoinedAt        time.Duration     `cbor:"Since"` // fleet time of the join
	LeaseEnd        time.Duration     `cbor:"Until"` // its lease ends then
	Version         string            // of the program
	AnsweredThrough uint64            `cbor:"Floor"`   // commands up to this one are answered, and forgotten
	Replies         []rememberedReply `cbor:"Answers"` // above it, in order
}

type rememberedReply struct {
	Seq   uint64
	Reply Reply
}

// maxRememberedReplies bounds what is remembered for one process: the commands that it may
// have under way at once.
const maxRememberedReplies = 1024

// Machine is one replica's state.
type Machine struct {
	settings   settingsInForce
	now        time.Duration
	index      uint64
	members    []*Member // by name
	digests    digestReports
	boots      []bootCount // by process
	partitions []Partition
}

// DefaultLease is the length of leases until the operators set one.
const DefaultLease = 3 * time.Second

// New returns an empty state of these parts.
func New(parts ...Partition) *Machine {
	return &Machine{settings: settingsInForce{Lease: DefaultLease}, partitions: parts}
}

// At is the fleet time of the last command.
func (m *Machine) At() time.Duration { return m.now }

// Index is the log index of the last command.
func (m *Machine) Index() uint64 { return m.index }

// Members are those in force, by name. They must not be changed.
func (m *Machine) Members() []*Member { return m.members }

// Decode reads a log entry.
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

// member is the member that a command comes from, or why there is none.
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

// advance ends the leases that are due, in the order of the names, and lets the
// parts do what falls due.
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

// endIncarnation puts an incarnation out of force.
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

// Queryable is a part that answers queries, of kinds that begin with its name and a
// slash. A query changes nothing.
type Queryable interface {
	Partition
	Query(kind Kind, body []byte) ([]byte, error)
}

// Partition is the part of a name; nil: there is none.
func (m *Machine) Partition(name string) Partition {
	for _, p := range m.partitions {
		if p.Name() == name {
			return p
		}
	}
	return nil
}

// Query answers a query.
func (m *Machine) Query(kind Kind, body []byte) ([]byte, error) {
	for _, p := range m.partitions {
		if a, ok := p.(Queryable); ok && kind.belongsTo(p.Name()) {
			return a.Query(kind, body)
		}
	}
	return nil, fmt.Errorf("no part answers queries of kind %q", kind)
}

// belongsTo tells whether a kind is one of a part's.
func (k Kind) belongsTo(part string) bool {
	return len(k) > len(part) && string(k[:len(part)]) == part && k[len(part)] == '/'
}
