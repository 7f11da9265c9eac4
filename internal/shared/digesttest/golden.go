// Package digesttest records the events of a simulation as lines of values, and compares the digests of
// such traces with those in a file. Only tests import it.
//
// A trace holds values only, and no names of types, fields or packages, so that a renaming in the code
// under test doesn't change any digest. Digests of floating-point values depend on the architecture: the
// recorded ones are of amd64.
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
	// TraceVariable selects a run by the first column of the digest file, such as a seed. The trace of
	// that run is printed, so that the traces of two builds can be compared line by line.
	TraceVariable = "BASALTLOFT_DIGEST_TRACE"
	// UpdateVariable, if not empty, makes Compare overwrite the digest file.
	UpdateVariable = "BASALTLOFT_UPDATE_DIGESTS"
)

// Trace records events in order.
type Trace struct {
	digest *xxhash.Digest
	line   []byte
	lines  int
	text   *strings.Builder // nil: only the digest is kept
}

// New returns an empty trace. withText makes it keep its lines in addition to the digest.
func New(withText bool) *Trace {
	t := &Trace{digest: xxhash.New()}
	if withText {
		t.text = &strings.Builder{}
	}
	return t
}

// Begin starts the line of an event. The test chooses the name of the event's kind.
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

// Uint appends unsigned integers.
func (t *Trace) Uint(values ...uint64) *Trace {
	for _, value := range values {
		t.line = strconv.AppendUint(append(t.line, ' '), value, 10)
	}
	return t
}

// Float appends floating-point numbers, exactly.
func (t *Trace) Float(values ...float64) *Trace {
	for _, value := range values {
		t.line = strconv.AppendFloat(append(t.line, ' '), value, 'g', -1, 64)
	}
	return t
}

// Bool appends Boolean values.
func (t *Trace) Bool(values ...bool) *Trace {
	for _, value := range values {
		t.line = strconv.AppendBool(append(t.line, ' '), value)
	}
	return t
}

// String appends quoted strings.
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

// Lines returns the number of events so far.
func (t *Trace) Lines() int { return t.lines }

// Text returns the lines so far, or an empty string if New was called without withText.
func (t *Trace) Text() string {
	if t.text == nil {
		return ""
	}
	return t.text.String()
}

// Traced returns the value of TraceVariable and whether it is set.
func Traced() (wanted string, ok bool) { return os.LookupEnv(TraceVariable) }

// raceSampleInterval is the distance between the runs that SampleUnderRace selects.
const raceSampleInterval = 10

// SampleUnderRace returns the runs that a test is to carry out: all of them, or every tenth under the race
// detector, unless the digest file is being updated.
func SampleUnderRace[R any](all []R) []R {
	if !RaceDetector || os.Getenv(UpdateVariable) != "" {
		return all
	}
	var sample []R
	for at := 0; at < len(all); at += raceSampleInterval {
		sample = append(sample, all[at])
	}
	return sample
}

// Compare compares lines with those in the digest file, and fails the test if any differs. The first word
// of a line identifies the run, such as its seed. Except under the race detector, each run in the file must
// be among the lines.
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
		t.Fatalf("%s has %d digests, but the test made %d", path, len(lines), len(got))
	}
	var differ []string
	for _, line := range got {
		if line != want[firstWord(line)] {
			differ = append(differ, line)
		}
	}
	if len(differ) > 0 {
		first := firstWord(differ[0])
		t.Fatalf("%d of %d digests differ; the first:\n got %s\nwant %s\nset %s=%s to print its trace",
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
