// Package logging makes the dispatcher's loggers: log/slog, with lines in the format that the
// dispatcher has had from its first build on, when it logged by logrus. People and scripts read these
// lines, so that the format stays as it is.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
)

// Format is the format of lines.
type Format string

// Formats.
const (
	Text Format = "text" // logfmt: time, level and msg, then the keys in their order
	JSON Format = "json" // an object with its keys in their order
)

// Levels beside those of log/slog. LevelTrace is that of what happens at each member; lines of the two
// others don't exist: they are names for "log nothing".
const (
	LevelTrace = slog.LevelDebug - 4
	LevelFatal = slog.LevelError + 4
	LevelPanic = slog.LevelError + 8
)

// ParseLevel returns the level of a name, in lower or upper case.
func ParseLevel(name string) (slog.Level, error) {
	switch strings.ToLower(name) {
	case "panic":
		return LevelPanic, nil
	case "fatal":
		return LevelFatal, nil
	case "error":
		return slog.LevelError, nil
	case "warn", "warning":
		return slog.LevelWarn, nil
	case "info":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	case "trace":
		return LevelTrace, nil
	}
	return 0, fmt.Errorf("no level is called %q", name)
}

// levelName is a level's name in lines. A level between two named ones has the name of the lower one.
func levelName(level slog.Level) string {
	switch {
	case level >= slog.LevelError:
		return "error"
	case level >= slog.LevelWarn:
		return "warning"
	case level >= slog.LevelInfo:
		return "info"
	case level >= slog.LevelDebug:
		return "debug"
	}
	return "trace"
}

// New returns a logger that writes lines of a level or above, one Write call each and one at a time.
func New(out io.Writer, format Format, level slog.Level) *slog.Logger {
	h := &handler{out: &output{writer: out}, level: level, appendLine: appendText}
	if format == JSON {
		h.appendLine = appendJSON
	}
	return slog.New(h)
}
