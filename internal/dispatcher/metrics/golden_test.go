package metrics

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/shared/goldentest"

	"github.com/stretchr/testify/require"
)

// keys adds the paths of a JSON value's keys to into. [] stands for the entries of a list
// and {} for those of an object whose keys depend on what was counted.
func keys(v any, path string, into map[string]bool) {
	switch v := v.(type) {
	case map[string]any:
		for name, at := range v {
			if strings.HasSuffix(path, ".Times") || strings.HasSuffix(path, ".Buckets") || strings.HasSuffix(path, ".found") {
				name = "{}"
			}
			into[path+"."+name] = true
			keys(at, path+"."+name, into)
		}
	case []any:
		for _, at := range v {
			keys(at, path+"[]", into)
		}
	}
}

// TestGoldenFigures compares the names, label names and types of the metrics, and the keys of
// /figures and /audit, with those that commit 352ebf2 exported. The golden files must
// never be rewritten by later code. The keys of /figures are Go field names of types that
// are encoded without tags.
func TestGoldenFigures(t *testing.T) {
	r := newFixture(t, t.TempDir())
	defer r.end()
	statuses := []policy.Status{policy.OK, policy.OK, policy.InvalidRequest}
	for n, status := range statuses {
		r.submit(n%2, string(rune('a'+n)), []string{"hold", "ticket"}[n%2], "k")
		var flow = r.take(0)
		require.Eventually(t, func() bool {
			if flow == nil {
				flow = r.take(0)
			}
			return flow != nil
		}, 10*time.Second, time.Millisecond)
		r.engine.EndFlow(flow, status, nil)
	}
	r.submit(0, "open", "hold", "k")
	r.engine.Do(func() {})
	r.auditor.Audit()

	x := &Exporter{Name: "n0", Started: time.Now(), Recorder: r.recorder, Engine: r.engine, Auditor: r.auditor, Journal: r.journal}
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- x.Serve(ctx, l) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	get := func(path string) (string, string) { return httpGet(t, client, "http://"+l.Addr().String()+path) }
	metrics, _ := get("/metrics")
	goldentest.Equal(t, filepath.Join("testdata", "golden", "metrics.txt"), []byte(metricNames(metrics)))
	for _, path := range []string{"/figures", "/audit"} {
		text, kind := get(path)
		require.Equal(t, "application/json", kind)
		var v any
		require.NoError(t, json.Unmarshal([]byte(text), &v))
		all := map[string]bool{}
		keys(v, path, all)
		goldentest.Equal(t, filepath.Join("testdata", "golden", strings.TrimPrefix(path, "/")+"-keys.txt"), []byte(strings.Join(slices.Sorted(maps.Keys(all)), "\n")+"\n"))
	}
	cancel()
	require.NoError(t, <-served)
}

var label = regexp.MustCompile(`([a-z]+)="[^"]*"`)

// metricNames returns the dispatcher's own metrics of a scrape: their type lines, and each
// sample's name with the names of its labels.
func metricNames(scrape string) string {
	names := map[string]bool{}
	for line := range strings.Lines(scrape) {
		switch {
		case !strings.Contains(line, "basaltloft_"):
		case strings.HasPrefix(line, "# HELP"): // help texts may be reworded
		case strings.HasPrefix(line, "#"):
			names[line] = true
		default:
			sample, _, _ := strings.Cut(line, " ")
			name, _, _ := strings.Cut(sample, "{")
			for _, m := range label.FindAllStringSubmatch(line, -1) {
				name += " " + m[1]
			}
			names[name+"\n"] = true
		}
	}
	return strings.Join(slices.Sorted(maps.Keys(names)), "")
}
