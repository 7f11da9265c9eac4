package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const retuned = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"balancers":1,"rank":0,"registry_mode":"ask",
"lanes":[{"name":"a","effect":"idempotent","promise":400000000,"give_up":10000000000,"worth":1}],"limits":{"most_tries":2}}}`

// TestCheckReload checks that CheckReload rejects each kind of file that must not be loaded on
// SIGHUP, and accepts a valid one.
func TestCheckReload(t *testing.T) {
	require.NoError(t, CheckReload([]byte(retuned)))
	cut := func(from, to string) string { return strings.Replace(retuned, from, to, 1) }
	for name, text := range map[string]string{
		"empty":                "",
		"cut short":            retuned[:len(retuned)/2],
		"not an object":        `[1]`,
		"no discovery":         cut(`"discovery":"127.0.0.1:2",`, ""),
		"no settings":          `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2"}`,
		"no lanes":             cut(`"lanes":[{"name":"a","effect":"idempotent","promise":400000000,"give_up":10000000000,"worth":1}],`, ""),
		"no lane name":         cut(`"name":"a",`, ""),
		"no promise":           cut(`"promise":400000000,`, ""),
		"deadline 0":           cut(`"give_up":10000000000`, `"give_up":0`),
		"deadline below 0":     cut(`"give_up":10000000000`, `"give_up":-5`),
		"deadline a word":      cut(`"give_up":10000000000`, `"give_up":"soon"`),
		"deadline null":        cut(`"give_up":10000000000`, `"give_up":null`),
		"no attempts":          cut(`"limits":{"most_tries":2}`, `"limits":{}`),
		"attempts 0":           cut(`"most_tries":2`, `"most_tries":0`),
		"attempts below 0":     cut(`"most_tries":2`, `"most_tries":-1`),
		"attempts a word":      cut(`"most_tries":2`, `"most_tries":"two"`),
		"attempts not a whole": cut(`"most_tries":2`, `"most_tries":true`),
	} {
		require.Error(t, CheckReload([]byte(text)), name)
	}
}
