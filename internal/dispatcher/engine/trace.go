package engine

import (
	"context"
	"log/slog"

	"basaltloft/internal/dispatcher/logging"
)

// trace logs an event at one member, at the trace level. Load tests compute the behaviour of the whole
// fleet from these lines, so their messages and keys must not change.
func (e *Engine) trace(what string, attrs func() []slog.Attr) {
	if ctx := context.Background(); e.log.Enabled(ctx, logging.LevelTrace) {
		e.log.LogAttrs(ctx, logging.LevelTrace, what, attrs()...)
	}
}

// attrs returns the flow's log attributes.
func (f *Flow) attrs() []slog.Attr {
	t := f.Transaction
	return []slog.Attr{
		slog.String("transaction", t.ID), slog.String("class", t.Class), slog.String("hint", t.Hint.String()), slog.Float64("slots", t.Slots),
		slog.Int("flow", f.Number), slog.String("member", f.Member.ID), slog.String("kind", f.Member.Kind),
	}
}

// attrs returns the member's log attributes.
func (m *Member) attrs() []slog.Attr {
	return []slog.Attr{slog.String("member", m.ID), slog.String("kind", m.Kind)}
}
