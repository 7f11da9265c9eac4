// Package digesttest records what a simulation did as lines of values, and compares the digests of
// such traces with a file of earlier ones. Only tests import it.
//
// A trace holds values alone: no names of types, fields or packages, so that a renaming in the
// code under test leaves each digest as it is. Digests of floating-point values hold for one
// architecture: those on file are of amd64.
package digesttest

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Environment variables that change what a test of digests does.
const (
	// TraceVariable names a seed, or whatever the first column of the file of digests has: its
	// trace is printed, so that those of two builds can be compared line by line.
	TraceVariable = "BASALTLOFT_DIGEST_TRACE"
	// UpdateVariable, if not empty, lets Compare write the file anew.
	UpdateVariable = "BASALTLOFT_UPDATE_DIGESTS"
)

// Trace records events in their order. The nil trace records nothing.
type Trace struct {
	digest *xxhash.Digest
	line   []byte
	lines  int
	text   *strings.Builder // nil: the digest alone is kept
}

// New returns an empty trace; withText keeps its lines too.
func New(withText bool) *Trace {
	t := &Trace{digest: xxhash.New()}
	if withText {
		t.text = &strings.Builder{}
	}
	return t
}

// Begin starts the line of an event. The kind is the test's own word for it.
func (t *Trace) Begin(at time.Duration, kind string) *Trace {
	t.line = strconv.AppendInt(t.line[:0], int64(at), 10)
	t.line = append(append(t.line, ' '), kind...)
	return t
}

// End ends the line.
func (t *Trace) End() {
	t.line = append(t.line, '\n')
	t.lines++
	_, _ = t.digest.Write(t.line) // never fails
	if t.text != nil {
		_, _ = t.text.Write(t.line) // never fails
	}
}

// Int appends integers.
func (t *Trace) Int(values ...int64) *Trace {
	for _, value := range values {
		t.line = strconv.AppendInt(append(t.line, ' '), value, 10)
	}
	return t
}

// Uint appends integers.
func (t *Trace) Uint(values ...uint64) *Trace {
	for _, value := range values {
		t.line = strconv.AppendUint(append(t.line, ' '), value, 10)
	}
	return t
}

// Float appends numbers, exactly.
func (t *Trace) Float(values ...float64) *Trace {
	for _, value := range values {
		t.line = strconv.AppendFloat(append(t.line, ' '), value, 'g', -1, 64)
	}
	return t
}

// Bool appends truth values.
func (t *Trace) Bool(values ...bool) *Trace {
	for _, value := range values {
		t.line = strconv.AppendBool(append(t.line, ' '), value)
	}
	return t
}

// String appends texts, quoted.
func (t *Trace) String(values ...string) *Trace {
	for _, value := range values {
		t.line = strconv.AppendQuote(append(t.line, ' '), value)
	}
	return t
}

// Sum returns the digest of all lines so far.
func (t *Trace) Sum() string {
	sum := strconv.FormatUint(t.digest.Sum64(), 16)
	return strings.Repeat("0", 16-len(sum)) + sum
}

// Lines returns how many events there were.
func (t *Trace) Lines() int { return t.lines }

// Text returns the lines so far, if they are kept.
func (t *Trace) Text() string {
	if t.text == nil {
		return ""
	}
	return t.text.String()
}

// Traced returns the value of TraceVariable; false: no trace is asked for.
func Traced() (wanted string, ok bool) { return os.LookupEnv(TraceVariable) }

// thinned is which share of the plays is played under the race detector: one of so many.
const thinned = 10

// SampleUnderRace returns those of all plays that are to be played: under the race detector a part only.
func SampleUnderRace[P any](all []P) []P {
	if !RaceDetector || os.Getenv(UpdateVariable) != "" {
		return all
	}
	var some []P
	for at := 0; at < len(all); at += thinned {
		some = append(some, all[at])
	}
	return some
}

// Compare compares lines with those on file and fails at the first that differs. The first
// word of a line names the play, such as its seed. All plays on file must be there, but under
// the race detector.
func Compare(t testing.TB, path string, got []string) {
	t.Helper()
	if os.Getenv(UpdateVariable) != "" {
		update(t, path, got)
		return
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("digests: %v", err)
	}
	lines := strings.Split(strings.TrimSuffix(string(content), "\n"), "\n")
	want := map[string]string{}
	for _, line := range lines {
		want[firstWord(line)] = line
	}
	if len(got) == 0 || len(got) != len(lines) && !RaceDetector {
		t.Fatalf("%s has %d digests, and %d were made", path, len(lines), len(got))
	}
	var differ []string
	for _, line := range got {
		if line != want[firstWord(line)] {
			differ = append(differ, line)
		}
	}
	if len(differ) > 0 {
		first := firstWord(differ[0])
		t.Fatalf("%d of %d digests differ; the first:\n got %s\nwant %s\n%s=%s prints its trace",
			len(differ), len(got), differ[0], want[first], TraceVariable, first)
	}
}

func firstWord(line string) string {
	word, _, _ := strings.Cut(line, " ")
	return word
}

func update(t testing.TB, path string, lines []string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		t.Fatalf("digests: %v", err)
	}
	t.Logf("%s: %d digests written", path, len(lines))
}
