// Package logging creates the dispatcher's loggers. They use log/slog, but their lines keep the format of
// the first builds, which logged with logrus, since people and scripts read these lines.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
)

// Format is a format of lines.
type Format string

// Formats.
const (
	Text Format = "text" // logfmt: time, level and msg, then the keys in their order
	JSON Format = "json" // an object with its keys in their order
)

// Levels in addition to those of log/slog. LevelTrace is for events at individual members. No line has
// one of the other two levels: a logger of these levels writes nothing.
const (
	LevelTrace = slog.LevelDebug - 4
	LevelFatal = slog.LevelError + 4
	LevelPanic = slog.LevelError + 8
)

// ParseLevel returns the level with a name, in lower or upper case.
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

// levelName returns a level's name in lines. A level between two named ones has the name of the lower one.
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

// New returns a logger that writes lines of a level or above. Each line is one Write call, and the calls
// don't overlap.
func New(out io.Writer, format Format, level slog.Level) *slog.Logger {
	h := &handler{out: &output{writer: out}, level: level, appendLine: appendText}
	if format == JSON {
		h.appendLine = appendJSON
	}
	return slog.New(h)
}
