package leader

import (
	"slices"

	"basaltloft/coord/replica"
	"basaltloft/internal/cluster/protocol"
)

// founderPrefix is the prefix of a founder's member ID; the founder's address follows it.
const founderPrefix = "founder-"

// FoundingMembership returns the member ID of a process that starts with an empty disk. If the process is a
// founder, that is one of the seeds at bootstrap, it also returns the initial membership of all groups;
// otherwise the ID is randomID. Addresses are host:port. At the first start of the whole system all
// processes get the same seeds, so that each seed computes the same initial membership by itself. bootstrap
// must be false for a process that starts later with an empty disk: it is never a founder.
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

// JoinTargets returns the addresses to which a replica sends a request to join its group: those of
// KnownAddresses. It returns none if the replica is a voter and the leader is known.
func JoinTargets(members replica.Membership, leader replica.Member, selfID string, seeds []string) []string {
	if members.IsVoter(selfID) && leader.ID != "" {
		return nil
	}
	return KnownAddresses(members, seeds)
}

// KnownAddresses returns the addresses of the seeds and of all members, sorted. Any of these nodes may be the
// group's leader or be able to forward a request to it.
func KnownAddresses(members replica.Membership, seeds []string) []string {
	addresses := slices.Clone(seeds)
	for _, member := range members.AllMembers() {
		addresses = append(addresses, member.Address)
	}
	return unique(addresses)
}

// LeaveTargets returns the addresses to which a replica that shuts down sends a notice: those of
// KnownAddresses. It returns none if the replica is not a voter or no learner can replace it.
func LeaveTargets(members replica.Membership, selfID string, seeds []string) []string {
	if !members.IsVoter(selfID) || len(members.Learners) == 0 {
		return nil
	}
	return KnownAddresses(members, seeds)
}

// JoinRelayAddress returns the address of the leader, to which a request to join is forwarded. It returns
// the empty string if the request is not forwarded: it was forwarded before, this replica is the leader, or
// the leader is not known.
func JoinRelayAddress(request protocol.JoinRequest, leader replica.Member, selfID string) string {
	if request.Relayed || leader.ID == selfID {
		return ""
	}
	return leader.Address
}

// unique returns the addresses sorted and without duplicates.
func unique(addresses []string) []string {
	addresses = slices.Clone(addresses)
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
