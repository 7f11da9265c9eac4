// Command knownred runs a test command without the tests that KNOWN-RED.txt
// names, and these by themselves. .ci/run calls it; nothing imports it.
//
//	go run ./internal/tools/knownred go test -race ./...
//
// A line of KNOWN-RED.txt is test<TAB>cause<TAB>issue. The test is a package
// and a name with a space between: "./internal/dispatcher/discovery TestSpread", or for one
// subtest "./internal/dispatcher/httpfront TestProgram/drains"; the root package is
// ".". The name is written as go test -v prints it. It is taken whole,
// element by element, and skipped in its own package alone. The issue is a
// number.
//
// What a named test does changes no verdict. More than three lines, a line of
// another form and one that names no existing test end the check with status 1.
package main

import (
	"bytes"
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
	file   = "KNOWN-RED.txt"
	most   = 3
	within = "-timeout=3m" // for one known test by itself
)

// red is one line of the file.
type red struct {
	dir, name, cause, issue string
	path                    string // the package's import path
}

var (
	inPackage = regexp.MustCompile(`^(\.|\./\S+) ((?:Test|Example|Fuzz)\S*)$`)
	number    = regexp.MustCompile(`^[0-9]+$`)
)

func main() {
	if err := run(os.Args[1:], os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run runs the command in the working folder. An error is the check's verdict.
func run(command []string, out, log io.Writer) error {
	if len(command) < 3 || command[len(command)-1] != "./..." {
		return errors.New("knownred: wants a test command that ends with ./...")
	}
	text, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("knownred: %w", err)
	}
	if len(text) == 0 {
		return pass(command, out, log)
	}
	reds, err := parse(string(text))
	if err != nil {
		return err
	}
	test := command[:len(command)-1]
	for i := range reds {
		if err := reds[i].find(test); err != nil {
			return err
		}
	}
	verdict := others(command, reds, out, log)
	for _, r := range reds {
		if err := r.alone(test, out); err != nil {
			verdict = errors.Join(verdict, err)
		}
	}
	return verdict
}

// parse reads the lines of a file that is not empty.
func parse(text string) ([]red, error) {
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if len(lines) > most {
		return nil, fmt.Errorf("%s: %d lines, where %d may stand at most", file, len(lines), most)
	}
	var reds []red
	for i, line := range lines {
		fields := strings.Split(line, "\t")
		if len(fields) != 3 {
			return nil, fmt.Errorf("%s:%d: not test<TAB>cause<TAB>issue: %q", file, i+1, line)
		}
		named := inPackage.FindStringSubmatch(fields[0])
		if named == nil {
			return nil, fmt.Errorf("%s:%d: not a package, a space and a test: %q", file, i+1, fields[0])
		}
		if strings.TrimSpace(fields[1]) == "" || !number.MatchString(fields[2]) {
			return nil, fmt.Errorf("%s:%d: wants a cause and an issue's number: %q", file, i+1, line)
		}
		r := red{dir: named[1], name: named[2], cause: fields[1], issue: fields[2]}
		if slices.ContainsFunc(reds, func(o red) bool { return o.dir == r.dir && o.name == r.name }) {
			return nil, fmt.Errorf("%s:%d: named twice: %q", file, i+1, fields[0])
		}
		reds = append(reds, r)
	}
	return reds, nil
}

// pattern matches the test alone, as go test's -run and -skip read it: element
// by element, each whole.
func (r red) pattern() string {
	elements := strings.Split(r.name, "/")
	for i, e := range elements {
		elements[i] = "^" + regexp.QuoteMeta(e) + "$"
	}
	return strings.Join(elements, "/")
}

// find sets the package's import path. The error says that no such package or
// top-level test exists.
func (r *red) find(test []string) error {
	listed, err := exec.Command(test[0], "list", r.dir).CombinedOutput()
	if err != nil || bytes.ContainsAny(bytes.TrimSpace(listed), " \n") {
		return fmt.Errorf("%s: no such package: %s: %s", file, r.dir, bytes.TrimSpace(listed))
	}
	r.path = string(bytes.TrimSpace(listed))
	top, _, _ := strings.Cut(r.name, "/")
	names, err := call(test, "-list", "^"+regexp.QuoteMeta(top)+"$", r.dir).CombinedOutput()
	if err != nil || !slices.Contains(strings.Split(string(names), "\n"), top) {
		return fmt.Errorf("%s: no such test: %s %s: %s", file, r.dir, r.name, bytes.TrimSpace(names))
	}
	return nil
}

// others runs all but the known tests: the packages without one as they are,
// each other without its own.
func others(command []string, reds []red, out, log io.Writer) error {
	test := command[:len(command)-1]
	listed, err := exec.Command(test[0], "list", "./...").Output()
	if err != nil {
		return fmt.Errorf("knownred: go list: %w", err)
	}
	skip := map[string][]string{}
	for _, r := range reds {
		skip[r.path] = append(skip[r.path], r.pattern())
	}
	var plain, with []string
	for _, path := range strings.Fields(string(listed)) {
		if skip[path] == nil {
			plain = append(plain, path)
		} else {
			with = append(with, path)
		}
	}
	var verdict error
	if len(plain) > 0 {
		verdict = pass(append(slices.Clone(test), plain...), out, log)
	}
	for _, path := range with {
		args := append(slices.Clone(test), "-skip", strings.Join(skip[path], "|"), path)
		verdict = errors.Join(verdict, pass(args, out, log))
	}
	return verdict
}

// alone runs one known test and prints its outcome. The error says that it
// does not exist, which of a subtest shows only now.
func (r red) alone(test []string, out io.Writer) error {
	said, err := call(test, "-count=1", within, "-v", "-run", r.pattern(), r.dir).CombinedOutput()
	lines := strings.Split(string(said), "\n")
	if !slices.Contains(lines, "=== RUN   "+r.name) {
		fmt.Fprintf(out, "%s", said)
		return fmt.Errorf("%s: no such test: %s %s", file, r.dir, r.name)
	}
	outcome := "fails"
	if err == nil {
		outcome = "passes"
	} else {
		fmt.Fprintf(out, "%s", said)
	}
	fmt.Fprintf(out, "known red %s: %s %s (%s; issue %s)\n", outcome, r.dir, r.name, r.cause, r.issue)
	return nil
}

// call is the test command with further arguments.
func call(test []string, more ...string) *exec.Cmd {
	args := append(slices.Clone(test[1:]), more...)
	return exec.Command(test[0], args...)
}

// pass runs a command with its output passed on.
func pass(command []string, out, log io.Writer) error {
	c := exec.Command(command[0], command[1:]...)
	c.Stdout, c.Stderr = out, log
	if err := c.Run(); err != nil {
		return fmt.Errorf("%s: %w", strings.Join(command[:min(len(command), 3)], " "), err)
	}
	return nil
}
