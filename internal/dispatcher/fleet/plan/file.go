package plan

import (
	"fmt"
	"strings"

	"basaltloft/internal/dispatcher/policy"
)

// CheckFile checks a plan file for who wrote it. The lines are its problems, or
// what its plans may come to; ok tells which. No classes at all is a problem: the
// rules on what may run again need them.
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

// ClassesByName are classes by their names, as Parse takes them.
func ClassesByName(list []policy.Class) map[string]policy.Class {
	by := make(map[string]policy.Class, len(list))
	for _, c := range list {
		by[c.Name] = c
	}
	return by
}
