package logging

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
)

// Keys that each line has.
const (
	timeKey    = "time"
	levelKey   = "level"
	messageKey = "msg"
)

// clashPrefix is put before the key of a field that is reserved.
const clashPrefix = "fields."

// isReserved reports whether a field with this key gets clashPrefix. No line has the key logrus_error; it
// is reserved because the first builds reserved it.
func isReserved(key string) bool {
	switch key {
	case timeKey, levelKey, messageKey, "logrus_error":
		return true
	}
	return false
}

// output is the destination of lines. A logger shares it with the loggers that are derived from it.
type output struct {
	mu     sync.Mutex
	writer io.Writer
}

// field is a key of a line and its value, as the caller gave it.
type field struct {
	key   string
	value any
}

// handler implements slog.Handler.
type handler struct {
	out        *output
	level      slog.Level
	appendLine func(line []byte, r slog.Record, fields []field) ([]byte, error)
	fields     []field // fields of the logger, written with each line
	group      string  // put before keys: the names of open groups, each with a dot
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(_ context.Context, level slog.Level) bool { return level >= h.level }

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	derived := *h
	derived.fields = slices.Clip(h.fields)
	for _, a := range attrs {
		derived.fields = appendAttr(derived.fields, h.group, a)
	}
	return &derived
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	if name == "" {
		return h
	}
	derived := *h
	derived.group += name + "."
	return &derived
}

// Handle implements slog.Handler.
func (h *handler) Handle(_ context.Context, r slog.Record) error {
	fields := slices.Grow(slices.Clone(h.fields), r.NumAttrs())
	r.Attrs(func(a slog.Attr) bool {
		fields = appendAttr(fields, h.group, a)
		return true
	})
	line, err := h.appendLine(nil, r, sortFields(fields))
	if err != nil {
		return fmt.Errorf("formatting a log line: %w", err)
	}
	h.out.mu.Lock()
	defer h.out.mu.Unlock()
	_, err = h.out.writer.Write(line)
	return err
}

// appendAttr appends an attribute as a field. Of a group it appends the members, with the group's name
// before their keys.
func appendAttr(fields []field, group string, a slog.Attr) []field {
	value := a.Value.Resolve()
	switch {
	case value.Kind() == slog.KindGroup:
		if a.Key != "" {
			group += a.Key + "."
		}
		for _, member := range value.Group() {
			fields = appendAttr(fields, group, member)
		}
		return fields
	case a.Equal(slog.Attr{}):
		return fields
	}
	key := group + a.Key
	if isReserved(key) {
		key = clashPrefix + key
	}
	return append(fields, field{key: key, value: value.Any()})
}

// sortFields sorts fields by key. Of several fields with the same key it keeps the last one.
func sortFields(fields []field) []field {
	slices.SortStableFunc(fields, func(a, b field) int { return cmp.Compare(a.key, b.key) })
	kept := fields[:0]
	for i, f := range fields {
		if i+1 == len(fields) || fields[i+1].key != f.key {
			kept = append(kept, f)
		}
	}
	return kept
}
