// Command knownred runs a test command without the tests that KNOWN-RED.txt names, and then runs each of
// the named tests by itself. .ci/run calls it:
//
//	go run ./internal/tools/knownred go test -race ./...
//
// A line of KNOWN-RED.txt is test<TAB>cause<TAB>issue. The test is a package and a name with a space
// between: "./internal/dispatcher/discovery TestSpread", or for one subtest
// "./internal/dispatcher/httpfront TestProgram/drains"; the root package is ".". The name is written
// as go test -v prints it. Each of its elements between slashes must match whole, and the test is skipped
// only in its own package. The issue is a number.
//
// A line may also name a script: "script review/6/run.sh", with cause and issue. Such a line is printed; the
// script isn't run, and no Go test is skipped for it. Three may stand there beside the tests.
//
// The outcome of a named test is printed and does not change the verdict. More than three lines, a
// line of another form, and one that names no existing test fail the check with status 1.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

const (
	listFile       = "KNOWN-RED.txt"
	maxKnownTests  = 3
	aloneTimeout   = "-timeout=3m" // for one known test by itself
	allPackages    = "./..."
	runMarker      = "=== RUN   " // prefix of the line that go test -v prints when a test starts
	expectedFields = 3
)

// knownTest is one line of KNOWN-RED.txt.
type knownTest struct {
	dir, name, cause, issue string
	importPath              string // of the package
}

var (
	testPattern  = regexp.MustCompile(`^(\.|\./\S+) ((?:Test|Example|Fuzz)\S*)$`)
	issuePattern = regexp.MustCompile(`^[0-9]+$`)
)

func main() {
	if err := run(context.Background(), os.Args[1:], os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run runs the test command in the working directory. It returns an error if the check fails.
func run(ctx context.Context, command []string, out, errOut io.Writer) error {
	if len(command) < 3 || command[len(command)-1] != allPackages {
		return errors.New("knownred: wants a test command whose last argument is ./... (all packages)")
	}
	text, err := os.ReadFile(listFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("knownred: %w", err)
	}
	scripts, tests, err := separateScripts(string(text))
	if err != nil {
		return err
	}
	return errors.Join(runTests(ctx, command, tests, out, errOut), printScripts(scripts, out))
}

// runTests runs the test command without the tests that a text names, and these by themselves.
func runTests(ctx context.Context, command []string, text string, out, errOut io.Writer) error {
	if text == "" {
		return runPassingOutput(ctx, command, out, errOut)
	}
	known, err := parse(text)
	if err != nil {
		return err
	}
	test := command[:len(command)-1]
	for i := range known {
		if err := known[i].resolve(ctx, test); err != nil {
			return err
		}
	}
	verdict := runOthers(ctx, test, known, out, errOut)
	for _, k := range known {
		if err := k.runAlone(ctx, test, out); err != nil {
			verdict = errors.Join(verdict, err)
		}
	}
	return verdict
}

// parse reads the lines of a file that is not empty.
func parse(text string) ([]knownTest, error) {
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if len(lines) > maxKnownTests {
		return nil, fmt.Errorf("%s: %d lines, where %d may stand at most", listFile, len(lines), maxKnownTests)
	}
	var known []knownTest
	for i, line := range lines {
		k, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", listFile, i+1, err)
		}
		if slices.ContainsFunc(known, func(o knownTest) bool { return o.dir == k.dir && o.name == k.name }) {
			return nil, fmt.Errorf("%s:%d: named twice: %s %s", listFile, i+1, k.dir, k.name)
		}
		known = append(known, k)
	}
	return known, nil
}

func parseLine(line string) (knownTest, error) {
	fields := strings.Split(line, "\t")
	if len(fields) != expectedFields {
		return knownTest{}, fmt.Errorf("not test<TAB>cause<TAB>issue: %q", line)
	}
	test, cause, issue := testPattern.FindStringSubmatch(fields[0]), fields[1], fields[2]
	if test == nil {
		return knownTest{}, fmt.Errorf("not a package, a space and a test: %q", fields[0])
	}
	if strings.TrimSpace(cause) == "" || !issuePattern.MatchString(issue) {
		return knownTest{}, fmt.Errorf("wants a cause and an issue's number: %q", line)
	}
	return knownTest{dir: test[1], name: test[2], cause: cause, issue: issue}, nil
}

// pattern returns a pattern for go test's -run and -skip that matches only this test: each element of the
// name must match whole.
func (k knownTest) pattern() string {
	elements := strings.Split(k.name, "/")
	for i, element := range elements {
		elements[i] = "^" + regexp.QuoteMeta(element) + "$"
	}
	return strings.Join(elements, "/")
}

// resolve sets the package's import path. It returns an error if no such package or top-level test
// exists.
func (k *knownTest) resolve(ctx context.Context, test []string) error {
	listed, err := exec.CommandContext(ctx, test[0], "list", k.dir).CombinedOutput()
	if err != nil || bytes.ContainsAny(bytes.TrimSpace(listed), " \n") {
		return fmt.Errorf("%s: no such package: %s: %s", listFile, k.dir, bytes.TrimSpace(listed))
	}
	k.importPath = string(bytes.TrimSpace(listed))
	topLevel, _, _ := strings.Cut(k.name, "/")
	names, err := withArguments(ctx, test, "-list", "^"+regexp.QuoteMeta(topLevel)+"$", k.dir).CombinedOutput()
	if err != nil || !slices.Contains(strings.Split(string(names), "\n"), topLevel) {
		return fmt.Errorf("%s: no such test: %s %s: %s", listFile, k.dir, k.name, bytes.TrimSpace(names))
	}
	return nil
}

// runOthers runs all tests but the known ones: first the packages that have no known test, then each
// other package with its known tests skipped.
func runOthers(ctx context.Context, test []string, known []knownTest, out, errOut io.Writer) error {
	listed, err := exec.CommandContext(ctx, test[0], "list", allPackages).Output()
	if err != nil {
		return fmt.Errorf("knownred: go list: %w", err)
	}
	patterns := map[string][]string{} // by import path
	for _, k := range known {
		patterns[k.importPath] = append(patterns[k.importPath], k.pattern())
	}
	var without, with []string
	for _, path := range strings.Fields(string(listed)) {
		if patterns[path] == nil {
			without = append(without, path)
		} else {
			with = append(with, path)
		}
	}
	var verdict error
	if len(without) > 0 {
		verdict = runPassingOutput(ctx, slices.Concat(test, without), out, errOut)
	}
	for _, path := range with {
		command := slices.Concat(test, []string{"-skip", strings.Join(patterns[path], "|"), path})
		verdict = errors.Join(verdict, runPassingOutput(ctx, command, out, errOut))
	}
	return verdict
}

// runAlone runs one known test and prints its outcome. It returns an error if the test does not exist; a
// missing subtest is found only here.
func (k knownTest) runAlone(ctx context.Context, test []string, out io.Writer) error {
	output, testErr := withArguments(ctx, test, "-count=1", aloneTimeout, "-v", "-run", k.pattern(), k.dir).CombinedOutput()
	outcome := "passes"
	if testErr != nil {
		outcome = "fails"
	}
	exists := slices.Contains(strings.Split(string(output), "\n"), runMarker+k.name)
	if !exists || testErr != nil {
		if _, err := out.Write(output); err != nil {
			return fmt.Errorf("knownred: %w", err)
		}
	}
	if !exists {
		return fmt.Errorf("%s: no such test: %s %s", listFile, k.dir, k.name)
	}
	if _, err := fmt.Fprintf(out, "known red %s: %s %s (%s; issue %s)\n", outcome, k.dir, k.name, k.cause, k.issue); err != nil {
		return fmt.Errorf("knownred: %w", err)
	}
	return nil
}

// withArguments returns the test command with further arguments.
func withArguments(ctx context.Context, test []string, more ...string) *exec.Cmd {
	return exec.CommandContext(ctx, test[0], slices.Concat(test[1:], more)...)
}

// runPassingOutput runs a command whose output goes to out and errOut.
func runPassingOutput(ctx context.Context, command []string, out, errOut io.Writer) error {
	c := exec.CommandContext(ctx, command[0], command[1:]...)
	c.Stdout, c.Stderr = out, errOut
	if err := c.Run(); err != nil {
		return fmt.Errorf("%s: %w", strings.Join(command[:min(len(command), 3)], " "), err)
	}
	return nil
}
