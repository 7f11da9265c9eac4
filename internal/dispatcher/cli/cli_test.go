package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/journal"
	"basaltloft/internal/dispatcher/logging/logtest"

	"github.com/stretchr/testify/require"
)

func call(args ...string) (status int, out, errs string) {
	var o, e bytes.Buffer
	status = Main(context.Background(), args, &o, &e)
	return status, o.String(), e.String()
}

// TestMisuse checks that wrong arguments print one line that names the mistake and exit with status 2, and
// that other failures exit with status 1.
func TestMisuse(t *testing.T) {
	t.Setenv("ROUTER_CONFIG", "/nowhere/config.json")
	for line, want := range map[string]string{
		"dance":                               `unknown command "dance"`,
		"--nope":                              `unknown flag: --nope`,
		"serve now":                           `unknown command "now"`,
		"config check":                        `one FILE is needed`,
		"config check a b":                    `one FILE is needed`,
		"--log-format xml":                    `--log-format is text or json, not "xml"`,
		"version --log-level loud":            `no level is called "loud"`,
		"demo --for 0s":                       `--for must be more than nothing`,
		"demo --for soon":                     `invalid argument "soon"`,
		"demo --processes 31":                 `--processes must be 1 to 30`,
		"figures report":                      `--folder is needed`,
		"figures report --folder . --by moon": `not by "moon"`,
		"figures report --folder . --from yesterday":                  `neither a date nor a time`,
		"figures report --folder . --from 2026-02-01 --to 2026-01-01": `ends before it begins`,
		"figures report --folder . --format xml":                      `--format is table, csv or json`,
		"figures show --format csv":                                   `--format is table or json`,
		"figures show --by moon":                                      `--by takes any of`,
		"figures plot --folder . --out a.gif":                         `--out must end in .svg or .png`,
		"figures verify":                                              `one FOLDER is needed`,
		"standin":                                                     `--folder must be named`,
		"standin --folder . --members 0":                              `--members and --slots be 1 or more`,
		"figures soak --kills -1":                                     `--kills`,
	} {
		status, out, errs := call(strings.Fields(line)...)
		require.Equal(t, exitUsage, status, line)
		require.Empty(t, out, line)
		require.Contains(t, errs, want, line)
		require.Equal(t, 1, strings.Count(errs, "\n"), "%s: %s", line, errs)
	}
	for line, want := range map[string]string{
		"":                              "ROUTER_CONFIG: open /nowhere/config.json",
		"-operator x":                   "ROUTER_CONFIG: open /nowhere/config.json",
		"serve -operator=x":             "ROUTER_CONFIG: open /nowhere/config.json",
		"figures show --at 127.0.0.1:1": "no dispatcher tells its figures there",
		"figures verify /nowhere":       "no such file",
		"config check /nowhere":         "no such file",
	} {
		status, _, errs := call(strings.Fields(line)...)
		require.Equal(t, exitFailed, status, line)
		require.Contains(t, errs, want, line)
	}
	status, out, _ := call("--help")
	require.Equal(t, exitOK, status)
	require.Contains(t, out, "figures")
	status, out, _ = call("version")
	require.Equal(t, exitOK, status)
	require.Contains(t, out, "basaltloft")
}

// TestCheck checks that config check prints every mistake of a file in one run, with file and key, and that the
// example files have none.
func TestCheck(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"# why":"a comment","agent_check":{"listen":"nowhere"},"figures":{"audit_every_ms":-1,"jurnal":{}},
		"faktory":{"listen":"127.0.0.1:1","queues":{"a.b":{"class":7,"deadline":5}},"connections":"many"}}`), 0o600))
	bad := filepath.Join(t.TempDir(), "experiment.json")
	require.NoError(t, os.WriteFile(bad, []byte(`{"experiment":{"members":[{"speed":-1}],"classes":[{"name":"none","rate":1,"shape":"odd"}],"troubles":[{"kind":"flood"}]},"settings":5}`), 0o600))
	status, out, _ := call("config", "check", bad)
	require.Equal(t, exitFailed, status)
	for _, want := range []string{"experiment.length_s: ", "settings: not an object", "experiment.members[0].kind: ", "experiment.classes[0].name: ", `experiment.troubles[0].kind: is one of`} {
		require.Contains(t, out, "error: "+want)
	}
	status, out, _ = call("config", "check", path)
	require.Equal(t, exitFailed, status)
	for _, want := range []string{
		"error: agent_check.listen: ", "error: figures.audit_every_ms: must not be negative", "error: faktory.queues.a.b.class of type string: got a number",
		"error: faktory.connections of type number: got a string", "warning: figures.jurnal: nothing reads this key", "warning: faktory.queues.a.b.deadline: nothing reads this key",
	} {
		require.Contains(t, out, path+": "+want)
	}
	require.Equal(t, 6, strings.Count(out, "\n"), out)
	examples, err := filepath.Glob(filepath.Join("..", "..", "..", "experiments", "*.json"))
	require.NoError(t, err)
	require.NotEmpty(t, examples)
	for _, example := range append(examples, filepath.Join("..", "..", "..", "deploy", "operator-example.json"), filepath.Join("..", "..", "..", "deploy", "config-example.json")) {
		status, out, errs := call("config", "check", example)
		require.Equal(t, exitOK, status, out+errs)
		require.Equal(t, 1, strings.Count(out, "\n"), out)
	}
}

// TestCheckPlans checks that a plan file is checked against the classes of the configuration given by
// --config, and is refused without one.
func TestCheckPlans(t *testing.T) {
	at := func(name string) string { return filepath.Join("..", "..", "..", name) }
	plans := at("deploy/plans-archive-example.hcl")
	status, out, errs := call("config", "check", plans, "--config", at("experiments/archive.json"))
	require.Equal(t, exitOK, status, out+errs)
	require.Contains(t, out, plans+`: plan "reading": at most 26 attempts (bound 30)`)
	require.Contains(t, out, plans+": ok (plans)\n")
	status, out, _ = call("config", "check", plans, "--config", at("deploy/config-example.json"))
	require.Equal(t, exitFailed, status)
	require.Contains(t, out, plans+`:12:13: error: unknown class "preview"; one of group-ticket, place-hold`)
	status, out, _ = call("config", "check", plans)
	require.Equal(t, exitFailed, status)
	require.Contains(t, out, "name the configuration that has them (config check --config FILE)")
	status, _, errs = call("config", "check", plans, "--config", "/nowhere")
	require.Equal(t, exitFailed, status)
	require.Contains(t, errs, "no such file")
}

// TestVerify checks that figures verify exits with status 0 for a consistent journal, and with status 1 and a
// line that names the place for one with a flipped bit. It also checks figures report in each format.
func TestVerify(t *testing.T) {
	dir := t.TempDir()
	f, err := journal.OpenDirectory(dir)
	require.NoError(t, err)
	log := logtest.Discard()
	start := time.Date(2026, 7, 4, 12, 0, 0, 0, time.UTC)
	j, err := journal.Open(f, journal.Settings{SegmentBytes: 1 << 20, MaxBytes: 1 << 30, MaxAge: time.Hour}, start, log, nil)
	require.NoError(t, err)
	j.JobAccepted(1, accounting.Job{Front: "http", Class: "place-hold", Tenant: "a"}, start)
	j.JobEnded(1, "cell 0", accounting.Answered, start.Add(25*time.Millisecond))
	require.NoError(t, j.Close())
	status, out, _ := call("figures", "verify", dir)
	require.Equal(t, exitOK, status, out)
	require.Contains(t, out, "1 taken = 1 served + 0 refused + 0 failed + 0 open")
	for format, want := range map[string]string{
		"csv":  "tenant,class,opened,taken,served,refused,failed,open,asks,p50_ms,p95_ms,p99_ms,longest_ms\na,place-hold,0,1,1,0,0,0,1,25.1",
		"json": `"answered": 1`, "table": "place-hold",
	} {
		status, out, errs := call("figures", "report", "--folder", dir, "--format", format, "--from", "2026-07-04", "--to", "2026-07-04T13:00:00Z")
		require.Equal(t, exitOK, status, errs)
		require.Contains(t, out, want)
	}
	name := filepath.Join(dir, "00000001-00000001.seg")
	text, err := os.ReadFile(name)
	require.NoError(t, err)
	text[len(text)-3] ^= 4
	require.NoError(t, os.WriteFile(name, text, 0o600))
	status, out, _ = call("figures", "verify", dir)
	require.Equal(t, exitFailed, status)
	require.Contains(t, out, "WRONG: 00000001-00000001.seg: a batch at byte")
}
