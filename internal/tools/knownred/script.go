package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

const maxKnownScripts = 3

// knownScript is a line of KNOWN-RED.txt that names a script. It is printed only: .ci/run doesn't run
// the script, and no Go test is skipped for it.
type knownScript struct {
	path, cause, issue string
}

// scriptPattern matches the first field of a line that names a script.
var scriptPattern = regexp.MustCompile(`^script (\S+\.sh)$`)

// parseScript reads a line that names a script. isScript is false for a line of the other form.
func parseScript(line string) (script knownScript, isScript bool, err error) {
	fields := strings.Split(line, "\t")
	name := scriptPattern.FindStringSubmatch(fields[0])
	if name == nil {
		return knownScript{}, false, nil
	}
	if len(fields) != expectedFields || strings.TrimSpace(fields[1]) == "" || !issuePattern.MatchString(fields[2]) {
		return knownScript{}, true, fmt.Errorf("not script<TAB>cause<TAB>issue: %q", line)
	}
	info, err := os.Stat(name[1])
	if err != nil || !filepath.IsLocal(name[1]) || !info.Mode().IsRegular() {
		return knownScript{}, true, fmt.Errorf("no such script: %s", name[1])
	}
	return knownScript{path: name[1], cause: fields[1], issue: fields[2]}, true, nil
}

// separateScripts returns the scripts that a text names, and the text without their lines.
func separateScripts(text string) (scripts []knownScript, rest string, err error) {
	var others strings.Builder
	number := 0
	for line := range strings.Lines(text) {
		number++
		script, isScript, err := parseScript(strings.TrimSuffix(line, "\n"))
		switch {
		case err != nil:
			return nil, "", fmt.Errorf("%s:%d: %w", listFile, number, err)
		case isScript:
			scripts = append(scripts, script)
		default:
			others.WriteString(line)
		}
	}
	if len(scripts) > maxKnownScripts {
		return nil, "", fmt.Errorf("%s: %d scripts, where %d may stand at most", listFile, len(scripts), maxKnownScripts)
	}
	return scripts, others.String(), nil
}

// printScripts prints the scripts.
func printScripts(scripts []knownScript, out io.Writer) error {
	for _, script := range scripts {
		if _, err := fmt.Fprintf(out, "known red not run: script %s (%s; issue %s)\n", script.path, script.cause, script.issue); err != nil {
			return fmt.Errorf("knownred: %w", err)
		}
	}
	return nil
}
