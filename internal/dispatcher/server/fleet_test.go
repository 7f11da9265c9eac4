package server_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"basaltloft/internal/dispatcher/scenario"
	"basaltloft/internal/dispatcher/settings"

	"github.com/stretchr/testify/require"
)

// singleNodeFleet returns an operator's file for a fleet of one Raft node. The test harness replaces
// FAKTORY and AGENT by addresses of their own.
func singleNodeFleet(folder, more string) string {
	return fmt.Sprintf(`{"fleet":{"name":"n1","folder":%q,"calls":"FAKTORY","votes":"AGENT","keepers":{"n1":{"calls":"FAKTORY","votes":"AGENT"}}%s}}`, folder, more)
}

// TestFleetOff: goroutines of the fleet layer and of Raft run only if the operator's file has a fleet
// section.
func TestFleetOff(t *testing.T) {
	for name, at := range map[string]struct {
		operator, ready string
		want            bool
	}{
		"off": {"", "serving", false},
		"on":  {singleNodeFleet(t.TempDir(), ""), "joined the fleet", true},
	} {
		peers := scenario.Start(t, 1, at.operator)
		open := peers["program"]
		var dump string
		peers["program"] = func() (scenario.Conn, error) {
			conn, err := open()
			return &recordingConn{conn, &dump}, err
		}
		scenario.RunScript(t, peers, nil, "program expect "+at.ready)
		conn, err := open()
		require.NoError(t, err)
		require.NoError(t, conn.(interface{ Dump() error }).Dump(), name) // all goroutines, to the log
		buf := make([]byte, 64<<10)
		for n, err := 0, error(nil); err == nil; n, err = conn.Read(buf) {
			dump += string(buf[:n])
		}
		require.Contains(t, dump, "goroutine ", name)
		for _, what := range []string{"internal/dispatcher/fleet", "hashicorp"} {
			require.Equal(t, at.want, strings.Contains(dump, what), "%s: %s", name, what)
		}
	}
}

// recordingConn appends everything that is read from the connection to all.
type recordingConn struct {
	scenario.Conn
	all *string
}

// Read implements scenario.Conn.
func (k *recordingConn) Read(into []byte) (int, error) {
	n, err := k.Conn.Read(into)
	*k.all += string(into[:n])
	return n, err
}

// Close does nothing: the program must run on after the script.
func (k *recordingConn) Close() error { return nil }

// TestInvalidFleetSettings: each invalid setting ends the program with one line that names it.
func TestInvalidFleetSettings(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "file"), nil, 0o600))
	for operator, want := range map[string]string{
		singleNodeFleet(filepath.Join(dir, "file", "x"), ""):                                                   "the fleet's folder",
		singleNodeFleet(dir, `,"plans":["none.hcl"]`):                                                          `plans: open [^\n]*none.hcl: no such file`,
		singleNodeFleet(dir, `,"budgets":[{"of":"jobs","name":"t","whole":5,"burst":2,"floor":3,"floors":2}]`): `fleet.budgets: budget "jobs/t": 2 floors of 3: more than the whole, 5`,
		strings.Replace(singleNodeFleet(dir, ""), `"name":"n1"`, `"name":"n9"`, 1):                             `fleet.keepers: "n9" is to listen as a keeper exactly if it is named there`,
		strings.Replace(singleNodeFleet(dir, ""), `"calls":"FAKTORY",`, ``, 1):                                 `fleet.calls: a keeper listens for calls and for votes`,
	} {
		scenario.RunScript(t, scenario.Start(t, 1, operator), nil, "program expect basaltloft: [^\\n]*"+want)
	}
	peers := scenario.StartWithEnv(t, `{"fleet":{"folder":"x","keepers":{"n1":{"calls":"127.0.0.1:1","votes":"127.0.0.1:2"}}}}`, "ROUTER_NAME=n3", "ROUTER_LISTEN=127.0.0.1:3")
	scenario.RunScript(t, peers, nil, `program expect basaltloft: operator's file: fleet: the platform that sets ROUTER_NAME and ROUTER_LISTEN has no lasting folder`)
}

// TestFleetExample: the example of an operator's file and its plans are valid.
func TestFleetExample(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/fleet-example.json")
	require.NoError(t, err)
	r := settings.Check(text)
	require.Empty(t, r.Problems)
	require.Empty(t, r.Unknown)
}
