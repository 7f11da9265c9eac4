package cli

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/logging"
	"basaltloft/internal/shared/goldentest"

	cockroach "github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// logLevels lists the levels of log lines, from the most to the least severe.
var logLevels = []slog.Level{slog.LevelError, slog.LevelWarn, slog.LevelInfo, slog.LevelDebug, logging.LevelTrace}

// logAt writes one line with the given time: keys of the logger first, then those of the line.
func logAt(t *testing.T, log *slog.Logger, at time.Time, level slog.Level, message string, loggerKeys, keys map[string]any) {
	t.Helper()
	for key, value := range loggerKeys {
		log = log.With(key, value)
	}
	if !log.Enabled(t.Context(), level) {
		return
	}
	record := slog.NewRecord(at, level, message, 0)
	for key, value := range keys {
		record.Add(key, value)
	}
	require.NoError(t, log.Handler().Handle(t.Context(), record))
}

// count is an integer type without a String method, and named is one with a String method.
type (
	count int
	named int
)

func (named) String() string { return "a name" }

// logLine is one line of the golden files.
type logLine struct {
	level            slog.Level
	message          string
	loggerKeys, keys map[string]any
}

// logLines returns lines of every kind that the dispatcher writes: all types of values, quoted and unquoted
// texts, and clashing keys.
func logLines() []logLine {
	lines := []logLine{
		{slog.LevelInfo, "done", nil, map[string]any{"taken": int64(2), "served": int64(1), "refused": int64(1), "failed": int64(0), "open": int64(0)}},
		{slog.LevelInfo, "serving", nil, map[string]any{"name": "d1", "listen": "127.0.0.1:8080", "members": 3}},
		{slog.LevelWarn, "the address is taken: waiting for it", nil, map[string]any{"component": "HTTP front", "listen": "[::1]:8080"}},
		{slog.LevelError, "the journal of figures is off: its folder can't be used", map[string]any{"folder": "/var/lib/figures"}, map[string]any{"error": errors.New("open /var/lib/figures: permission denied")}},
		{slog.LevelDebug, "flow ended", nil, map[string]any{"transaction": "7f00-12", "flow": uint32(2), "member": "s-0badcafe", "status": "timed out"}},
		{logging.LevelTrace, "sent", nil, map[string]any{"slots": 1, "kind": "small", "hint": "", "class": "place-hold"}},
		{slog.LevelInfo, "no keys", nil, nil},
		{slog.LevelInfo, "", nil, map[string]any{"message": "empty"}},
		{slog.LevelInfo, "one\nline \"quoted\" \\ and\ttab, é and 日本, \x00 and \xff\u2028<&>", nil, map[string]any{"text": "one\nline \"quoted\" \\ and\ttab, é and 日本, \x00 and \xff\u2028<&>"}},
		{slog.LevelInfo, "values", nil, map[string]any{
			"bool": true, "bytes": []byte("ab"), "count": count(7), "duration": 1500 * time.Millisecond, "float": 0.25,
			"float_large": 1e21, "int": -5, "list": []string{"a b", "c"}, "map": map[string]int{"b": 2, "a": 1}, "named": named(7),
			"nil": nil, "pointer_nil": (*time.Location)(nil), "struct": struct{ A, B int }{1, 2}, "time": "clashes", "uint8": uint8(200), "uint64": uint64(1) << 63,
			"utc": time.Date(2026, 3, 4, 5, 6, 7, 8000, time.UTC), "zero": time.Duration(0),
		}},
		{slog.LevelInfo, "errors", nil, map[string]any{
			"error": fmt.Errorf("outer: %w", os.ErrNotExist), "joined": errors.Join(errors.New("a"), errors.New("b")),
			"nil_error": error(nil), "stack": cockroach.Wrap(errors.New("inner"), "outer"),
		}},
		{slog.LevelInfo, "the line's value wins", map[string]any{"part": "spool", "fleet": "n1"}, map[string]any{"part": "plans"}},
		{slog.LevelInfo, "clashes", map[string]any{"msg": "m"}, map[string]any{"level": "l", "time": "t", "logrus_error": "e"}},
		{slog.LevelInfo, "unusual keys", nil, map[string]any{"Upper": 1, "a b": 2, "ünicode": 3, "a=b": 4, "a.b": 5, "_": 6, "0": 7}},
	}
	for _, plain := range []string{"plain", "a-b_c.d/e@f^g+h0", "a=b", "a:b", "a,b", "50%", "é", "null", "nil", "true", "12", "-", " ", "'", "(a)", "[a]", "~"} {
		lines = append(lines, logLine{slog.LevelInfo, plain, nil, map[string]any{"text": plain}})
	}
	return lines
}

// logTimes returns times of lines: whole seconds, fractions with and without trailing zeros, and time zones.
func logTimes() []time.Time {
	east, west := time.FixedZone("", 2*3600), time.FixedZone("west", -(9*3600+30*60))
	return []time.Time{
		time.Date(2026, 7, 4, 12, 0, 0, 0, time.UTC),
		time.Date(2026, 7, 4, 12, 0, 0, 123456789, time.UTC),
		time.Date(2026, 7, 4, 12, 0, 0, 120000000, east),
		time.Date(2026, 7, 4, 12, 0, 0, 1, west),
	}
}

// TestGoldenLogLines compares log lines in both formats with those that the dispatcher wrote through logrus
// v1.9.3 in commit 32a2de6. Operators and their scripts read them; the golden files must never be rewritten.
func TestGoldenLogLines(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		var out bytes.Buffer
		global := &globalFlags{logFormat: format, logLevel: "trace", stderr: &out}
		require.NoError(t, global.validate())
		log := global.newLogger()
		for _, line := range logLines() {
			logAt(t, log, logTimes()[0], line.level, line.message, line.loggerKeys, line.keys)
		}
		for _, at := range logTimes() {
			logAt(t, log, at, slog.LevelInfo, "time", nil, nil)
		}
		for _, level := range logLevels {
			logAt(t, log, logTimes()[0], level, "level", nil, nil)
		}
		goldentest.Equal(t, filepath.Join("testdata", "golden", "log-"+format+".txt"), out.Bytes())
	}
}

// TestGoldenLogLevels compares the names that --log-level accepts, and the levels of the lines that are written
// under each of them, with those of logrus. The golden file must never be rewritten.
func TestGoldenLogLevels(t *testing.T) {
	var table strings.Builder
	for _, name := range []string{
		"panic", "fatal", "error", "warn", "warning", "info", "debug", "trace", "WARN", "Info", "tRACE", "ERROR+1", "INFO-4", "warn ", " warn", "err", "verbose", "0", "4", "off", "none", "notice", "critical", "",
	} {
		t.Setenv("ROUTER_DEBUG", "")
		fmt.Fprintf(&table, "%q: %s\n", name, writtenLevels(t, name))
	}
	t.Setenv("ROUTER_DEBUG", "1")
	fmt.Fprintf(&table, "\"\", with ROUTER_DEBUG: %s\n", writtenLevels(t, ""))
	fmt.Fprintf(&table, "\"info\", with ROUTER_DEBUG: %s\n", writtenLevels(t, "info"))
	goldentest.Equal(t, filepath.Join("testdata", "golden", "log-levels.txt"), []byte(table.String()))
}

// writtenLevels returns the levels whose lines are written under a --log-level value, or the error for it.
func writtenLevels(t *testing.T, name string) string {
	t.Helper()
	var out bytes.Buffer
	global := &globalFlags{logFormat: "text", logLevel: name, stderr: &out}
	if err := global.validate(); err != nil {
		return err.Error()
	}
	log := global.newLogger()
	for _, level := range logLevels {
		logAt(t, log, logTimes()[0], level, "level", nil, nil)
	}
	var written []string
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		if _, rest, found := strings.Cut(line, "level="); found {
			level, _, _ := strings.Cut(rest, " ")
			written = append(written, level)
		}
	}
	return "writes [" + strings.Join(written, " ") + "]"
}
