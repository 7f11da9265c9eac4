package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/settings"
)

// validSettings has a value for each key that Parse checks, and unknown keys.
const validSettings = `
node_name: "core-a-1"
ip: "10.1.0.15"
zone: "a"
listen:
  control: "10.1.0.15:8146"
port_range:
  - 7660
  - 7675
seeds:
  - "10.1.0.15:8146"
  - "10.2.0.25:8146"
bootstrap: true
limits:
  memory_mb: 280
data_dir: "/data/x"
fault_tolerance:
  machines: 1
bounds:
  hold_max_ms: 5000
  grace_s: 6
  something_new: 3
contracts:
  - "base"
a_new_field:
  nested: true
`

func TestParse(t *testing.T) {
	s, err := settings.Parse([]byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, []string{"10.1.0.15:7660", "10.2.0.25:7660"}, s.SeedAddresses())
	require.Equal(t, 5*time.Second, s.Bounds.MaxLease())
	require.Equal(t, 6*time.Second, s.Bounds.Grace())
	require.Equal(t, int64(3000), s.Bounds.DrainMs, "a key that is left out has its default")
	require.True(t, s.Bootstrap)
}

// TestParseNamesEachFault: an error names the key at fault and the form that it must have.
func TestParseNamesEachFault(t *testing.T) {
	for name, c := range map[string]struct{ from, to, fault string }{
		"ip":    {`ip: "10.1.0.15"`, `ip: "here"`, "ip is not"},
		"ports": {"  - 7675", "  - 7000", "port_range"},
		"seeds": {`"10.2.0.25:8146"`, `"10.2.0.25"`, "write host:port"},
		"yaml":  {"limits:", "limits: [", "not YAML"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse([]byte(strings.Replace(validSettings, c.from, c.to, 1)))
			require.ErrorContains(t, err, c.fault)
		})
	}
	_, err := settings.Load("/nowhere/settings.yaml")
	require.ErrorContains(t, err, settings.PathVariable)
}
