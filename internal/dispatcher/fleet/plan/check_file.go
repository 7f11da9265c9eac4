package plan

import (
	"fmt"
	"strings"

	"basaltloft/internal/dispatcher/policy"
)

// CheckFile checks a plan file for its author. If ok, the lines describe its plans; else they
// are its problems. Without classes there is always a problem, since they determine which
// stages may run again.
func CheckFile(name, text string, classes []policy.Class) (lines []string, ok bool) {
	plans, problems := Parse(name, []byte(text), ClassesByName(classes))
	for _, p := range problems {
		lines = append(lines, fmt.Sprintf("%s:%d:%d: error: %s", p.File, p.Line, p.Column, p.Text))
	}
	if len(problems) > 0 {
		return lines, false
	}
	for _, p := range plans {
		for _, line := range strings.Split(strings.TrimSuffix(p.Describe(), "\n"), "\n") {
			lines = append(lines, name+": "+line)
		}
	}
	return lines, true
}

// ClassesByName returns classes by their names, in the form that Parse needs.
func ClassesByName(classes []policy.Class) map[string]policy.Class {
	by := make(map[string]policy.Class, len(classes))
	for _, c := range classes {
		by[c.Name] = c
	}
	return by
}
