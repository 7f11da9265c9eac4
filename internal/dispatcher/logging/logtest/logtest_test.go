package logtest

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRecorder: records of info and above are kept in their order, with the attributes of their loggers.
func TestRecorder(t *testing.T) {
	log, recorder := New()
	require.Empty(t, recorder.Records())
	log.Debug("debug")
	log.Info("first")
	log.With("part", "spool").WithGroup("g").Error("second", "error", "none")
	records := recorder.Records()
	require.Len(t, records, 2)
	require.Equal(t, "first", records[0].Message)
	require.Equal(t, slog.LevelInfo, records[0].Level)
	require.Equal(t, "second", records[1].Message)
	require.Equal(t, slog.LevelError, records[1].Level)
	attrs := map[string]string{}
	records[1].Attrs(func(a slog.Attr) bool {
		attrs[a.Key] = a.Value.String()
		return true
	})
	require.Equal(t, map[string]string{"part": "spool", "error": "none"}, attrs)
}
