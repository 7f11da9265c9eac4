package protocol

import "basaltloft/coord/replica"

// JoinRequest requests that a process becomes a member of a group. It has no response; the process repeats it
// until it is a member.
type JoinRequest struct {
	Group   string
	Member  replica.Member
	Relayed bool // the request was forwarded once and must not be forwarded again
}

// LeaveNotice announces that a member is shutting down, so that a learner may replace it as a voter. It has no
// response.
type LeaveNotice struct {
	Group string
	ID    string // member ID
}
