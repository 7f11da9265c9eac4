package httpfront

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
)

// TestJobUpdateCarriesLoad checks that a callback that ends a job may contain the member's load report as
// "load". A load report in a progress callback is ignored, and so is one that can't be read; the rest of the
// callback still counts.
func TestJobUpdateCarriesLoad(t *testing.T) {
	for text, want := range map[string]policy.Report{
		`{"id":"j","from":"s-1","state":"done","result":"r","load":{"qps":40,"inflight":3,"x0":1,"x1":256}}`: {
			Has: policy.HasQPS | policy.HasInFlight | policy.HasX0 | policy.HasX1, QPS: 40, InFlight: 3, X0: 1, X1: 256,
		},
		`{"id":"j","from":"s-1","state":"returned","load":{"x0":0}}`:            {Has: policy.HasX0},
		`{"id":"j","from":"s-1","state":"failed"}`:                              {},
		`{"id":"j","from":"s-1","state":"lost","load":{"x0":"none"}}`:           {},
		`{"id":"j","from":"s-1","state":"running","share":0.5,"load":{"x0":4}}`: {},
	} {
		n, ok := readJobUpdate([]byte(text))
		require.True(t, ok, text)
		require.Equal(t, want, n.Load, text)
	}
}

// TestAffinityKey checks that the affinity key is read from the query parameter sid, and is empty if the
// parameter can't be decoded.
func TestAffinityKey(t *testing.T) {
	for query, want := range map[string]string{"?sid=7f3a": "7f3a", "?a=1&sid=a%20b": "a b", "": "", "?sid=": "", "?sid=%zz": ""} {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/hold"+query, nil)
		r.Header.Set("X-Call-Id", "1")
		a, err := readSubmission(r, time.Now(), nil)
		require.NoError(t, err, query)
		require.Equal(t, want, a.AffinityKey, query)
		require.Equal(t, "/hold"+query, a.Target)
	}
}

// TestCallInfoCarriesDemand checks that the slots and the memory that a job needs are read from X-Call-Info into
// the submission, so that the policy can take both into account. Other names are skipped, and a value that is
// not a number is an error that names it.
func TestCallInfoCarriesDemand(t *testing.T) {
	for text, want := range map[string][2]float64{
		"slots=1,memory=0.359": {1, 0.359}, "width=2, mem=1.5": {2, 1.5}, "kind=x,slots=3": {3, 0}, "": {0, 0},
	} {
		var a pipeline.Submission
		require.NoError(t, readCallInfo(&a, text), text)
		require.Equal(t, want, [2]float64{a.Slots, a.Memory}, text)
	}
	require.ErrorContains(t, readCallInfo(&pipeline.Submission{}, "slots=1,memory=lots"), "memory must be a number")
}
