package main

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// plantedModule holds the files of a module in which two packages have tests of the same names that
// behave differently.
var plantedModule = map[string]string{
	"go.mod":   "module planted\n\ngo 1.24\n",
	"a/run.sh": "exit 1\n",
	"a/a_test.go": `package a

import "testing"

func TestRed(t *testing.T)      { t.Fatal("a is red") }
func TestRedder(t *testing.T)   { println("redder ran") }
func TestGreen(t *testing.T)    {}
func TestParent(t *testing.T) {
	t.Run("drains at once", func(t *testing.T) { t.Fatal("a sub is red") })
	t.Run("drains", func(t *testing.T) { println("the other sub ran") })
}
`,
	"b/b_test.go": `package b

import (
	"os"
	"testing"
)

func TestRed(t *testing.T) { println("b's own ran") }
func TestNew(t *testing.T) {
	if os.Getenv("PLANTED") != "" {
		t.Fatal("new")
	}
}
func TestParent(t *testing.T) {
	t.Run("drains at once", func(t *testing.T) { println("b's sub ran") })
}
`,
}

const (
	top = "./a TestRed\ta cause\t33\n"
	sub = "./a TestParent/drains_at_once\tanother cause\t34\n"

	script = "script a/run.sh\ta wait\t70\n"
)

// writeModule writes the module and changes into its folder. All cases share it, so that it is built only
// once.
func writeModule(t *testing.T) {
	dir := t.TempDir()
	for name, text := range plantedModule {
		path := filepath.Join(dir, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	}
	t.Chdir(dir)
	t.Setenv("GOWORK", "off")
}

// runCheck runs the check over the planted module with text as KNOWN-RED.txt, or without that file if text
// is "absent". With broken set, TestNew fails.
func runCheck(t *testing.T, text string, broken bool) (string, error) {
	t.Helper()
	if err := os.Remove(listFile); err != nil {
		require.ErrorIs(t, err, fs.ErrNotExist)
	}
	if text != "absent" {
		require.NoError(t, os.WriteFile(listFile, []byte(text), 0o644))
	}
	if broken {
		t.Setenv("PLANTED", "broken")
	}
	var output bytes.Buffer
	err := run(t.Context(), []string{"go", "test", "-v", "./..."}, &output, &output)
	return output.String(), err
}

func TestKnownRed(t *testing.T) {
	cases := []struct {
		name, text string
		broken     bool
		fails      string // part of the error; empty: the check passes
		prints     []string
	}{
		{name: "absent", text: "absent", fails: "exit status 1", prints: []string{"a is red", "a sub is red", "ok  \tplanted/b"}},
		{name: "empty", text: "", fails: "exit status 1", prints: []string{"a is red", "a sub is red", "ok  \tplanted/b"}},
		{name: "known ones fail or pass", text: top + sub + "./a TestGreen\ta race\t5\n", prints: []string{
			"known red fails: ./a TestRed (a cause; issue 33)",
			"known red fails: ./a TestParent/drains_at_once (another cause; issue 34)",
			"known red passes: ./a TestGreen (a race; issue 5)",
			"redder ran", "the other sub ran", "b's own ran", "b's sub ran", "ok  \tplanted/a", "ok  \tplanted/b"}},
		{name: "others fail", text: top, broken: true, fails: "exit status 1", prints: []string{
			"known red fails: ./a TestRed", "a sub is red", "FAIL\tplanted/a", "FAIL\tplanted/b"}},
		{name: "too many", text: top + sub + "./a TestGreen\tc\t1\n./b TestRed\tc\t1\n", fails: "4 lines"},
		{name: "no such package", text: "./c TestRed\tc\t1\n", fails: "no such package"},
		{name: "no such test", text: "./b TestGreen\tc\t1\n", fails: "no such test: ./b TestGreen"},
		{name: "the beginning of a name", text: "./a TestRe\tc\t1\n", fails: "no such test: ./a TestRe"},
		{name: "no such subtest", text: "./a TestParent/drain\tc\t1\n", fails: "no such test: ./a TestParent/drain"},
		{name: "a pattern is no name", text: "./a Test.*\tc\t1\n", fails: "no such test"},
		{name: "all packages", text: "./... TestRed\tc\t1\n", fails: "no such package"},
		{name: "without a package", text: "TestRed\tc\t1\n", fails: "not a package"},
		{name: "two fields", text: "./a TestRed\tcause 33\n", fails: "not test<TAB>"},
		{name: "four fields", text: "./a TestRed\tc\t1\t2\n", fails: "not test<TAB>"},
		{name: "no cause", text: "./a TestRed\t \t1\n", fails: "wants a cause"},
		{name: "no issue", text: "./a TestRed\tc\tsoon\n", fails: "an issue's number"},
		{name: "a blank line", text: top + "\n" + sub, fails: "not test<TAB>"},
		{name: "named twice", text: top + top, fails: "named twice"},
		{name: "a script hides no test", text: script, fails: "exit status 1", prints: []string{
			"known red not run: script a/run.sh (a wait; issue 70)", "a is red", "a sub is red", "ok  \tplanted/b"}},
		{name: "a script beside tests", text: top + script + sub, prints: []string{
			"known red not run: script a/run.sh", "known red fails: ./a TestRed", "known red fails: ./a TestParent/drains_at_once", "ok  \tplanted/b"}},
		{name: "others fail beside a script", text: top + sub + script, broken: true, fails: "exit status 1", prints: []string{"FAIL\tplanted/b"}},
		{name: "no such script", text: "script a/other.sh\tc\t1\n", fails: "no such script"},
		{name: "a script outside", text: "script ../a/run.sh\tc\t1\n", fails: "no such script"},
		{name: "a script without a cause", text: "script a/run.sh\t\t1\n", fails: "not script<TAB>"},
		{name: "a script without an issue", text: "script a/run.sh\tc\n", fails: "not script<TAB>"},
		{name: "a test is no script", text: "script ./a TestRed\tc\t1\n", fails: "not a package"},
		{name: "too many scripts", text: script + script + script + script, fails: "4 scripts"},
	}
	writeModule(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			output, err := runCheck(t, c.text, c.broken)
			if c.fails == "" {
				require.NoError(t, err, output)
			} else {
				require.ErrorContains(t, err, c.fails, output)
			}
			for _, s := range c.prints {
				require.Contains(t, output, s)
			}
		})
	}
}

// TestCommand checks that .ci/run runs the README's test command.
func TestCommand(t *testing.T) {
	readme, err := os.ReadFile("../../../README.md")
	require.NoError(t, err)
	ci, err := os.ReadFile("../../../.ci/run")
	require.NoError(t, err)
	const command = "go test -race ./..."
	require.Contains(t, string(readme), "\n    # test\n    "+command+"\n")
	require.Contains(t, string(ci), "\ngo run ./internal/tools/knownred "+command+"\n")
	require.Error(t, run(t.Context(), []string{"go", "test"}, nil, nil))
}
