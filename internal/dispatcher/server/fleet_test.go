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

// alone is a fleet of one Raft node; FAKTORY and AGENT stand for addresses of its own.
func alone(folder, more string) string {
	return fmt.Sprintf(`{"fleet":{"name":"n1","folder":%q,"calls":"FAKTORY","votes":"AGENT","keepers":{"n1":{"calls":"FAKTORY","votes":"AGENT"}}%s}}`, folder, more)
}

// TestFleetOff: without its section nothing of the fleet layer is at work; with it, it is.
func TestFleetOff(t *testing.T) {
	for name, at := range map[string]struct {
		operator, ready string
		want            bool
	}{
		"off": {"", "serving", false},
		"on":  {alone(t.TempDir(), ""), "joined the fleet", true},
	} {
		cast := scenario.Start(t, 1, at.operator)
		open := cast["program"]
		var dump string
		cast["program"] = func() (scenario.Conn, error) {
			end, err := open()
			return &kept{end, &dump}, err
		}
		scenario.RunScript(t, cast, nil, "program expect "+at.ready)
		end, err := open()
		require.NoError(t, err)
		require.NoError(t, end.(interface{ Dump() error }).Dump(), name) // all goroutines, into the log
		buf := make([]byte, 64<<10)
		for n, err := 0, error(nil); err == nil; n, err = end.Read(buf) {
			dump += string(buf[:n])
		}
		require.Contains(t, dump, "goroutine ", name)
		for _, what := range []string{"internal/dispatcher/fleet", "hashicorp"} {
			require.Equal(t, at.want, strings.Contains(dump, what), "%s: %s", name, what)
		}
	}
}

// kept keeps what is read, also what the scenario has read.
type kept struct {
	scenario.Conn
	all *string
}

// Read implements scenario.End.
func (k *kept) Read(into []byte) (int, error) {
	n, err := k.Conn.Read(into)
	*k.all += string(into[:n])
	return n, err
}

// Close leaves the program running for what the test does next.
func (k *kept) Close() error { return nil }

// TestInvalidFleetSettings: each mistake ends the program with one line that says so.
func TestInvalidFleetSettings(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "file"), nil, 0o600))
	for operator, want := range map[string]string{
		alone(filepath.Join(dir, "file", "x"), ""):                                                   "the fleet's folder",
		alone(dir, `,"plans":["none.hcl"]`):                                                          `plans: open [^\n]*none.hcl: no such file`,
		alone(dir, `,"budgets":[{"of":"jobs","name":"t","whole":5,"burst":2,"floor":3,"floors":2}]`): `fleet.budgets: budget "jobs/t": 2 floors of 3: more than the whole, 5`,
		strings.Replace(alone(dir, ""), `"name":"n1"`, `"name":"n9"`, 1):                             `fleet.keepers: "n9" is to listen as a keeper exactly if it is named there`,
		strings.Replace(alone(dir, ""), `"calls":"FAKTORY",`, ``, 1):                                 `fleet.calls: a keeper listens for calls and for votes`,
	} {
		scenario.RunScript(t, scenario.Start(t, 1, operator), nil, "program expect basaltloft: [^\\n]*"+want)
	}
	cast := scenario.StartWithEnv(t, `{"fleet":{"folder":"x","keepers":{"n1":{"calls":"127.0.0.1:1","votes":"127.0.0.1:2"}}}}`, "ROUTER_NAME=n3", "ROUTER_LISTEN=127.0.0.1:3")
	scenario.RunScript(t, cast, nil, `program expect basaltloft: operator's file: fleet: the platform that sets ROUTER_NAME and ROUTER_LISTEN has no lasting folder`)
}

// TestFleetExample: the example is right, and its plans are.
func TestFleetExample(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/fleet-example.json")
	require.NoError(t, err)
	r := settings.Check(text)
	require.Empty(t, r.Problems)
	require.Empty(t, r.Unknown)
}
