package leader

import (
	"slices"

	"basaltloft/coord/replica"
	"basaltloft/internal/cluster/protocol"
)

// founderPrefix begins the ID of a founder, before its address.
const founderPrefix = "founder-"

// FoundingMembership returns the ID of a process on an empty disk and, where it is a founder, the first
// membership of all groups. On the first start of the whole system all processes are given
// the same seeds, so that each seed knows the first membership by itself: nobody has to
// decide it, and no process is waited for. A process that starts later, on an empty disk, is
// never a founder: bootstrap is false then, and its ID is drawn.
func FoundingMembership(bootstrap bool, seeds []string, self string, drawn string) (id string, founding *replica.Membership) {
	seeds = distinct(seeds)
	if !bootstrap || !slices.Contains(seeds, self) {
		return drawn, nil
	}
	founding = &replica.Membership{}
	for _, seed := range seeds {
		founding.Voters = append(founding.Voters, replica.Member{ID: founderPrefix + seed, Address: seed})
	}
	return founderPrefix + self, founding
}

// JoinTargets returns whom a replica asks for a place in its group: all that may know the
// leader; none, where it has a vote and knows who leads.
func JoinTargets(members replica.Membership, leader replica.Member, self string, seeds []string) []string {
	if members.IsVoter(self) && leader.ID != "" {
		return nil
	}
	return KnownAddresses(members, seeds)
}

// KnownAddresses returns the addresses of all that may know a group's leader.
func KnownAddresses(members replica.Membership, seeds []string) []string {
	addresses := slices.Clone(seeds)
	for _, member := range members.AllMembers() {
		addresses = append(addresses, member.Address)
	}
	return distinct(addresses)
}

// LeaveTargets returns whom a replica that ends tells so: all that may know the leader, where
// a learner waits that can take its vote; else nobody.
func LeaveTargets(members replica.Membership, self string, seeds []string) []string {
	if !members.IsVoter(self) || len(members.Learners) == 0 {
		return nil
	}
	return KnownAddresses(members, seeds)
}

// JoinRelayAddress returns the address to which a request to join is passed on, once: the leader's;
// empty: it stays here.
func JoinRelayAddress(ask protocol.JoinRequest, leader replica.Member, self string) string {
	if ask.Relayed || leader.ID == self {
		return ""
	}
	return leader.Address
}

func distinct(addresses []string) []string {
	addresses = slices.Clone(addresses)
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
