package httpfront

import (
	"bytes"
	"errors"
	"io"

	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBodyMemory checks that bodies are read completely up to their limit, and that they reserve memory for
// the bytes that have arrived, not for the announced size, and never more than the limit.
func TestBodyMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 64 << 10
		r := bodyMemory{max: rapid.Int64Range(1, 3*most).Draw(t, "room")}
		before := rapid.IntRange(0, int(r.max)).Draw(t, "taken before")
		require.True(t, r.reserve(before))
		text := bytes.Repeat([]byte("x"), rapid.IntRange(0, most+100).Draw(t, "bytes"))
		size := int64(len(text))
		if rapid.Bool().Draw(t, "in chunks") {
			size = -1
		}
		arrived := rapid.IntRange(0, len(text)).Draw(t, "come")
		broken := errors.New("broken")
		from := io.Reader(bytes.NewReader(text))
		if arrived < len(text) {
			from = io.MultiReader(bytes.NewReader(text[:arrived]), failingReader{broken})
		}
		body, ok, err := r.read(from, size, most)
		require.LessOrEqual(t, r.used.Load(), r.max)
		require.Equal(t, int64(before+cap(body)), r.used.Load())
		require.LessOrEqual(t, cap(body), max(initialBodyBuffer, 2*arrived+2))
		switch {
		case !ok:
			require.Greater(t, int64(before)+max(initialBodyBuffer, 2*int64(cap(body))), r.max)
		case arrived < len(text) && arrived <= most:
			require.ErrorIs(t, err, broken)
		default:
			require.NoError(t, err)
			require.Len(t, body, min(len(text), most+1))
		}
		r.release(cap(body))
		r.release(before)
		require.Zero(t, r.used.Load())
	})
}

// failingReader is a reader that always fails with its error.
type failingReader struct{ error }

func (f failingReader) Read([]byte) (int, error) { return 0, f.error }

// TestNoBodyMemory checks that a job without memory for its body is refused at once, with a Retry-After, and
// that its connection stays open. A callback without memory is not answered, so that its member repeats it,
// and is accepted once memory is available.
func TestNoBodyMemory(t *testing.T) {
	s := New(callbackEngine{}, nil, logtest.Discard())
	s.SetBodyMemory(64 << 10)
	scenario.RunScript(t, scenario.Peers{"c": scenario.Dial(serve(t, s, 10))}, scenario.Functions{
		"fill": func(...string) string {
			require.True(t, s.jobBodies.reserve(64<<10))
			require.True(t, s.updateBodies.reserve(32<<10))
			return ""
		},
		"free": func(...string) string { s.updateBodies.release(32 << 10); return "" },
		"big":  func(...string) string { return strings.Repeat("x", 60000) },
	}, `
		c.1 send @fill()POST /send-notice HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n@big()
		c.1 expect ^HTTP/1.1 503 .*Retry-After: 1\r\n
		c.1 expect no room
		c.1 send GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n
		c.1 expect ^\S*\s*.*HTTP/1.1 200 OK
		c.2 send POST /_jobs/news HTTP/1.1\r\nHost: a\r\nContent-Length: 43\r\n\r\n{"id":"h-1","from":"s-r1","state":"started
		c.2 wait
		c.3 send @free()POST /_jobs/news HTTP/1.1\r\nHost: a\r\nContent-Length: 44\r\n\r\n{"id":"h-1","from":"s-r1","state":"started"}
		c.3 expect ^HTTP/1.1 204`)
	require.Equal(t, int64(64<<10), s.jobBodies.used.Load())
	require.Eventually(t, func() bool { return s.updateBodies.used.Load() == 0 }, 10*time.Second, time.Millisecond)
}

// callbackEngine is an engine that accepts every callback.
type callbackEngine struct{ Engine }

func (callbackEngine) HandleJobUpdate(engine.JobUpdate) bool { return true }
