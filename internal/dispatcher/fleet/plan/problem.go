package plan

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// Problem is an error in a plan file. Its text also states how to correct it.
type Problem struct {
	File         string
	Line, Column int // counted from 1
	Text         string
}

// String returns the problem in the file:line:column format that editors parse.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text)
}

func (f *fileParser) addProblem(at hcl.Range, format string, args ...any) {
	f.problems = append(f.problems, Problem{f.name, max(at.Start.Line, 1), max(at.Start.Column, 1), fmt.Sprintf(format, args...)})
}

// addDiagnostics adds the errors that the HCL library has reported.
func (f *fileParser) addDiagnostics(diags hcl.Diagnostics) {
	for _, d := range diags {
		if d.Severity != hcl.DiagError {
			continue
		}
		var at hcl.Range
		if d.Subject != nil {
			at = *d.Subject
		}
		f.addProblem(at, "%s", diagnosticText(d))
	}
}

// diagnosticText formats a diagnostic as one line.
func diagnosticText(d *hcl.Diagnostic) string {
	text := strings.Join(strings.Fields(d.Detail), " ")
	return lowerFirst(strings.TrimSuffix(d.Summary, ".")) + ": " + strings.TrimSuffix(text, ".")
}

func lowerFirst(text string) string {
	if text == "" {
		return "error"
	}
	return strings.ToLower(text[:1]) + text[1:]
}
