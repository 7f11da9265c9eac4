package harness

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/demo"

	"github.com/stretchr/testify/require"
)

// TestRefusedDataDirEndsTheProcess checks that a process whose raft node can't use its directory
// exits, and does not continue without its raft node.
func TestRefusedDataDirEndsTheProcess(t *testing.T) {
	r := New(t, Settings{Processes: 3, Load: demo.Load{Members: 2, Slots: 2, Seed: 1},
		Operator: `{"fleet":{"name":"{{.Name}}","folder":"{{.Folder}}","calls":"{{.Addr "calls"}}","votes":"{{.Addr "votes"}}","keepers":{{.Peers 3 "calls" "votes"}},"lease_ms":1500,"election_ms":400}}`})
	p := r.Processes[0]
	require.NoError(t, os.MkdirAll(filepath.Join(p.Folder, "keeper"), 0o700))
	require.NoError(t, os.WriteFile(filepath.Join(p.Folder, "keeper", "log.db"), []byte("what"), 0o600))
	require.NoError(t, p.Start())
	require.Eventually(t, func() bool { return !p.IsRunning() }, 15*time.Second, 20*time.Millisecond)
	require.NotEmpty(t, p.UnexpectedExits())
}
