package protocol

import "basaltloft/internal/cluster/opconfig"

// WatchRequest asks the leader of the configuration's group for a configuration newer than Have. The
// answer is a WatchResponse, which renews the sender's lease on its configuration.
type WatchRequest struct {
	Node   string // the sender's name
	Have   int64  // the version that the sender has; 0: none
	WaitMs int64  // how long the answer may wait for a newer version
}

// WatchResponse is the answer to a WatchRequest.
type WatchResponse struct {
	Leads   bool                               // this process held the leader's lease when it answered: the rest is valid
	Leader  string                             // address of the leader as far as is known
	Version int64                              // the newest version
	Content []byte                             // of that version; empty where the sender has it
	Moved   map[string]opconfig.ServiceHistory // by queue that was sent to more than one service
	Cores   []string                           // internal addresses of the control-plane nodes
	Owners  []string                           // address of each shard's leader; empty: not known
	HeldMs  int64                              // how long this process kept the request before it read Version
}

// OperatorRequest forwards an operator's call to the leader of the configuration's group. The answer
// is an OperatorResponse.
type OperatorRequest struct {
	Replace bool   // replace the configuration; false: read it
	Base    int64  // the version that Content replaces
	Content []byte // the new configuration
}

// OperatorResponse is the answer to an OperatorRequest.
type OperatorResponse struct {
	Status  Status
	Leader  string // with StatusNotLeader: address of the leader of the configuration's group; empty: not known
	Content []byte // where it was read: the newest configuration
	Reason  string // why it was not done
}
