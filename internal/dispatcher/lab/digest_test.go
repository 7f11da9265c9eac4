package lab

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/shared/digesttest"
)

// digestFile has a line for each run: its number, its count of events, and the digest of its result.
const digestFile = "testdata/digests.txt"

// digestSeeds is the number of seeds for each policy.
const digestSeeds = 3

// resultOf simulates run number: the runs are ordered by the name of the policy, then by the
// seed. It returns the result and its trace.
func resultOf(t testing.TB, number int) (*Result, *digesttest.Trace) {
	x := fleetExperiment(Fault{Kind: "deploy", At: 10 * time.Second, For: 30 * time.Second, Part: 0.9},
		Fault{Kind: "crash", At: 20 * time.Second, For: 10 * time.Second, Part: 0.25})
	x.SampleMembers = true
	r := simulate(t, x, PolicyNames()[number/digestSeeds], uint64(number%digestSeeds))
	trace := digesttest.New(true)
	appendResult(trace, r)
	return r, trace
}

// appendResult appends a result to a trace, except for the texts of the violations.
func appendResult(t *digesttest.Trace, r *Result) {
	t.Begin(0, "asks").Int(int64(r.Requests), int64(r.InTime), int64(r.Late), int64(r.Refused), int64(r.Failed), int64(r.ClientAttempts), int64(r.Attempts)).End()
	t.Begin(0, "run").Float(r.RequestedWork, r.TimelyWork, r.Utilization).Int(int64(r.Events), int64(len(r.Violations))).End()
	for _, bar := range r.Latency.Distribution() {
		t.Begin(0, "latency").Int(bar.From, bar.To, bar.Count).End()
	}
	for _, bar := range r.Wait.Distribution() {
		t.Begin(0, "wait").Int(bar.From, bar.To, bar.Count).End()
	}
	for at, second := range r.Seconds {
		t.Begin(time.Duration(at), "second").Int(int64(second.Asked), int64(second.InTime)).End()
	}
	for _, of := range r.Classes {
		t.Begin(0, "class").String(of.Name).Int(int64(of.Served), int64(of.Took)).End()
	}
	for at, shares := range r.Members {
		t.Begin(time.Duration(at), "members").Float(shares...).End()
	}
}

// TestResultDigests compares the digests of the results with those in digestFile. If a trace
// of one run is requested, it prints that trace instead.
func TestResultDigests(t *testing.T) {
	if wanted, ok := digesttest.Traced(); ok {
		number, err := strconv.Atoi(wanted)
		require.NoError(t, err)
		_, trace := resultOf(t, number)
		fmt.Print(trace.Text())
		return
	}
	all := make([]int, digestSeeds*len(PolicyNames()))
	for number := range all {
		all[number] = number
	}
	var lines []string
	for _, number := range digesttest.SampleUnderRace(all) {
		r, trace := resultOf(t, number)
		lines = append(lines, fmt.Sprintf("%d %d %s", number, r.Events, trace.Sum()))
	}
	digesttest.Compare(t, digestFile, lines)
}
