package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const experimentText = `{
  "experiment": {"length_s": 2, "net_us": 100, "seeds": 2, "policies": ["module", "random"],
    "sweeps": [{"path": "experiment.members[0].queue", "values": [1, 8]}],
    "members": [{"kind": "std", "count": 3, "cores": 2, "queue": 8}],
    "classes": [{"name": "hold", "rate": 40, "work_ms": 20, "arrivals": {"kind": "bursts", "on_ms": 200, "off_ms": 300, "high": 2, "low": 0.5}}]},
  "settings": {"balancers": 1, "rank": 0, "registry_mode": "push", "zone": "hall", "shapes": ["std"],
    "lanes": [{"name": "hold", "effect": "idempotent", "promise": 400000000, "give_up": 2000000000, "worth": 1}],
    "family_info": {"class_kind": [-1], "class_stretch": [2.5], "tells_start": true},
    "limits": {"most_tries": 3, "cancel": true, "probes": true, "retry_after": true, "max_retry_after": 2000000000},
    "guarantees": {"grace_to_answer": 8000000, "ask_every": 10000000000, "start_capacity": 0.12, "warm_after": 24000000000, "fall_multiple": 4, "tip_after": 3000000000}}
}`

// writeExperiment writes experimentText to a file and returns its name.
func writeExperiment(t *testing.T) string {
	name := filepath.Join(t.TempDir(), "x.json")
	require.NoError(t, os.WriteFile(name, []byte(experimentText), 0o644))
	return name
}

func TestVerbs(t *testing.T) {
	name := writeExperiment(t)
	for args, want := range map[string][]string{
		"run FILE":                                       {"load 1\n", "module", "random"},
		"run FILE -format csv -loads 0.5,1":              {"load,set,policy", "0.5,,module,1,", "1,,random,2,"},
		"run FILE -format json -policies module":         {`"Policy": "module"`},
		"sweep FILE -seeds 1":                            {"load 1 experiment.members[0].queue=1\n", "load 1 experiment.members[0].queue=8\n"},
		"sweep FILE -seeds 1 -set experiment.net_us=1,9": {"experiment.net_us=1\n", "experiment.net_us=9\n"},
		"compare FILE":                                   {"random beside module: goodput "},
		"plot FILE -seeds 1 -out OUT.svg":                {"load 1"},
	} {
		t.Run(args, func(t *testing.T) {
			var out, errs bytes.Buffer
			words := strings.Fields(strings.NewReplacer("FILE", name, "OUT", filepath.Join(t.TempDir(), "p")).Replace(args))
			require.NoError(t, run(words, &out, &errs), errs.String())
			for _, w := range want {
				require.Contains(t, out.String(), w)
			}
			if words[0] == "plot" {
				require.Contains(t, errs.String(), "p-goodput.svg")
			}
		})
	}
}

func TestMisuse(t *testing.T) {
	name := writeExperiment(t)
	for args, want := range map[string]string{
		"":                                    "usage",
		"fly FILE":                            "usage",
		"run FILE more":                       "one argument too many",
		"run FILE -format xml":                "-format is",
		"run FILE -policies none":             "no policy is called",
		"run FILE -loads 1,x":                 "no number above 0",
		"run FILE -seeds -1":                  "must not be below 0",
		"sweep FILE -set experiment":          "PATH=VALUE",
		"sweep FILE -set experiment.no=1":     "has nothing at",
		"sweep FILE -set experiment[0]=1":     "has nothing at",
		"sweep FILE -set experiment.seeds=":   "PATH=VALUE",
		"sweep FILE -set experiment.net_us={": "no JSON value",
		"plot FILE -out x.gif":                ".svg or .png",
	} {
		t.Run(args, func(t *testing.T) {
			err := run(strings.Fields(strings.ReplaceAll(args, "FILE", name)), &bytes.Buffer{}, &bytes.Buffer{})
			require.ErrorContains(t, err, want)
			require.True(t, errors.As(err, new(usageError)), "%T", err)
		})
	}
	require.Error(t, run([]string{"run", filepath.Join(t.TempDir(), "none")}, &bytes.Buffer{}, &bytes.Buffer{}))
}
