package rpc

import (
	"time"

	"basaltloft/internal/dispatcher/fleet/state"
)

// Paths of the raft nodes' endpoints.
const (
	PathCommand   = "/fleet/do"     // a state.Command, answered with a state.Reply
	PathRead      = "/fleet/read"   // a Query, answered by the leader with an Answer that reflects all commands answered before
	PathLocalRead = "/fleet/nearby" // a Query, answered by any node from its own state; Answer.Index shows how recent that is
	PathStatus    = "/fleet/about"  // no body, answered with a NodeStatus
	PathRejoin    = "/fleet/rejoin" // the name of a node without state that requests to be added again without a vote
	PathPromote   = "/fleet/ready"  // the name and applied index of a node that requests its vote
)

// Query is a query to a partition of the state.
type Query struct {
	Kind state.Kind
	Body []byte
}

// Answer answers a query.
type Answer struct {
	Index uint64        // log index of the last command that the answer reflects
	At    time.Duration // fleet time of that command
	Code  state.Code
	Text  string
	Body  []byte
}

// NodeStatus describes a raft node. It is sent under its field names, or the names in their tags.
type NodeStatus struct {
	Name                string
	Empty               bool              // the node has no state, and has not bootstrapped a fleet
	Bootstrapped        bool              `cbor:"Founded"` // the fleet has applied a command, as far as the node knows
	IsLeader            bool              `cbor:"Leads"`   // the node is the leader
	BootCounts          map[string]uint64 `cbor:"Boots"`   // known starts by node
	DivergentPartitions []string          `cbor:"Differs"` // partitions in which its state differs from the majority's; if there are any, the node serves nothing
	Index               uint64
	At                  time.Duration
}
