package protocol

import (
	"basaltloft/coord/group"
	"basaltloft/coord/replica"
)

// StatusRequest requests the state of a control-plane node's replicas. The response is a StatusResponse.
type StatusRequest struct{}

// StatusResponse is the response to a StatusRequest.
type StatusResponse struct {
	Node    string // the node's name in its settings
	Member  replica.Member
	Version int64         // version of the configuration that this process has applied; 0: none
	Groups  []GroupStatus // sorted by name
}

// GroupStatus is a replica's view of its group.
type GroupStatus struct {
	Name   string
	Leader string // address; empty: not known
	group.Status
}
