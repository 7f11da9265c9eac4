package job_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

func TestParseSpec(t *testing.T) {
	spec, err := job.ParseSpec([]byte(`{"spec":"x","stages":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"constraints":"a"},{"count":2,"depends_on":[0],"gang":true,"constraints":["a","b"],"unknown":1}]}`))
	require.NoError(t, err)
	require.Equal(t, job.Labels{"a"}, spec.Steps[0].Constraints)
	require.Equal(t, int64(500), spec.Steps[0].CPU)
	for name, body := range map[string]string{
		"cut short":        `{"spec":"x","stages":[{"count":`,
		"no stages":        `{"spec":"x"}`,
		"no tasks":         `{"stages":[{"count":0}]}`,
		"a later stage":    `{"stages":[{"count":1,"depends_on":[0]}]}`,
		"negative amounts": `{"stages":[{"count":1,"cpu":-1}]}`,
		"too many tasks":   `{"stages":[{"count":1000000}]}`,
		"a label's kind":   `{"stages":[{"count":1,"constraints":7}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := job.ParseSpec([]byte(body))
			require.Error(t, err)
		})
	}
}
