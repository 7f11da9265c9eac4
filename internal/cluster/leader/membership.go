package leader

import (
	"slices"

	"basaltloft/coord/replica"
	"basaltloft/internal/cluster/protocol"
)

// founderPrefix begins the member ID of a founder, before its address.
const founderPrefix = "founder-"

// FoundingMembership returns the member ID of a process on an empty disk and, where it is a founder,
// the first membership of all groups; randomID is the ID that it gets if it is none. Addresses are
// host:port. On the first start of the whole system all processes are given the same seeds, so that
// each seed computes the first membership by itself. bootstrap must be false for a process that starts
// later on an empty disk: it is never a founder.
func FoundingMembership(bootstrap bool, seeds []string, selfAddress, randomID string) (id string, founding *replica.Membership) {
	seeds = unique(seeds)
	if !bootstrap || !slices.Contains(seeds, selfAddress) {
		return randomID, nil
	}
	founding = &replica.Membership{}
	for _, seed := range seeds {
		founding.Voters = append(founding.Voters, replica.Member{ID: founderPrefix + seed, Address: seed})
	}
	return founderPrefix + selfAddress, founding
}

// JoinTargets returns the addresses to which a replica sends a request to join its group: all that may
// know the leader; none where it is a voter and knows the leader.
func JoinTargets(members replica.Membership, leader replica.Member, selfID string, seeds []string) []string {
	if members.IsVoter(selfID) && leader.ID != "" {
		return nil
	}
	return KnownAddresses(members, seeds)
}

// KnownAddresses returns the addresses of all that may know a group's leader, sorted.
func KnownAddresses(members replica.Membership, seeds []string) []string {
	addresses := slices.Clone(seeds)
	for _, member := range members.AllMembers() {
		addresses = append(addresses, member.Address)
	}
	return unique(addresses)
}

// LeaveTargets returns the addresses to which a replica that shuts down sends a notice: all that may
// know the leader, where a learner can take its vote; else none.
func LeaveTargets(members replica.Membership, selfID string, seeds []string) []string {
	if !members.IsVoter(selfID) || len(members.Learners) == 0 {
		return nil
	}
	return KnownAddresses(members, seeds)
}

// JoinRelayAddress returns the address of the leader, to which a request to join is forwarded once;
// empty: it is not forwarded.
func JoinRelayAddress(request protocol.JoinRequest, leader replica.Member, selfID string) string {
	if request.Relayed || leader.ID == selfID {
		return ""
	}
	return leader.Address
}

// unique returns the addresses sorted, each once.
func unique(addresses []string) []string {
	addresses = slices.Clone(addresses)
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
