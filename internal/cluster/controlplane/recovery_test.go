package controlplane

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/group"
	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/settings"
)

// otherNode is another control-plane node. It leads the first ledGroups groups.
type otherNode struct{ ledGroups *atomic.Int32 }

func (o otherNode) HandleOneWay(any) {}

func (o otherNode) HandleCall(any) any {
	response := protocol.StatusResponse{}
	names := []string{protocol.ConfigGroup}
	for number := range protocol.ShardCount {
		names = append(names, protocol.ShardGroup(number))
	}
	for i, name := range names {
		response.Groups = append(response.Groups, protocol.GroupStatus{Name: name, Status: group.Status{Leads: i < int(o.ledGroups.Load())}})
	}
	return response
}

// TestDamagedDiskIsSetAsideOnlyIfAllGroupsAreLedElsewhere checks that nothing on a damaged disk changes while
// any group has no leader on another node.
func TestDamagedDiskIsSetAsideOnlyIfAllGroupsAreLedElsewhere(t *testing.T) {
	ledGroups := &atomic.Int32{}
	mux := http.NewServeMux()
	mux.Handle(rpc.Path, rpc.NewServer(otherNode{ledGroups: ledGroups}))
	other := httptest.NewServer(mux)
	defer other.Close()
	address, err := netip.ParseAddrPort(strings.TrimPrefix(other.URL, "http://"))
	require.NoError(t, err)
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, identityFile), []byte("torn"), 0o600))
	config := settings.Settings{
		IP: "127.0.0.9", DataDir: folder, Bootstrap: true,
		Seeds:     []string{netip.AddrPortFrom(address.Addr(), 1).String()},
		PortRange: []int{int(address.Port()), int(address.Port())},
	}
	node, err := New(config, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.ErrorIs(t, node.damageCause, errIdentityUnreadable)

	groups := int32(1 + protocol.ShardCount)
	for n := range groups {
		ledGroups.Store(n)
		require.False(t, node.allGroupsLedElsewhere(), "%d of %d groups are led", n, groups)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, node.recoverDataDir(ended))
	require.Error(t, node.damageCause)
	kept, err := os.ReadFile(filepath.Join(folder, identityFile))
	require.NoError(t, err)
	require.Equal(t, "torn", string(kept))

	ledGroups.Store(groups)
	require.NoError(t, node.recoverDataDir(t.Context()))
	require.NoError(t, node.damageCause)
	require.NotEmpty(t, node.identity.ID)
	require.Nil(t, node.identity.Founding, "the node joins; it is not an initial member")
	require.False(t, node.groups[protocol.ConfigGroup].IsBootstrapped())
	for _, g := range node.groups {
		g.Close()
	}
}
