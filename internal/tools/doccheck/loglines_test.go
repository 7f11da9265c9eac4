package doccheck

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"

	"github.com/stretchr/testify/require"
)

// logLinesPage lists the older dispatcher's log lines.
const logLinesPage = "docs/operations-log-lines.md"

// levelNames holds the level's name in log lines and on the page, by the logger's method.
var levelNames = map[string]string{"Debug": "debug", "Info": "info", "Warn": "warning", "Error": "error"}

// variableMessages holds the messages of the calls whose message is not a constant, by the expression.
var variableMessages = map[string][]string{
	"a.Verdict.String()": {engine.Refused.String(), engine.Failed.String(), engine.Denied.String()}, // of pipeline, which logs no request that was served
	"message":            {"the operators put a runner out", "the operators put a runner back"},     // of adminapi
	"text":               nil,                                                                       // of engine: the policy's messages, which are collected where they are formatted
	"what":               nil,                                                                       // of engine.trace, whose calls are collected
}

// loggedLine is the level and the message of a log line.
type loggedLine struct{ level, message string }

// logSource holds the log calls in the dispatcher's source.
type logSource struct {
	lines   map[loggedLine]map[string]bool // keys at the call, by line
	derived map[string]bool                // keys of derived loggers and of attributes that functions make
	unknown []string                       // calls whose message is neither constant nor in variableMessages
}

// literal returns the text of a string constant, and whether the expression is one.
func literal(e ast.Expr) (string, bool) {
	constant, ok := e.(*ast.BasicLit)
	if !ok || constant.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(constant.Value)
	return text, err == nil
}

// isLogger reports whether an expression is a logger by its name: log, x.log or x.Log.
func isLogger(e ast.Expr) bool {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name == "log"
	case *ast.SelectorExpr:
		return e.Sel.Name == "log" || e.Sel.Name == "Log"
	}
	return false
}

// add records a line with its keys. The arguments after the message are keys and values in turn.
func (s *logSource) add(line loggedLine, arguments []ast.Expr) {
	if s.lines[line] == nil {
		s.lines[line] = map[string]bool{}
	}
	for i := 0; i < len(arguments); i += 2 {
		if key, ok := literal(arguments[i]); ok {
			s.lines[line][key] = true
		}
	}
}

// addCall records a call that logs, derives a logger or makes an attribute, and ignores any other call.
func (s *logSource) addCall(files *token.FileSet, call *ast.CallExpr) {
	function, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 {
		return
	}
	name, first := function.Sel.Name, call.Args[0]
	constant, isConstant := literal(first)
	switch owner, _ := function.X.(*ast.Ident); {
	case owner != nil && owner.Name == "slog" && isConstant: // an attribute
		s.derived[constant] = true
	case name == "trace" && isConstant: // engine.trace
		s.add(loggedLine{"trace", constant}, nil)
	case name == "log" && isConstant: // policy's log, which formats its message
		s.add(loggedLine{"info", strings.ReplaceAll(constant, "%d", "N")}, nil)
	case !isLogger(function.X):
	case name == "With":
		for i := 0; i < len(call.Args); i += 2 {
			if key, ok := literal(call.Args[i]); ok {
				s.derived[key] = true
			}
		}
	case name == "LogAttrs": // context, level, message, attributes
		level, message := call.Args[1], call.Args[2]
		s.addMessage(files, levelNames[strings.TrimPrefix(level.(*ast.SelectorExpr).Sel.Name, "Level")], message, nil)
	case levelNames[name] != "":
		s.addMessage(files, levelNames[name], first, call.Args[1:])
	}
}

// addMessage records a call that logs a message.
func (s *logSource) addMessage(files *token.FileSet, level string, message ast.Expr, arguments []ast.Expr) {
	if constant, ok := literal(message); ok {
		s.add(loggedLine{level, constant}, arguments)
		return
	}
	expression := expressionText(message)
	messages, known := variableMessages[expression]
	if !known {
		s.unknown = append(s.unknown, fmt.Sprintf("%s: %s", files.Position(message.Pos()), expression))
	}
	for _, m := range messages {
		s.add(loggedLine{level, m}, arguments)
	}
}

// expressionText returns the text of an identifier, a selector or a call without arguments.
func expressionText(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return expressionText(e.X) + "." + e.Sel.Name
	case *ast.CallExpr:
		return expressionText(e.Fun) + "()"
	}
	return fmt.Sprintf("%T", e)
}

// readLogSource reads the older dispatcher's source.
func readLogSource(t *testing.T) *logSource {
	t.Helper()
	s := &logSource{lines: map[loggedLine]map[string]bool{}, derived: map[string]bool{}}
	for outcome := range accounting.Outcomes { // keys of the totals
		s.derived[outcome.String()] = true
	}
	files := token.NewFileSet()
	err := filepath.WalkDir(filepath.Join(root, "internal", "dispatcher"), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				s.addCall(files, call)
			}
			return true
		})
		return nil
	})
	require.NoError(t, err)
	return s
}

// logRow is a row of the page's tables: level, message and keys.
var logRow = regexp.MustCompile("(?m)^\\| (\\w+) `([^`]+)` \\|([^|]*)\\|")

// readLogRows returns the keys of each line in the page's tables.
func readLogRows(t *testing.T) map[loggedLine]map[string]bool {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(root, logLinesPage))
	require.NoError(t, err)
	rows := map[loggedLine]map[string]bool{}
	for _, row := range logRow.FindAllStringSubmatch(string(content), -1) {
		line, keys := loggedLine{row[1], row[2]}, map[string]bool{}
		require.NotContains(t, rows, line, "two rows")
		for _, key := range quoted.FindAllStringSubmatch(row[3], -1) {
			keys[key[1]] = true
		}
		rows[line] = keys
	}
	return rows
}

// TestLogLinesPage checks that the page lists each line that the older dispatcher logs, with its level and
// keys, and no other line.
func TestLogLinesPage(t *testing.T) {
	source, rows := readLogSource(t), readLogRows(t)
	require.Empty(t, source.unknown, "messages are constants")
	for line, keys := range source.lines {
		if rows[line] == nil {
			t.Errorf("not on the page: %s %q %q", line.level, line.message, slices.Sorted(maps.Keys(keys)))
			continue
		}
		for key := range keys {
			if !rows[line][key] {
				t.Errorf("a key is not on the page: %s %q %s", line.level, line.message, key)
			}
		}
	}
	for line, keys := range rows {
		if source.lines[line] == nil {
			t.Errorf("nothing logs %s %q", line.level, line.message)
		}
		for key := range keys {
			if !source.lines[line][key] && !source.derived[key] {
				t.Errorf("no line has the key: %s %q %s", line.level, line.message, key)
			}
		}
	}
}
