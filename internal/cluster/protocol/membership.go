package protocol

import "basaltloft/coord/replica"

// JoinRequest asks that a process becomes a member of a group. It has no answer and is repeated
// until the process is a member.
type JoinRequest struct {
	Group   string
	Member  replica.Member
	Relayed bool // it was forwarded once and is not forwarded again
}

// LeaveNotice says that a member shuts down, so that a learner may take its vote. It has no answer.
type LeaveNotice struct {
	Group string
	ID    string // of the member
}
