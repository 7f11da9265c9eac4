package opconfig_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/opconfig"
)

// text is a configuration with one service and routes of the given prefixes.
func text(version int, prefixes ...string) []byte {
	var routes []string
	for at, prefix := range prefixes {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"h.example","path_prefix":%q,"type":"mutating","timeout_ms":3000,"target_ms":250,"priority":0,"backend":"desk","retries":3,"extension":1.5}`, at, prefix))
	}
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"desk","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"guards":true}],"limits":{"max_body_bytes":262144}}`, version, strings.Join(routes, ",")))
}

func TestParseTellsWhatIsWrong(t *testing.T) {
	whole := string(text(3, "/a/", "/b/"))
	_, err := opconfig.Parse([]byte(whole))
	require.NoError(t, err)
	for name, body := range map[string]string{
		"cut short":          whole[:len(whole)/2],
		"unknown service":    strings.Replace(whole, `"backend":"desk"`, `"backend":"nobody"`, 1),
		"same place":         strings.Replace(whole, `"/b/"`, `"/a/"`, 1),
		"no time":            strings.Replace(whole, `"timeout_ms":3000`, `"timeout_ms":0`, 1),
		"no version":         strings.Replace(whole, `"version":3,`, ``, 1),
		"a second document":  whole + whole,
		"a service twice":    strings.Replace(whole, `"services":[`, `"services":[{"name":"desk"},`, 1),
		"a prefix no path":   strings.Replace(whole, `"/a/"`, `"a"`, 1),
		"a number as a text": strings.Replace(whole, `"retries":3`, `"retries":"3"`, 1),
	} {
		_, err := opconfig.Parse([]byte(body))
		require.ErrorIs(t, err, opconfig.ErrInvalid, name)
	}
}

func TestLongestPrefixWins(t *testing.T) {
	c, err := opconfig.Parse(text(1, "/a/", "/a/b/", "/ab"))
	require.NoError(t, err)
	for path, want := range map[string]string{"/a/1234": "/a/", "/a/b/1234": "/a/b/", "/a/": "/a/", "/abc": "/ab", "/x": ""} {
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
	return opconfig.Change{Base: base, Version: int64(version), Content: text(version, prefixes...)}
}

func TestRegisterIsACompareAndSet(t *testing.T) {
	r := opconfig.NewRegister()
	require.Equal(t, opconfig.Taken, r.Apply(change(0, 5, "/a/")))
	require.Equal(t, opconfig.WasTaken, r.Apply(change(0, 5, "/a/")), "the very same again")
	require.Equal(t, opconfig.Conflict, r.Apply(change(0, 5, "/b/")), "another one under the same number")
	require.Equal(t, opconfig.Conflict, r.Apply(change(3, 7, "/b/")))
	require.Equal(t, opconfig.Stale, r.Apply(change(5, 5, "/b/")))
	require.Equal(t, opconfig.Taken, r.Apply(change(5, 7, "/b/")))
	require.Equal(t, opconfig.WasTaken, r.Apply(change(0, 5, "/a/")), "a resend of what was taken is never refused")
	require.Equal(t, int64(7), r.Current().Version)
}

func TestRegisterSurvivesASnapshot(t *testing.T) {
	r := opconfig.NewRegister()
	require.Equal(t, opconfig.Taken, r.Apply(change(0, 5, "/a/")))
	moved := opconfig.Change{Base: 5, Version: 6, Content: []byte(strings.Replace(strings.Replace(string(text(6, "/a/")), `"backend":"desk"`, `"backend":"studio"`, 1), `"services":[`, `"services":[{"name":"studio"},`, 1))}
	require.Equal(t, opconfig.Taken, r.Apply(moved))
	content, err := r.Snapshot()
	require.NoError(t, err)
	other := opconfig.NewRegister()
	require.NoError(t, other.Restore(content))
	require.Equal(t, r.Content, other.Content)
	require.Equal(t, []string{"desk", "studio"}, other.Backends["h.example/a/"])
	require.Equal(t, opconfig.WasTaken, other.Apply(change(0, 5, "/a/")))
	encoded, err := change(6, 9, "/a/").Encode()
	require.NoError(t, err)
	require.Equal(t, opconfig.Taken, other.ApplyBytes(encoded))
	require.Equal(t, opconfig.Stale, other.ApplyBytes([]byte("no change")))
}
