package draw_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"basaltloft/internal/dispatcher/lab"
	"basaltloft/internal/dispatcher/lab/draw"

	"github.com/stretchr/testify/require"
)

func TestCharts(t *testing.T) {
	var runs []lab.Run
	for _, load := range []float64{1, 2} {
		for _, policy := range []string{"module", "random"} {
			for seed := range uint64(2) {
				runs = append(runs, lab.Run{
					Load: load, Policy: policy, Seed: seed, Goodput: 0.9 / load, P50: 10 * load, Latency: [][2]float64{{50, 10}, {99, 40}},
					Seconds: []lab.Second{{Asked: 10, InTime: 9}, {Asked: 10, InTime: 8}, {}}, Members: [][]float64{{0.1, 0.4, 0.2}, {0.3, 0.3, 0.9}},
				})
			}
		}
	}
	folder := t.TempDir()
	names, err := draw.Charts(runs, filepath.Join(folder, "x.svg"))
	require.NoError(t, err)
	var kinds []string
	for _, name := range names {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		require.True(t, bytes.Contains(text, []byte("<svg")), name)
		kinds = append(kinds, filepath.Base(name))
	}
	require.Equal(t, []string{"x-goodput.svg", "x-throughput.svg", "x-response.svg", "x-latency.svg", "x-distribution.svg", "x-seconds.svg", "x-members.svg"}, kinds)

	for i := range runs { // the X axis is the swept value if that is a number
		runs[i].Set = map[float64]string{1: "experiment.net_us=100", 2: "experiment.net_us=400"}[runs[i].Load]
		runs[i].Load = 1
	}
	names, err = draw.Charts(runs, filepath.Join(folder, "y.svg"))
	require.NoError(t, err)
	text, err := os.ReadFile(names[0])
	require.NoError(t, err)
	require.Contains(t, string(text), "experiment.net_us")

	_, err = draw.Charts(nil, "z.svg")
	require.ErrorIs(t, err, draw.ErrNoRuns)
	_, err = draw.Charts(runs, filepath.Join(folder, "none", "z.svg"))
	require.Error(t, err)
}
