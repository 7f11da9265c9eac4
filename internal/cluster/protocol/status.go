package protocol

import (
	"basaltloft/coord/group"
	"basaltloft/coord/replica"
)

// StatusRequest asks a control-plane node for the state of its replicas. The answer is a
// StatusResponse.
type StatusRequest struct{}

// StatusResponse is the answer to a StatusRequest.
type StatusResponse struct {
	Node    string // the node's name in its settings
	Member  replica.Member
	Version int64         // of the configuration that this process has applied; 0: none
	Groups  []GroupStatus // sorted by name
}

// GroupStatus is a replica's view of its group.
type GroupStatus struct {
	Name   string
	Leader string // address; empty: not known
	group.Status
}
