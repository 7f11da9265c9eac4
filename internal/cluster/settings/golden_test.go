package settings_test

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/settings"
)

// The files under testdata have the keys that commit 352ebf2 reads. They must not be changed to match later
// code: the platform writes these keys.

func goldenSettings() settings.Settings {
	return settings.Settings{
		NodeName: "core-a-1", IP: "10.1.0.15", Zone: "zone-a", Region: "region-1",
		Listen:    settings.Listen{HTTP: "10.1.0.15:8080", Readiness: "10.1.0.15:8081", Control: "10.1.0.15:8146"},
		PortRange: []int{7660, 7675}, Seeds: []string{"10.1.0.15:8146", "10.2.0.25:8146"}, Bootstrap: true, CountsForQuorum: true,
		Limits:  settings.Limits{CPUQuota: 1.5, MemoryMB: 280, MaxFDs: 1024, DiskMB: 2048},
		DataDir: "/data/x", FaultTolerance: settings.FaultTolerance{Machines: 1, Zones: 2, Regions: 3},
		Bounds: settings.Bounds{
			ContactMs: 101, AckMs: 102, DrainMs: 103, GraceS: 104.5, ConfigApplyMs: 105, MaxLeaseMs: 106, StopMs: 107, GangMs: 108,
			CancelMs: 109, VisibleMs: 110, EarlyMs: 111, StatusRetentionS: 112.5, RemoteSlowdown: 113.5, CheckpointS: 114.5, RestoreMs: 115,
		},
		Commands: "rpc", CloudAPI: settings.CloudAPI{Address: "10.9.0.1:80", RequestsPerS: 116.5, MaxLagMs: 117},
	}
}

func TestEachGoldenKeyIsRead(t *testing.T) {
	settings, err := settings.Load("testdata/all-keys.yaml")
	require.NoError(t, err)
	require.Equal(t, goldenSettings(), settings)
}

// TestGoldenKeysAreAllKeys: the golden file has all keys, so that none is added or renamed unnoticed.
func TestGoldenKeysAreAllKeys(t *testing.T) {
	content, err := os.ReadFile("testdata/keys.txt")
	require.NoError(t, err)
	require.Equal(t, string(content), strings.Join(keysOf("", reflect.TypeFor[settings.Settings]()), "\n")+"\n")
}

// keysOf returns the keys of a struct type and of the structs in it, with a prefix.
func keysOf(prefix string, of reflect.Type) []string {
	var keys []string
	for at := range of.NumField() {
		field := of.Field(at)
		key := prefix + field.Tag.Get("yaml")
		if field.Type.Kind() == reflect.Struct {
			keys = append(keys, keysOf(key+".", field.Type)...)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

// TestGoldenDefaults: keys that are left out have these defaults.
func TestGoldenDefaults(t *testing.T) {
	parsed, err := settings.Parse([]byte("ip: \"10.1.0.15\"\nport_range: [7660, 7675]\nseeds: [\"10.1.0.15:8146\"]\n"))
	require.NoError(t, err)
	require.Equal(t, settings.Settings{
		IP: "10.1.0.15", PortRange: []int{7660, 7675}, Seeds: []string{"10.1.0.15:8146"},
		Bounds: settings.Bounds{
			ContactMs: 3000, AckMs: 4000, DrainMs: 3000, GraceS: 6, ConfigApplyMs: 2000, MaxLeaseMs: 6000, StopMs: 400, GangMs: 3000,
			CancelMs: 3000, EarlyMs: 250, StatusRetentionS: 120, RemoteSlowdown: 1, RestoreMs: 250,
		},
	}, parsed)
	require.Equal(t, 6*time.Second, parsed.Bounds.MaxLease())
	require.Equal(t, 6*time.Second, parsed.Bounds.Grace())
}

// TestUnknownKeysAreIgnored: the platform may write newer keys than this build reads.
func TestUnknownKeysAreIgnored(t *testing.T) {
	content, err := os.ReadFile("testdata/all-keys.yaml")
	require.NoError(t, err)
	parsed, err := settings.Parse(append(content, "not_known: 1\nnot_known_either: {a: [1]}\n"...))
	require.NoError(t, err)
	require.Equal(t, goldenSettings(), parsed)
}

// TestSettingsPath: the environment variable and the default path are those that the platform uses.
func TestSettingsPath(t *testing.T) {
	t.Setenv("BASALTLOFT_BOOT", "")
	require.Equal(t, "/etc/basaltloft/settings.yaml", settings.Path())
	t.Setenv("BASALTLOFT_BOOT", "/elsewhere.yaml")
	require.Equal(t, "/elsewhere.yaml", settings.Path())
}
