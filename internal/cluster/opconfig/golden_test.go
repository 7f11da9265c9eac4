package opconfig_test

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/shared/goldentest"
)

// Golden files in testdata, written by commit 352ebf2. Logs and snapshots of that build exist on disk.
const (
	changeFile   = "change.gob"    // one encoded command, as in an entry of the log
	registerFile = "register.gob"  // a snapshot after goldenVersions changes
	stateFile    = "register.json" // the same snapshot as JSON, for readers and for comparison
)

// goldenSum is the state digest of the register in registerFile. Operators compare the digests of core
// processes, also of different builds.
const goldenSum = uint64(0x351d809849b67171)

const (
	goldenVersions  = 44
	goldenForgotten = 3
)

// goldenContent returns the configuration of a version: queue /moves/ changes its service with every tenth
// version, and queue /gone/ is removed by version 30.
func goldenContent(version int) []byte {
	route := func(prefix, service string) string {
		return fmt.Sprintf(`{"name":"route","host":"h.example","path_prefix":%q,"type":"mutating","timeout_ms":3000,"target_ms":250.5,`+
			`"priority":2,"backend":%q,"retries":3,"extension":1.5}`, prefix, service)
	}
	routes := []string{route("/stays/", "desk-0"), route("/moves/", fmt.Sprintf("desk-%d", version/10))}
	if version < 30 {
		routes = append(routes, route("/gone/", "desk-1"))
	}
	var services []string
	for i := range 5 {
		services = append(services, fmt.Sprintf(`{"name":"desk-%d","guards":true}`, i))
	}
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":8192,"max_body_bytes":262144,`+
		`"header_timeout_ms":5000,"idle_timeout_ms":60000}}`, version, strings.Join(routes, ","), strings.Join(services, ",")))
}

func goldenChange(version int) opconfig.Change {
	return opconfig.Change{Base: int64(version - 1), Version: int64(version), Content: goldenContent(version)}
}

func goldenRegister(t *testing.T) *opconfig.Register {
	t.Helper()
	register := opconfig.NewRegister()
	for version := 1; version <= goldenVersions; version++ {
		verdict, err := register.Apply(goldenChange(version))
		require.NoError(t, err)
		require.Equal(t, opconfig.Accepted, verdict)
	}
	register.HighestForgotten = goldenForgotten // Apply sets it only after thousands of changes
	return register
}

// storedRegister and storedChange are the types of a snapshot and of a command at 352ebf2. The names of their
// fields are stored, and must never be changed.
type (
	storedRegister struct {
		Version   int64
		Content   []byte
		Taken     map[int64][32]byte
		Order     []int64
		Forgotten int64
		Changes   uint64
		Backends  map[string][]string
		Since     map[string]int64
		Removed   map[string]uint64
	}
	storedChange struct {
		Base    int64
		Version int64
		Content []byte
	}
)

// stateOf decodes a snapshot as a process of 352ebf2 does, and returns it as JSON.
func stateOf(t *testing.T, snapshot []byte) string {
	t.Helper()
	var stored storedRegister
	require.NoError(t, gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&stored))
	content, err := json.Marshal(stored)
	require.NoError(t, err)
	var to bytes.Buffer
	require.NoError(t, json.Indent(&to, content, "", " "))
	return to.String() + "\n"
}

func snapshotOf(t *testing.T, register *opconfig.Register) []byte {
	t.Helper()
	snapshot, err := register.Snapshot()
	require.NoError(t, err)
	return snapshot
}

func encoded(t *testing.T, change opconfig.Change) []byte {
	t.Helper()
	command, err := change.Encode()
	require.NoError(t, err)
	return command
}

func golden(t *testing.T, name string) []byte {
	t.Helper()
	return goldentest.Read(t, filepath.Join("testdata", name))
}

func restored(t *testing.T) *opconfig.Register {
	t.Helper()
	register := opconfig.NewRegister()
	require.NoError(t, register.Restore(golden(t, registerFile)))
	return register
}

// writeMissingFiles writes the golden files that do not exist yet, if goldentest.WriteVariable is set.
func writeMissingFiles(t *testing.T) {
	t.Helper()
	snapshot := snapshotOf(t, goldenRegister(t))
	for name, content := range map[string][]byte{
		changeFile: encoded(t, goldenChange(goldenVersions+1)), registerFile: snapshot, stateFile: []byte(stateOf(t, snapshot)),
	} {
		goldentest.WriteMissingFile(t, filepath.Join("testdata", name), content)
	}
}

// TestGoldenRegisterIsRead checks that this build reads all fields of a snapshot of 352ebf2, and that a process
// of 352ebf2 reads all fields of a snapshot of this build.
func TestGoldenRegisterIsRead(t *testing.T) {
	writeMissingFiles(t)
	require.Equal(t, string(golden(t, stateFile)), stateOf(t, golden(t, registerFile)), "the golden files have the same state")
	register := restored(t)
	require.Equal(t, goldenSum, register.StateDigest())
	require.Equal(t, goldenSum, goldenRegister(t).StateDigest())
	require.Equal(t, goldenRegister(t), register)
	require.Equal(t, string(golden(t, stateFile)), stateOf(t, snapshotOf(t, register)))
	require.Equal(t, string(golden(t, stateFile)), stateOf(t, snapshotOf(t, goldenRegister(t))))
}

// TestGoldenRegisterFieldByField checks the decoded fields by their current names.
func TestGoldenRegisterFieldByField(t *testing.T) {
	register := restored(t)
	require.Equal(t, int64(goldenVersions), register.Version)
	require.Equal(t, string(goldenContent(goldenVersions)), string(register.Content))
	require.Len(t, register.AcceptedDigests, goldenVersions)
	require.Len(t, register.AcceptedVersions, goldenVersions)
	for i, version := range register.AcceptedVersions {
		require.Equal(t, int64(i+1), version)
		require.Equal(t, opconfig.DigestOf(goldenContent(i+1)), register.AcceptedDigests[version])
	}
	require.Equal(t, int64(goldenForgotten), register.HighestForgotten)
	require.Equal(t, uint64(goldenVersions), register.ChangeCount)
	require.Equal(t, map[string][]string{
		"h.example/stays/": {"desk-0"},
		"h.example/moves/": {"desk-0", "desk-1", "desk-2", "desk-3", "desk-4"},
		"h.example/gone/":  {"desk-1"},
	}, register.ServicesByQueue)
	require.Equal(t, map[string]int64{"h.example/moves/": 40}, register.MovedAtVersion)
	require.Equal(t, map[string]uint64{"h.example/gone/": 30}, register.RemovedAtChange)
	require.Equal(t, map[string]opconfig.ServiceHistory{
		"h.example/moves/": {Services: []string{"desk-0", "desk-1", "desk-2", "desk-3", "desk-4"}, Since: 40},
	}, register.MovedQueues())
}

// TestGoldenConfigurationIsRead checks that all fields of a stored configuration are decoded.
func TestGoldenConfigurationIsRead(t *testing.T) {
	config := restored(t).Current()
	require.NotNil(t, config)
	require.Equal(t, int64(goldenVersions), config.Version)
	require.Equal(t, []opconfig.Route{
		{Name: "route", Host: "h.example", PathPrefix: "/stays/", TimeoutMs: 3000, TargetMs: 250.5, Priority: 2, Backend: "desk-0", Retries: 3, Extension: 1.5},
		{Name: "route", Host: "h.example", PathPrefix: "/moves/", TimeoutMs: 3000, TargetMs: 250.5, Priority: 2, Backend: "desk-4", Retries: 3, Extension: 1.5},
	}, config.Routes)
	require.Len(t, config.Services, 5)
	require.Equal(t, opconfig.Service{Name: "desk-4", Guards: true}, config.Services[4])
	require.Equal(t, opconfig.Limits{MaxHeaderBytes: 8192, MaxBodyBytes: 262144, HeaderTimeoutMs: 5000, IdleTimeoutMs: 60000}, config.Limits)
	_, err := opconfig.Parse(goldenContent(goldenVersions))
	require.NoError(t, err, "the configuration is valid by the schema")
}

// TestRestoredGoldenRegisterAppliesChanges checks that a restored register evaluates and applies changes.
func TestRestoredGoldenRegisterAppliesChanges(t *testing.T) {
	register := restored(t)
	require.Equal(t, opconfig.AlreadyAccepted, register.Evaluate(goldenChange(20)))
	require.Equal(t, opconfig.Conflict, register.Evaluate(opconfig.Change{Base: 12, Version: 60, Content: goldenContent(60)}))
	require.Equal(t, opconfig.Stale, register.Evaluate(opconfig.Change{Base: goldenVersions, Version: 20, Content: goldenContent(60)}))
	require.Equal(t, opconfig.Indeterminate, register.Evaluate(opconfig.Change{Base: 1, Version: -1, Content: goldenContent(1)}))
	verdict, err := register.ApplyEncoded(golden(t, changeFile))
	require.NoError(t, err)
	require.Equal(t, opconfig.Accepted, verdict)
	require.Equal(t, int64(goldenVersions+1), register.Version)
	require.Equal(t, int64(goldenVersions+1), register.Current().Version)
	require.Equal(t, uint64(goldenVersions+1), register.ChangeCount)
}

// TestGoldenChangeIsWritten checks that a process of 352ebf2 reads all fields of a command of this build.
func TestGoldenChangeIsWritten(t *testing.T) {
	wanted := storedChange{Base: goldenVersions, Version: goldenVersions + 1, Content: goldenContent(goldenVersions + 1)}
	for name, command := range map[string][]byte{"golden": golden(t, changeFile), "this build's": encoded(t, goldenChange(goldenVersions+1))} {
		var stored storedChange
		require.NoError(t, gob.NewDecoder(bytes.NewReader(command)).Decode(&stored), name)
		require.Equal(t, wanted, stored, name)
	}
}
