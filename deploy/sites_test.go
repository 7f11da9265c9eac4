package deploy_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// site holds a file of sites/: the values of each key as written, by table and key, in the
// order of the tables.
type site map[string][]string

// readSite reads the subset of TOML that the sites use: tables, lists of tables, and lines of
// one key and its value.
func readSite(t *testing.T, path string) site {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	s, table := site{}, ""
	for _, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#':
		case line[0] == '[':
			table = strings.Trim(line, "[]") + "."
		default:
			key, value, ok := strings.Cut(line, " = ")
			require.True(t, ok, "%s: %s", path, line)
			s[table+key] = append(s[table+key], strings.Trim(value, `"`))
		}
	}
	return s
}

// one returns the single value of key.
func (s site) one(t *testing.T, key string) string {
	t.Helper()
	require.Len(t, s[key], 1, key)
	return s[key][0]
}

// names returns the names that the site defines: its own and those of its classes, tenants, tiers, kinds
// and zones.
func (s site) names(t *testing.T) []string {
	all := slices.Concat(s["name"], s["class.name"], s["tenant.name"], s["tier.name"], s["tier.kind.name"])
	for _, zone := range strings.Split(strings.Trim(s.one(t, "net.zones"), "[]"), ",") {
		all = append(all, strings.Trim(zone, ` "`))
	}
	return all
}

func sites(t *testing.T) (ferry, press site) {
	return readSite(t, "sites/ferry-fares.toml"), readSite(t, "sites/press-proofs.toml")
}

func TestSitesHoldTheExtremesTheyStandFor(t *testing.T) {
	ferry, press := sites(t)

	require.Equal(t, "ask", ferry.one(t, "discovery.mode"))
	require.Equal(t, "false", ferry.one(t, "fam.tells_start"))
	require.GreaterOrEqual(t, len(ferry["class.name"]), 3)
	require.Len(t, ferry["class.deadline_ms"], len(ferry["class.name"]))
	for _, deadline := range ferry["class.deadline_ms"] {
		ms, err := strconv.Atoi(deadline)
		require.NoError(t, err)
		require.Less(t, ms, 3000, "a deadline, in ms")
	}
	require.Greater(t, strings.Count(ferry.one(t, "net.zones"), ","), 1, "zones")

	require.Equal(t, "push", press.one(t, "discovery.mode"))
	require.Equal(t, "true", press.one(t, "fam.tells_start"))
	require.NotEqual(t, "none", press.one(t, "tier.report.how"))
	require.NotContains(t, press.one(t, "net.zones"), ",", "one zone")
	require.ElementsMatch(t, []string{"safe", "keyed", "unsafe"}, press["class.effect"])
	for _, window := range press["class.window_ms"] {
		ms, err := strconv.Atoi(window)
		require.NoError(t, err)
		require.Less(t, ms, 2000, "a narrow window, in ms")
	}
}

func TestSitesDifferWhereverADeploymentMay(t *testing.T) {
	ferry, press := sites(t)
	for _, key := range []string{
		"name", "net.zones", "front.entry", "day.tick_ms", "scale.servers", "load.hints",
		"clients.retries", "clients.backoff_ms", "clients.max_retry_after_ms",
		"discovery.mode", "discovery.notice_s", "discovery.period_ms",
		"allow.probes", "allow.cancel", "allow.second_copies", "allow.retry_after",
		"allow.max_attempts", "allow.cpu_ms_per_s",
		"rules.fall_multiple", "rules.fall_ms", "prices.waste", "prices.probe", "prices.cross_zone",
		"tier.weights", "tier.report.how", "tier.conn.idle_s", "tier.conn.connect_timeout_ms",
		"tier.probe.deep", "fam.order", "fam.memory", "fam.tells_start", "fam.progress_s",
		"fam.drain_returns",
	} {
		require.NotEqual(t, ferry.one(t, key), press.one(t, key), key)
	}
	for _, key := range []string{
		"tier.kind.name", "tier.kind.cores", "tier.kind.warm_by", "class.name", "class.share",
		"class.work_ms", "class.aim_ms", "class.deadline_ms", "class.group",
		"class.window_ms", "tenant.name", "fam.class.stretch",
	} {
		for _, value := range ferry[key] {
			require.NotContains(t, press[key], value, key)
		}
	}
}

// TestSitesNamesStandNowhereElse checks that no name of a site occurs in the program, in its tests or in
// another deploy file.
func TestSitesNamesStandNowhereElse(t *testing.T) {
	ferry, press := sites(t)
	names := append(ferry.names(t), press.names(t)...)
	require.Greater(t, len(names), 20)
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, _ := filepath.Rel("..", path)
		switch {
		case d.IsDir() && slices.Contains([]string{".git", "bin", "docs", "journal", "found", "deploy/sites"}, filepath.ToSlash(rel)):
			return fs.SkipDir
		case d.IsDir() || !slices.Contains([]string{".go", ".toml", ".json", ".hcl"}, filepath.Ext(path)),
			rel == filepath.Join("deploy", "sites_test.go"):
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, name := range names {
			require.NotContains(t, string(text), name, rel)
		}
		return nil
	})
	require.NoError(t, err)
}
