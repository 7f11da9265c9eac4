// Package logtest provides loggers for tests.
package logtest

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"sync"

	"basaltloft/internal/dispatcher/logging"
)

// Discard returns a logger for tests that don't look at what is logged: it formats lines of level info
// and above, as the program does, and drops them.
func Discard() *slog.Logger { return logging.New(io.Discard, logging.Text, slog.LevelInfo) }

// Recorder keeps the records of a logger and of the loggers derived from it.
type Recorder struct {
	format slog.Handler // formats each record as the program does

	mu      sync.Mutex
	records []slog.Record
}

// New returns a logger that writes nothing, and the recorder of its records of level info and above.
func New() (*slog.Logger, *Recorder) {
	r := &Recorder{format: Discard().Handler()}
	return slog.New(&handler{recorder: r}), r
}

// Records returns the records so far, each with the attributes of its logger. Names of groups are
// omitted.
func (r *Recorder) Records() []slog.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.records)
}

// handler implements slog.Handler.
type handler struct {
	recorder *Recorder
	attrs    []slog.Attr // attributes of the logger
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelInfo }

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	record = record.Clone()
	record.AddAttrs(h.attrs...)
	h.recorder.mu.Lock()
	defer h.recorder.mu.Unlock()
	h.recorder.records = append(h.recorder.records, record)
	return h.recorder.format.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{recorder: h.recorder, attrs: slices.Concat(h.attrs, attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(string) slog.Handler { return h }
