package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"strings"
	"sync"
	"testing"
	"testing/slogtest"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/stretchr/testify/require"
)

// nest turns keys with dots into nested groups, as slogtest expects them.
func nest(flat map[string]any) map[string]any {
	nested := map[string]any{}
	for key, value := range flat {
		at, names := nested, strings.Split(key, ".")
		for _, name := range names[:len(names)-1] {
			group, _ := at[name].(map[string]any)
			if group == nil {
				group = map[string]any{}
				at[name] = group
			}
			at = group
		}
		at[names[len(names)-1]] = value
	}
	return nested
}

// TestHandler: the handlers of both formats satisfy the contract of slog.Handler.
func TestHandler(t *testing.T) {
	parse := map[Format]func(t *testing.T, line []byte) map[string]any{
		Text: func(t *testing.T, line []byte) map[string]any {
			keys, d := map[string]any{}, logfmt.NewDecoder(bytes.NewReader(line))
			for d.ScanRecord() {
				for d.ScanKeyval() {
					keys[string(d.Key())] = string(d.Value())
				}
			}
			require.NoError(t, d.Err())
			return keys
		},
		JSON: func(t *testing.T, line []byte) map[string]any {
			keys := map[string]any{}
			require.NoError(t, json.Unmarshal(line, &keys))
			return keys
		},
	}
	for format, parseLine := range parse {
		t.Run(string(format), func(t *testing.T) {
			var out bytes.Buffer
			slogtest.Run(t, func(*testing.T) slog.Handler {
				out.Reset()
				return New(&out, format, slog.LevelInfo).Handler()
			}, func(t *testing.T) map[string]any { return nest(parseLine(t, out.Bytes())) })
		})
	}
}

// TestLevels: a logger writes lines of its level and above, and Enabled reports the same.
func TestLevels(t *testing.T) {
	names := []string{"trace", "debug", "info", "warning", "error"}
	for i, name := range names {
		level, err := ParseLevel(name)
		require.NoError(t, err)
		require.Equal(t, name, levelName(level))
		var out bytes.Buffer
		log := New(&out, Text, level)
		for _, other := range names {
			at, err := ParseLevel(other)
			require.NoError(t, err)
			log.Log(t.Context(), at, "line")
			require.Equal(t, at >= level, log.Enabled(t.Context(), at))
		}
		require.Equal(t, len(names)-i, strings.Count(out.String(), "\n"), name)
	}
	for _, name := range []string{"panic", "fatal"} {
		level, err := ParseLevel(name)
		require.NoError(t, err)
		require.False(t, New(&bytes.Buffer{}, Text, level).Enabled(t.Context(), slog.LevelError))
	}
	_, err := ParseLevel("loud")
	require.EqualError(t, err, `no level is called "loud"`)
}

// TestDerivedLoggers: loggers derived from the same logger don't share keys, even when their fields extend
// the same slice.
func TestDerivedLoggers(t *testing.T) {
	var out bytes.Buffer
	base := New(&out, JSON, slog.LevelInfo).With("a", 1, "b", 2, "c", 3)
	left, right := base.With("side", "left"), base.With("side", "right")
	for _, log := range []*slog.Logger{left, right, base} {
		out.Reset()
		log.Info("line", "a", 4)
		line := map[string]any{}
		require.NoError(t, json.Unmarshal(out.Bytes(), &line))
		delete(line, "time")
		want := map[string]any{"level": "info", "msg": "line", "a": 4.0, "b": 2.0, "c": 3.0}
		switch log {
		case left:
			want["side"] = "left"
		case right:
			want["side"] = "right"
		}
		require.Equal(t, want, line)
	}
}

// TestNoJSONValue: a line with a value that JSON can't represent is written, with the value as text.
func TestNoJSONValue(t *testing.T) {
	var out bytes.Buffer
	New(&out, JSON, slog.LevelInfo).Info("line", "infinite", math.Inf(1), "channel", (chan int)(nil))
	require.Contains(t, out.String(), `"channel":"\u003cnil\u003e","infinite":"+Inf"`)
}

// failingWriter fails each write and counts the writes.
type failingWriter struct{ writes int }

func (w *failingWriter) Write([]byte) (int, error) {
	w.writes++
	return 0, errors.New("disk full")
}

// TestFailingOutput: the handler returns an error for a line that can't be written, and still tries to write
// the next line.
func TestFailingOutput(t *testing.T) {
	w := &failingWriter{}
	log := New(w, Text, slog.LevelInfo)
	for range 2 {
		err := log.Handler().Handle(t.Context(), slog.NewRecord(time.Time{}, slog.LevelInfo, "line", 0))
		require.EqualError(t, err, "disk full")
	}
	require.Equal(t, 2, w.writes)
}

// TestConcurrentLines: lines of several goroutines and derived loggers are not mixed or lost.
func TestConcurrentLines(t *testing.T) {
	const writers, lines = 8, 200
	var out bytes.Buffer
	log := New(&out, Text, slog.LevelInfo)
	var running sync.WaitGroup
	for n := range writers {
		derived := log.With("writer", n)
		running.Go(func() {
			for i := range lines {
				derived.Info("line", "number", i)
			}
		})
	}
	running.Wait()
	count := map[string]int{}
	for line := range strings.Lines(out.String()) {
		_, rest, found := strings.Cut(line, " level=info msg=line ")
		require.True(t, found, line)
		count[rest]++
	}
	require.Len(t, count, writers*lines)
	require.Equal(t, 1, count[fmt.Sprintf("number=%d writer=%d\n", lines-1, writers-1)])
}
