package state

import (
	"fmt"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// JoinBody requests an incarnation. A join that is repeated with the same nonce, because its
// reply was lost, returns the same incarnation.
type JoinBody struct {
	Process, Nonce, Version string
}

// JoinReply answers a join.
type JoinReply struct {
	Incarnation uint64        // fencing number: the log index of the join, so that later ones are higher
	Lease       time.Duration // lease duration
}

// RenewBody renews a lease, and carries the messages for the partitions.
type RenewBody struct {
	Partitions map[string][]byte `cbor:"Parts"` // messages by partition
}

// RenewReply answers a renewal.
type RenewReply struct {
	Lease      time.Duration     // lease duration from the renewal on
	Members    int               // number of members in force
	Partitions map[string][]byte `cbor:"Parts"` // answers by partition
	Refused    map[string]string // reasons, by partition that refused its message; the lease is renewed nevertheless
}

func (m *Machine) join(c Command, index uint64) Reply {
	var b JoinBody
	if err := codec.Decode(c.Body, &b); err != nil || b.Process == "" || b.Nonce == "" {
		return Reply{Code: Bad, Text: "a join names its process and its start"}
	}
	if i, ok := m.findMember(b.Process); ok {
		if old := m.members[i]; old.Nonce == b.Nonce {
			return encodedReply(JoinReply{old.Incarnation, m.settings.Lease})
		}
		m.endIncarnation(m.members[i], Replaced)
	}
	member := &Member{Process: b.Process, Nonce: b.Nonce, Version: b.Version, Incarnation: index, JoinedAt: m.now, LeaseEnd: m.now + m.settings.Lease}
	i, _ := m.findMember(b.Process)
	m.members = slices.Insert(m.members, i, member)
	return encodedReply(JoinReply{index, m.settings.Lease})
}

func (m *Machine) renew(member *Member, c Command) Reply {
	var b RenewBody
	if err := codec.Decode(c.Body, &b); err != nil {
		return Reply{Code: Bad, Text: err.Error()}
	}
	member.LeaseEnd = m.now + m.settings.Lease
	r := RenewReply{Lease: m.settings.Lease, Members: len(m.members), Partitions: map[string][]byte{}, Refused: map[string]string{}}
	for _, p := range m.partitions {
		body, present := b.Partitions[p.Name()]
		if !present {
			continue
		}
		reply, err := p.Renew(c, body)
		if err != nil {
			r.Refused[p.Name()] = err.Error()
			continue
		}
		r.Partitions[p.Name()] = reply
	}
	return encodedReply(r)
}

func encodedReply(v any) Reply {
	body, err := codec.Encode(v)
	return replyOf(body, err)
}

// Member is a process of the fleet with its lease. It is stored under its field names, or
// the names in their tags.
type Member struct {
	Process         string
	Incarnation     uint64
	Nonce           string            // identifies the process start that joined
	JoinedAt        time.Duration     `cbor:"Since"` // fleet time
	LeaseEnd        time.Duration     `cbor:"Until"` // fleet time
	Version         string            // of the program
	AnsweredThrough uint64            `cbor:"Floor"`   // replies to commands up to this sequence number are discarded
	Replies         []rememberedReply `cbor:"Answers"` // to later commands, in ascending order of sequence numbers
}

type rememberedReply struct {
	Seq   uint64
	Reply Reply
}

// maxRememberedReplies bounds the replies remembered for one process: the number of
// commands that it may have pending at once.
const maxRememberedReplies = 1024

// member returns the member that issued a command, or nil and the reply that the process is
// fenced.
func (m *Machine) member(c Command) (*Member, Reply) {
	i, ok := m.findMember(c.Process)
	if !ok || m.members[i].Incarnation != c.Incarnation {
		return nil, Reply{Code: Fenced, Text: fmt.Sprintf("%s %d", c.Process, c.Incarnation)}
	}
	return m.members[i], Reply{}
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

// endIncarnation removes a member and notifies the partitions.
func (m *Machine) endIncarnation(member *Member, cause EndCause) {
	if i, ok := m.findMember(member.Process); ok && m.members[i] == member {
		m.members = slices.Delete(m.members, i, i+1)
	}
	for _, p := range m.partitions {
		p.IncarnationEnded(m.now, member.Process, member.Incarnation, cause)
	}
}

func (x *Member) rememberedReply(seq uint64) (Reply, bool) {
	i, ok := slices.BinarySearchFunc(x.Replies, seq, func(a rememberedReply, s uint64) int { return int(int64(a.Seq - s)) })
	switch {
	case ok:
		return x.Replies[i].Reply, true
	case seq <= x.AnsweredThrough: // a late copy of a command whose sender no longer waits
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
