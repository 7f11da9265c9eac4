package leader_test

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/group"
	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
)

func configText(version int) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[{"host":"h","path_prefix":"/q/","timeout_ms":1000,"backend":"desk"}],"services":[{"name":"desk"}]}`, version))
}

func newConfiguration() (*leader.Configuration, *fakeGroup) {
	c := leader.NewConfiguration(func(*opconfig.Config) {}, func(uint64) {}, slog.New(slog.DiscardHandler))
	f := &fakeGroup{states: c, leads: true}
	c.SetGroup(f)
	return c, f
}

func handleOperatorRequest(c *leader.Configuration, f *fakeGroup, request protocol.OperatorRequest) protocol.OperatorResponse {
	var got []protocol.OperatorResponse
	c.HandleOperatorRequest(request, func(a protocol.OperatorResponse) { got = append(got, a) })
	f.commit()
	if len(got) != 1 {
		panic(fmt.Sprint("responses: ", len(got)))
	}
	return got[0]
}

// TestConfigurationAnswersOnlyWithALease checks that a node whose lease expires at any of the checks returns
// only the leader's address, and nothing that it has read before.
func TestConfigurationAnswersOnlyWithALease(t *testing.T) {
	for check := 1; check <= 2; check++ {
		c, f := newConfiguration()
		require.Equal(t, protocol.Status(200), handleOperatorRequest(c, f, protocol.OperatorRequest{Replace: true, Content: configText(3)}).Status)
		f.leaseChecks, f.expiresAtCheck = 0, check
		got := handleOperatorRequest(c, f, protocol.OperatorRequest{})
		require.Equal(t, protocol.OperatorResponse{Leader: "leader"}, got, "a read, the lease expires at check %d", check)
		f.leaseChecks, f.expiresAtCheck = 0, check
		require.False(t, c.Watch(0).Leads, "a watch, the lease expires at check %d", check)
	}
	c, f := newConfiguration()
	f.leads = false
	for name, request := range map[string]protocol.OperatorRequest{
		"invalid": {Replace: true, Content: []byte("{")}, "another base": {Replace: true, Base: 7, Content: configText(9)},
	} {
		require.Zero(t, handleOperatorRequest(c, f, request).Status, "%s is rejected by the leader only", name)
	}
}

// TestOnlyACommitConfirmsOrRejects checks that a proposal whose outcome is unknown is neither confirmed nor
// rejected.
func TestOnlyACommitConfirmsOrRejects(t *testing.T) {
	c, f := newConfiguration()
	change := protocol.OperatorRequest{Replace: true, Content: configText(3)}
	f.proposeError = group.ErrOutcomeUnknown
	require.Equal(t, protocol.Status(503), handleOperatorRequest(c, f, change).Status)
	f.proposeError = group.ErrNotLeader
	require.Zero(t, handleOperatorRequest(c, f, change).Status)
	f.proposeError = nil
	require.Equal(t, protocol.Status(200), handleOperatorRequest(c, f, change).Status)
	require.Equal(t, protocol.Status(200), handleOperatorRequest(c, f, change).Status, "the same again")
	require.Equal(t, protocol.Status(412), handleOperatorRequest(c, f, protocol.OperatorRequest{Replace: true, Base: 0, Content: configText(4)}).Status)
	require.Equal(t, protocol.Status(409), handleOperatorRequest(c, f, protocol.OperatorRequest{Replace: true, Base: 3, Content: configText(2)}).Status)
	require.Equal(t, protocol.Status(400), handleOperatorRequest(c, f, protocol.OperatorRequest{Replace: true, Base: 3, Content: []byte(`{"version":`)}).Status)
	content, err := c.Snapshot()
	require.NoError(t, err)
	next, other := newConfiguration()
	require.NoError(t, next.Restore(content))
	require.Equal(t, c.Digest(), next.Digest())
	require.Equal(t, protocol.Status(200), handleOperatorRequest(next, other, change).Status, "the same again, after a snapshot")
	_, err = next.Apply(5, []byte("unreadable"))
	require.Error(t, err)
}

// TestSameChangeProposedTwice checks that both of two equal proposals, committed one after the other, are
// confirmed.
func TestSameChangeProposedTwice(t *testing.T) {
	c, f := newConfiguration()
	var got []protocol.Status
	for range 2 {
		c.HandleOperatorRequest(protocol.OperatorRequest{Replace: true, Content: configText(3)}, func(a protocol.OperatorResponse) { got = append(got, a.Status) })
	}
	c.HandleOperatorRequest(protocol.OperatorRequest{Replace: true, Content: append(configText(3), ' ')}, func(a protocol.OperatorResponse) { got = append(got, a.Status) })
	f.commit()
	require.Equal(t, []protocol.Status{200, 200, 412}, got, "different content under the same version is rejected")
}
