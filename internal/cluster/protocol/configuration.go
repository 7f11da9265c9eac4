package protocol

import "basaltloft/internal/cluster/opconfig"

// WatchRequest requests a configuration newer than Have from the leader of the configuration's group. The
// response is a WatchResponse, which renews the sender's lease on its configuration.
type WatchRequest struct {
	Node   string // the sender's name
	Have   int64  // version that the sender has; 0: none
	WaitMs int64  // how long the leader may wait for a newer version before it responds
}

// WatchResponse is the response to a WatchRequest. If Leads is false, only Leader and Cores are used.
type WatchResponse struct {
	Leads   bool                               // the responder held the leader's lease when it responded
	Leader  string                             // address of the leader; empty: not known
	Version int64                              // newest version
	Content []byte                             // configuration of that version; empty if the sender has it
	Moved   map[string]opconfig.ServiceHistory // by queue, for queues that were routed to more than one service
	Cores   []string                           // internal addresses of the control-plane nodes
	Owners  []string                           // address of each shard's leader; empty: not known
	HeldMs  int64                              // how long the responder held the request before it read Version
}

// OperatorRequest forwards an operator's request to the leader of the configuration's group. The response is
// an OperatorResponse.
type OperatorRequest struct {
	Replace bool   // replace the configuration; false: read it
	Base    int64  // version that Content replaces
	Content []byte // new configuration
}

// OperatorResponse is the response to an OperatorRequest.
type OperatorResponse struct {
	Status  Status
	Leader  string // with StatusNotLeader: address of the leader of the configuration's group; empty: not known
	Content []byte // response to a read: the newest configuration
	Reason  string // why the request failed
}
