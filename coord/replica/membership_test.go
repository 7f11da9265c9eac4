package replica

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func membersOf(ids ...string) []Member {
	var members []Member
	for _, id := range ids {
		members = append(members, Member{ID: id, Address: "host-" + id})
	}
	return members
}

func TestJointMembershipNeedsBothMajorities(t *testing.T) {
	joint := Membership{Voters: membersOf("a", "b", "d"), Outgoing: membersOf("a", "b", "c")}
	for _, c := range []struct {
		name    string
		granted []string
		want    bool
	}{
		{"both sets", []string{"a", "b"}, true},
		{"a common voter and one more of each set", []string{"a", "c", "d"}, true},
		{"only the incoming set", []string{"a", "d"}, false},
		{"only the outgoing set", []string{"a", "c"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			granted := majority(joint, func(id string) int {
				for _, g := range c.granted {
					if g == id {
						return 1
					}
				}
				return 0
			})
			require.Equal(t, c.want, granted == 1)
		})
	}
}

func TestMembershipChange(t *testing.T) {
	before := Membership{Voters: membersOf("a", "b", "c"), Learners: membersOf("d", "e")}
	joint := before.EnterJoint("c", membersOf("d")[0])
	require.True(t, joint.IsJoint())
	require.Equal(t, Membership{Voters: membersOf("a", "b", "d"), Outgoing: membersOf("a", "b", "c"), Learners: membersOf("e")}, joint)
	require.True(t, joint.IsVoter("c"))
	require.False(t, joint.IsVoter("e"))
	require.Equal(t, membersOf("a", "b", "d", "c", "e"), joint.AllMembers())
	require.Equal(t, Membership{Voters: membersOf("a", "b", "d"), Learners: membersOf("e")}, joint.LeaveJoint())
}

func TestLearnerReplacesTheOneAtItsAddress(t *testing.T) {
	before := Membership{Voters: membersOf("a"), Learners: membersOf("b", "c")}
	after := before.WithLearner(Member{ID: "b2", Address: "host-b"})
	require.Equal(t, []Member{{ID: "c", Address: "host-c"}, {ID: "b2", Address: "host-b"}}, after.Learners)
	require.Equal(t, membersOf("b", "c"), before.Learners, "the original membership does not change")
}
