package opconfig_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/opconfig"
)

// configText returns a configuration with one service and routes with the given prefixes.
func configText(version int, prefixes ...string) []byte {
	var routes []string
	for i, prefix := range prefixes {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"h.example","path_prefix":%q,"type":"mutating","timeout_ms":3000,"target_ms":250,"priority":0,"backend":"desk","retries":3,"extension":1.5}`, i, prefix))
	}
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"desk","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"guards":true}],"limits":{"max_body_bytes":262144}}`, version, strings.Join(routes, ",")))
}

func TestParseRejectsInvalidConfigurations(t *testing.T) {
	valid := string(configText(3, "/a/", "/b/"))
	_, err := opconfig.Parse([]byte(valid))
	require.NoError(t, err)
	for name, body := range map[string]string{
		"cut short":          valid[:len(valid)/2],
		"unknown service":    strings.Replace(valid, `"backend":"desk"`, `"backend":"nobody"`, 1),
		"same queue":         strings.Replace(valid, `"/b/"`, `"/a/"`, 1),
		"no time-out":        strings.Replace(valid, `"timeout_ms":3000`, `"timeout_ms":0`, 1),
		"no version":         strings.Replace(valid, `"version":3,`, ``, 1),
		"a second document":  valid + valid,
		"a service twice":    strings.Replace(valid, `"services":[`, `"services":[{"name":"desk"},`, 1),
		"a prefix no path":   strings.Replace(valid, `"/a/"`, `"a"`, 1),
		"a number as a text": strings.Replace(valid, `"retries":3`, `"retries":"3"`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := opconfig.Parse([]byte(body))
			require.ErrorIs(t, err, opconfig.ErrInvalid)
		})
	}
}

// TestLongestPrefixWins checks that the longest prefix wins, whatever its last character.
func TestLongestPrefixWins(t *testing.T) {
	requireMatches(t, []string{"/a/", "/a/b/"}, map[string]string{"/a/1234": "/a/", "/a/b/1234": "/a/b/", "/a/": "/a/", "/abc": "", "/x": ""})
	requireMatches(t, []string{"/a/", "/a/b/", "/ab", "/a/vip-"}, map[string]string{
		"/a/1234": "/a/", "/a/b/1234": "/a/b/", "/a/": "/a/", "/abc": "/ab", "/a/vip-1": "/a/vip-", "/a/vi": "/a/", "/x": "",
	})
}

// requireMatches requires the prefix that is matched for each path; empty: none is.
func requireMatches(t *testing.T, prefixes []string, wanted map[string]string) {
	t.Helper()
	c, err := opconfig.Parse(configText(1, prefixes...))
	require.NoError(t, err)
	for path, want := range wanted {
		route, ok := c.Match("h.example", path)
		require.Equal(t, want != "", ok, path)
		if ok {
			require.Equal(t, want, route.PathPrefix, path)
		}
	}
	_, ok := c.Match("other.example", "/a/1")
	require.False(t, ok)
}

func change(base int64, version int, prefixes ...string) opconfig.Change {
	return opconfig.Change{Base: base, Version: int64(version), Content: configText(version, prefixes...)}
}

func requireVerdict(t *testing.T, want opconfig.Verdict, r *opconfig.Register, c opconfig.Change, why ...any) {
	t.Helper()
	got, err := r.Apply(c)
	require.NoError(t, err)
	require.Equal(t, want, got, why...)
}

func TestRegisterIsACompareAndSet(t *testing.T) {
	r := opconfig.NewRegister()
	requireVerdict(t, opconfig.Accepted, r, change(0, 5, "/a/"))
	requireVerdict(t, opconfig.AlreadyAccepted, r, change(0, 5, "/a/"), "the same change again")
	requireVerdict(t, opconfig.Conflict, r, change(0, 5, "/b/"), "another configuration with the same version")
	requireVerdict(t, opconfig.Conflict, r, change(3, 7, "/b/"))
	requireVerdict(t, opconfig.Stale, r, change(5, 5, "/b/"))
	requireVerdict(t, opconfig.Accepted, r, change(5, 7, "/b/"))
	requireVerdict(t, opconfig.AlreadyAccepted, r, change(0, 5, "/a/"), "a change that was accepted is never rejected when it is sent again")
	require.Equal(t, int64(7), r.Current().Version)
}

func TestRegisterSurvivesASnapshot(t *testing.T) {
	r := opconfig.NewRegister()
	requireVerdict(t, opconfig.Accepted, r, change(0, 5, "/a/"))
	moved := opconfig.Change{Base: 5, Version: 6, Content: []byte(strings.Replace(strings.Replace(string(configText(6, "/a/")), `"backend":"desk"`, `"backend":"studio"`, 1), `"services":[`, `"services":[{"name":"studio"},`, 1))}
	requireVerdict(t, opconfig.Accepted, r, moved)
	content, err := r.Snapshot()
	require.NoError(t, err)
	other := opconfig.NewRegister()
	require.NoError(t, other.Restore(content))
	require.Equal(t, r.Content, other.Content)
	require.Equal(t, []string{"desk", "studio"}, other.ServicesByQueue["h.example/a/"])
	requireVerdict(t, opconfig.AlreadyAccepted, other, change(0, 5, "/a/"))
	encoded, err := change(6, 9, "/a/").Encode()
	require.NoError(t, err)
	verdict, err := other.ApplyEncoded(encoded)
	require.NoError(t, err)
	require.Equal(t, opconfig.Accepted, verdict)
	_, err = other.ApplyEncoded([]byte("no change"))
	require.Error(t, err, "a replica that can't decode a command must not treat it as rejected")
}

// TestResendsAfterThousandsOfChanges checks that an accepted change is never rejected when it is sent again, and
// that the size of the register doesn't grow with the number of changes.
func TestResendsAfterThousandsOfChanges(t *testing.T) {
	r := opconfig.NewRegister()
	size := 0
	const changes = 2*opconfig.RememberedChanges + 100
	for n := 1; n <= changes; n++ {
		requireVerdict(t, opconfig.Accepted, r, change(int64(n-1)*3, n*3, "/a/", fmt.Sprintf("/queue-%d/", n)))
		if n%2000 == 0 {
			content, err := r.Snapshot()
			require.NoError(t, err)
			next := opconfig.NewRegister()
			require.NoError(t, next.Restore(content))
			require.Equal(t, r.StateDigest(), next.StateDigest())
			r = next
			if n > opconfig.RememberedChanges+2000 {
				require.InDelta(t, size, len(content), float64(size)/10, "the register grows with the number of changes")
			}
			size = len(content)
		}
	}
	oldest := changes - opconfig.RememberedChanges + 1
	requireVerdict(t, opconfig.AlreadyAccepted, r, change(int64(oldest-1)*3, oldest*3, "/a/", fmt.Sprintf("/queue-%d/", oldest)))
	requireVerdict(t, opconfig.Indeterminate, r, change(0, 3, "/a/", "/queue-1/"), "too old to decide: neither confirmed nor rejected")
	requireVerdict(t, opconfig.Conflict, r, change(int64(oldest-1)*3, oldest*3, "/other/"), "different content for a remembered version")
	require.LessOrEqual(t, len(r.ServicesByQueue), opconfig.RememberedChanges+3)
}

// TestMovedQueuesNameTheirServices checks the services by which dispatchers find jobs that were submitted before
// their queue was moved.
func TestMovedQueuesNameTheirServices(t *testing.T) {
	r := opconfig.NewRegister()
	config := func(version int, backend string) opconfig.Change {
		content := strings.Replace(string(configText(version, "/a/")), `"backend":"desk"`, `"backend":"`+backend+`"`, 1)
		content = strings.Replace(content, `"services":[`, `"services":[{"name":"studio"},`, 1)
		return opconfig.Change{Base: r.Version, Version: int64(version), Content: []byte(content)}
	}
	requireVerdict(t, opconfig.Accepted, r, config(2, "desk"))
	require.Empty(t, r.MovedQueues())
	requireVerdict(t, opconfig.Accepted, r, config(4, "studio"))
	requireVerdict(t, opconfig.Accepted, r, config(9, "studio"))
	require.Equal(t, map[string]opconfig.ServiceHistory{"h.example/a/": {Services: []string{"desk", "studio"}, Since: 4}}, r.MovedQueues())
	for version := 10; version < 60; version++ {
		requireVerdict(t, opconfig.Accepted, r, config(version, []string{"desk", "studio"}[version%2]))
	}
	require.Equal(t, map[string]opconfig.ServiceHistory{"h.example/a/": {Services: []string{"desk", "studio"}, Since: 59}}, r.MovedQueues())
}
