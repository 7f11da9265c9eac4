package loadreport

import (
	"testing"

	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
)

func TestParse(t *testing.T) {
	for text, want := range map[string]policy.Report{
		"":                                    {},
		"TEXT":                                {},
		"TEXT inflight=7, queue=2, util=0.61": {Has: policy.HasInFlight | policy.HasQueue | policy.HasUtil, InFlight: 7, Queue: 2, Util: 0.61},
		"qps=40,inflight=3,x0=0,x1=512":       {Has: policy.HasQPS | policy.HasInFlight | policy.HasX0 | policy.HasX1, QPS: 40, InFlight: 3, X1: 512},
		"TEXT x0=2 x1=64":                     {Has: policy.HasX0 | policy.HasX1, X0: 2, X1: 64},
		"throughput=5, outstanding=1":         {Has: policy.HasQPS | policy.HasInFlight, QPS: 5, InFlight: 1},
		"TEXT temperature=40, x0=1":           {Has: policy.HasX0, X0: 1}, // an unknown name is skipped
		"latency_ms=12, eps=0.5":              {Has: policy.HasLatency | policy.HasErrors, LatencyMS: 12, ErrorsPerS: 0.5},
	} {
		got, err := Parse([]byte(text))
		require.NoError(t, err, text)
		require.Equal(t, want, got, text)
	}
	for _, text := range []string{"TEXT x0", "x0=many", "TEXT x0=1, x1", "x0=NaN", "x1=1e999", "TEXT x0=1 TEXT"} {
		got, err := Parse([]byte(text))
		require.Error(t, err, text)
		require.Zero(t, got, text) // no part of an invalid report is returned
	}
}

func TestParseBody(t *testing.T) {
	for text, want := range map[string]policy.Report{
		`{"x0":2,"x1":128,"qps":9}`: {Has: policy.HasX0 | policy.HasX1 | policy.HasQPS, X0: 2, X1: 128, QPS: 9},
		" {\"inflight\":1}\n":       {Has: policy.HasInFlight, InFlight: 1},
		"TEXT x0=3":                 {Has: policy.HasX0, X0: 3},
		"":                          {},
	} {
		got, err := ParseBody([]byte(text))
		require.NoError(t, err, text)
		require.Equal(t, want, got, text)
	}
	for _, text := range []string{`{"x0":"two"}`, `{"x0":1`, `[1,2]`} {
		got, err := ParseBody([]byte(text))
		require.Error(t, err, text)
		require.Zero(t, got, text)
	}
	got, err := ParseObject(nil)
	require.NoError(t, err)
	require.Zero(t, got)
	_, err = ParseObject(fastjson.MustParse(`"x0=1"`))
	require.Error(t, err)
}

// FuzzParse checks that any text gives a report or an error, never a panic, and that a report holds values only
// in fields that are set in Has.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"TEXT inflight=7, queue=2, util=0.61", "x0=1,x1=2", "=", ",,", "TEXT x0=-0"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := ParseBody(text)
		if err != nil {
			require.Zero(t, r)
			return
		}
		require.True(t, r.Has&policy.HasX0 != 0 || r.X0 == 0)
		require.True(t, r.Has&policy.HasX1 != 0 || r.X1 == 0)
		require.True(t, r.Has&policy.HasInFlight != 0 || r.InFlight == 0)
	})
}
