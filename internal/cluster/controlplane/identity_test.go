package controlplane

import (
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/settings"
)

func createIdentity(id string) func() (identity, error) {
	return func() (identity, error) { return identity{ID: id}, nil }
}

func TestIdentityIsCreatedOnceAndNothingElseIsChanged(t *testing.T) {
	folder := t.TempDir()
	created, err := loadIdentity(folder, createIdentity("drawn"))
	require.NoError(t, err)
	again, err := loadIdentity(folder, createIdentity("another"))
	require.NoError(t, err)
	require.Equal(t, created, again)

	require.NoError(t, os.WriteFile(filepath.Join(folder, identityFile), []byte("torn"), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "log"), []byte("the last copy"), 0o600))
	_, err = loadIdentity(folder, createIdentity("drawn"))
	require.ErrorIs(t, err, errIdentityUnreadable)
	kept, err := os.ReadFile(filepath.Join(folder, "log"))
	require.NoError(t, err, "data that may be the last copy must not change")
	require.Equal(t, "the last copy", string(kept))

	require.NoError(t, setAside(folder))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "log"), []byte("newer"), 0o600))
	after, err := loadIdentity(folder, createIdentity("drawn"))
	require.NoError(t, err)
	require.Equal(t, "drawn", after.ID)
	kept, err = os.ReadFile(filepath.Join(folder, setAsidePrefix+"state", "log"))
	require.NoError(t, err)
	require.Equal(t, "the last copy", string(kept))
	require.NoError(t, setAside(folder), "a second call replaces what was set aside first")
	kept, err = os.ReadFile(filepath.Join(folder, setAsidePrefix+"state", "log"))
	require.NoError(t, err)
	require.Equal(t, "newer", string(kept))
}

// TestIdentityIsGeneratedWhileSettingsAreReloaded guards against a data race: recovery generates an identity in
// Run, which may be concurrent with Reload. The race detector fails this test if newIdentity reads the seeds
// without holding their mutex.
func TestIdentityIsGeneratedWhileSettingsAreReloaded(t *testing.T) {
	node := &Node{settings: settings.Settings{Bootstrap: true, Seeds: []string{"127.0.0.1:1"}, PortRange: []int{1, 1}}}
	var reload sync.WaitGroup
	reload.Go(func() { node.Reload(settings.Settings{Seeds: []string{"127.0.0.2:1"}}) })
	generated, err := node.newIdentity()
	reload.Wait()
	require.NoError(t, err)
	require.Nil(t, generated.Founding, "the node's address is not a seed")
	require.Equal(t, []string{"127.0.0.2:1"}, node.settings.Seeds)
}
